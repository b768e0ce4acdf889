package drain

import "time"

// recentWindow is the length of one of the two windows that Recent remembers.
const recentWindow = 30 * time.Second

// Recent holds the longest of the durations observed in the current and in the previous
// window. The zero value has none.
type Recent struct {
	began             time.Time // of the current window
	current, previous time.Duration
}

// Observe adds a duration.
func (r *Recent) Observe(duration time.Duration, now time.Time) {
	r.advance(now)
	r.current = max(r.current, duration)
}

// Longest returns the longest duration, zero if there is none.
func (r *Recent) Longest(now time.Time) time.Duration {
	r.advance(now)
	return max(r.current, r.previous)
}

func (r *Recent) advance(now time.Time) {
	switch age := now.Sub(r.began); {
	case age >= 2*recentWindow:
		r.began, r.current, r.previous = now, 0, 0
	case age >= recentWindow:
		r.began, r.current, r.previous = r.began.Add(recentWindow), 0, r.current
	}
}
