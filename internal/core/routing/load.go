package routing

import "time"

// historySlots and historyTick set how far back this process's load on a server
// is known: their product is the longest report delay that can be corrected
// exactly.
const (
	historySlots = 16
	historyTick  = 250 * time.Millisecond
)

// ownLoad is this process's load in flight on one server.
type ownLoad struct {
	streams       int
	tokens        int
	startedTokens int // total tokens ever started, to compute the tokens started since a report
}

// load estimates the load of one server from this process's own requests and
// the engine's delayed reports.
type load struct {
	own     ownLoad
	history [historySlots]ownLoad // own load at the end of each recorded tick
	ticks   [historySlots]int64   // the tick of each entry
	newest  int                   // index of the newest entry

	peakStreams int       // maximum of own.streams; reset after idleConnectionLifetime
	peakAt      time.Time // when peakStreams was last reached

	otherTokens           float64   // tokens of other processes' requests according to the last report
	startedTokensAtReport int       // own.startedTokens when the last report was measured
	reportedAt            time.Time // when the last report was measured; zero without a report
}

// add applies the start (positive) or end (negative) of streams.
func (l *load) add(streams, tokens int, now time.Time) {
	l.own.streams = max(0, l.own.streams+streams)
	l.own.tokens = max(0, l.own.tokens+tokens)
	if streams > 0 {
		l.own.startedTokens += tokens
	}
	if l.own.streams >= l.peakStreams || now.Sub(l.peakAt) > idleConnectionLifetime {
		l.peakStreams, l.peakAt = l.own.streams, now
	}
	tick := now.UnixNano() / int64(historyTick)
	if l.ticks[l.newest] != tick {
		l.newest = (l.newest + 1) % historySlots
		l.ticks[l.newest] = tick
	}
	l.history[l.newest] = l.own
}

// ownLoadAt returns this process's load at a past time, to the precision of
// historyTick. For times before the recorded history it returns the oldest
// entry.
func (l *load) ownLoadAt(past time.Time) ownLoad {
	tick := past.UnixNano() / int64(historyTick)
	slot := l.newest
	for range historySlots - 1 {
		if l.ticks[slot] <= tick {
			break
		}
		slot = (slot + historySlots - 1) % historySlots
	}
	return l.history[slot]
}

// applyReport sets the other processes' load from the streams that an engine
// counted at a past time. It subtracts this process's streams at that time, so
// that they are not counted twice.
func (l *load) applyReport(streams int, tokensPerStream float64, measured time.Time) {
	own := l.ownLoadAt(measured)
	l.otherTokens = float64(max(0, streams-own.streams)) * tokensPerStream
	l.startedTokensAtReport = own.startedTokens
	l.reportedAt = measured
}

// estimateTokens returns the estimated tokens in flight. It assumes that since
// the report the other processes, which see the same reports, sent peerRatio
// times the tokens that this process sent. Reports older than maxAge are
// ignored.
func (l *load) estimateTokens(peerRatio float64, maxAge time.Duration, now time.Time) float64 {
	own := float64(l.own.tokens)
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > maxAge {
		return own
	}
	unreported := float64(min(l.own.startedTokens-l.startedTokensAtReport, l.own.tokens))
	return own + l.otherTokens + peerRatio*unreported
}

// idleConnectionLifetime is how long a connection is assumed to stay open after
// its last use. It is well below the idle timeouts of servers.
const idleConnectionLifetime = 5 * time.Second

// hasIdleConnection reports whether another request can probably reuse a
// connection: within idleConnectionLifetime more requests were in flight than
// are now.
func (l *load) hasIdleConnection(now time.Time) bool {
	return l.own.streams < l.peakStreams && now.Sub(l.peakAt) <= idleConnectionLifetime
}
