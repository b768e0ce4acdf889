package routing

import "time"

// historySlots and historyTick give how far back a server's own load is known:
// the product is the longest lag of a report that can be corrected exactly.
const (
	historySlots = 16
	historyTick  = 250 * time.Millisecond
)

// ownLoad is what this process has in flight on one server.
type ownLoad struct {
	streams int
	tokens  int
	begun   int // tokens ever begun, to tell what began since a report
}

// load estimates one server's load from this process's own requests and the
// engine's lagging reports.
type load struct {
	own     ownLoad
	history [historySlots]ownLoad // own load at the end of past ticks
	ticks   [historySlots]int64   // the tick of each entry
	newest  int

	peak   int       // most own streams at a time since peakAt
	peakAt time.Time // when the peak was last reached

	others   float64   // tokens of other processes' requests, by the last report
	begunAt  int       // own.begun when the last report was measured
	reported time.Time // when the last report was measured; zero for none
}

// change applies a begin (positive) or end (negative) of one stream.
func (l *load) change(streams, tokens int, now time.Time) {
	l.own.streams = max(0, l.own.streams+streams)
	l.own.tokens = max(0, l.own.tokens+tokens)
	if streams > 0 {
		l.own.begun += tokens
	}
	if l.own.streams >= l.peak || now.Sub(l.peakAt) > connectionLife {
		l.peak, l.peakAt = l.own.streams, now
	}
	tick := now.UnixNano() / int64(historyTick)
	if l.ticks[l.newest] != tick {
		l.newest = (l.newest + 1) % historySlots
		l.ticks[l.newest] = tick
	}
	l.history[l.newest] = l.own
}

// at returns the own load at a past time, to the precision of historyTick.
// Before the known history it returns the oldest entry.
func (l *load) at(past time.Time) ownLoad {
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

// report takes in the streams that an engine counted at a past time. What was
// our own then is taken off, so that nothing counts twice.
func (l *load) report(streams int, tokensPerStream float64, measured time.Time) {
	own := l.at(measured)
	l.others = float64(max(0, streams-own.streams)) * tokensPerStream
	l.begunAt = own.begun
	l.reported = measured
}

// estimate returns the tokens in flight now. Other processes see the same
// report and are taken to have sent peers times what this one sent since.
func (l *load) estimate(peers float64, life time.Duration, now time.Time) float64 {
	own := float64(l.own.tokens)
	if l.reported.IsZero() || now.Sub(l.reported) > life {
		return own
	}
	unseen := float64(min(l.own.begun-l.begunAt, l.own.tokens))
	return own + l.others + peers*unseen
}

// connectionLife is how long a connection is taken to be kept after its last
// use: well below the idle time-outs of servers.
const connectionLife = 5 * time.Second

// warm reports whether a connection is probably kept that a further request can
// use: more requests were in flight not long ago than are now.
func (l *load) warm(now time.Time) bool {
	return l.own.streams < l.peak && now.Sub(l.peakAt) <= connectionLife
}
