// Package virtualtime runs events on a virtual clock, for tests and
// measurements of decisions that take times as arguments.
package virtualtime

import (
	"container/heap"
	"time"
)

type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].number < e[j].number)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a virtual clock with its events. Events of one time run in the
// order in which they were added. The zero Clock stands at zero.
type Clock struct {
	now    time.Duration
	number int
	queue  events
}

// Now returns the time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// Time returns the present time as a point in time.
func (c *Clock) Time() time.Time { return time.Unix(0, 0).Add(c.now) }

// After runs a function when the delay has passed.
func (c *Clock) After(delay time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, event{c.now + delay, c.number, do})
}

// RunUntil runs all events up to a time and sets the clock to it.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
	c.now = end
}
