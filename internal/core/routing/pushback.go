package routing

import "time"

const (
	// pushbackBase is for how long a server that refuses once gets less work:
	// about the time in which one of its running requests ends.
	pushbackBase = 100 * time.Millisecond
	// pushbackMax bounds the doubling: a server that is back is found within it.
	pushbackMax = 2 * time.Second
)

// pushback is what a server's refusals tell. A server that refuses has nothing
// in flight and looks idle: without it, all work that waits would go there.
type pushback struct {
	refusals int // in a row; those of one burst count once
	until    time.Time
}

// refused notes that the server refused a request.
func (p *pushback) refused(now time.Time) {
	if now.Before(p.until) {
		return
	}
	p.until = now.Add(min(pushbackMax, pushbackBase<<min(p.refusals, pushbackDoublings)))
	p.refusals++
}

// pushbackDoublings keeps the delay from overflowing.
const pushbackDoublings = 16

// took notes that the server took a request.
func (p *pushback) took() { *p = pushback{} }

// left returns for how long the server is still to get less work.
func (p *pushback) left(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }
