package httpguard

import (
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/lockrank"
)

// Event is something that the guard did to a client outside the limits.
type Event int

// The events.
const (
	ConnectionRefused Event = iota // too many connections are open
	ConnectionClosed               // a connection was closed for a new one
	HeadTooLarge
	HeadTooSlow
	BodyTooSlow
	AnswerUnread
	NoMemory  // a client was ended or refused for want of memory
	Ambiguous // a request has two lengths, or a length and chunks
	eventCount
)

var eventNames = [eventCount]string{
	"connection refused", "connection closed for a new one", "head too large", "head too slow", "body too slow",
	"answer unread", "no memory", "ambiguous length",
}

// String returns the event's name in log lines.
func (e Event) String() string { return eventNames[e] }

// logInterval is the least time between two log lines about one kind of event, so that
// a crowd of clients does not crowd out other lines.
const logInterval = time.Second

// eventLog logs events, at most one line of each kind in logInterval.
type eventLog struct {
	log  zerolog.Logger
	name string

	// mu guards the fields below.
	mu     lockrank.Mutex
	counts [eventCount]int // since the last line
	logged [eventCount]time.Time
}

func newEventLog(options *Options) *eventLog {
	return &eventLog{log: options.Log, name: options.Name, mu: lockrank.New(lockrank.RankAdapter)}
}

// add counts an event and logs the number since the last line when one is due.
func (l *eventLog) add(e Event, now time.Time) {
	if count := l.due(e, now); count > 0 {
		l.log.Warn().Str("listener", l.name).Str("event", e.String()).Int("count", count).Msg(clientOutsideLimits)
	}
}

func (l *eventLog) due(e Event, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[e]++
	if now.Sub(l.logged[e]) < logInterval {
		return 0
	}
	count := l.counts[e]
	l.counts[e], l.logged[e] = 0, now
	return count
}

// clientOutsideLimits is the message of the log lines about events.
const clientOutsideLimits = "client outside the limits"
