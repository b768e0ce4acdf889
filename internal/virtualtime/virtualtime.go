// Package virtualtime runs events on a virtual clock, for tests and benchmarks of
// code that takes the time as an argument.
package virtualtime

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Duration // since the clock's start
	sequence int           // orders events of the same time
	run      func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a virtual clock with a queue of events. Events of the same time run in
// the order in which they were added. The zero Clock has no events and its time
// is zero. A Clock is not safe for concurrent use.
type Clock struct {
	now      time.Duration
	sequence int
	queue    events
}

// Now returns the virtual time since the clock's start.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the virtual time as a time.Time, with the clock's start at the
// Unix epoch.
func (c *Clock) Time() time.Time { return time.Unix(0, 0).Add(c.now) }

// After schedules a function to run once the delay has passed on the clock.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.now + delay, c.sequence, run})
}

// RunUntil runs all events up to and including the time end, and advances the
// clock to it.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
