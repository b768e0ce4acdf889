package admission

import (
	"math"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Request is a request to be admitted.
type Request[T any] struct {
	Caller   core.CallerName // caller or account for which it is served
	Route    string          // requests of one caller are also shared out by route; may be empty
	Priority int             // 0 is most urgent
	Class    core.Class
	Cost     int           // expected tokens, by which callers are weighed against each other
	Deadline time.Time     // an answer after it is of no use
	Expected time.Duration // expected time in flight; zero for the mean of the class
	Payload  T             // returned when a waiting request starts or expires

	Wait Wait // set by Admit if the request waits
}

// Wait describes a waiting request.
type Wait struct {
	Until      time.Time // it can no longer be answered in time if it has not started by then
	class      core.Class
	node       int
	generation uint32 // zero if the request does not wait
}

// Bounds are one process's part of a deployment's limits.
type Bounds struct {
	Concurrent   int           // requests in flight
	QueueLength  int           // requests waiting in each class
	QueueTimeout time.Duration // longest wait
	// SampleDivisor makes one in SampleDivisor requests that find no slot a sampled one,
	// and of as many starts that of the oldest sampled one, whatever its caller and
	// priority. Each caller is then served at least one SampleDivisor-th as often as all
	// are. Zero for none.
	SampleDivisor int
}

const (
	// rolloutReserveDivisor reserves one in rolloutReserveDivisor slots for
	// waiting rollouts, whatever the demand of interactive requests.
	rolloutReserveDivisor = 5
	// interactiveHeadroomDivisor keeps at least one in
	// interactiveHeadroomDivisor slots free of rollouts.
	interactiveHeadroomDivisor = 8
	// peakHalfLife is the time in which a past peak loses half its value.
	peakHalfLife = 30 * time.Second
)

// Gate admits the requests of one deployment in one entry process.
type Gate[T any] struct {
	bounds          Bounds
	queues          [core.ClassCount]*fairQueue[T]
	inFlight        [core.ClassCount]int
	meanInFlight    [core.ClassCount]MeanDuration
	queued          [core.ClassCount]uint32 // requests that found no slot
	dequeued        [core.ClassCount]int    // waiting requests started
	interactivePeak decayingPeak            // of interactive requests in flight
	refused         uint64
	refusedAt       time.Time // time of the newest refusal
	rolloutBacklog  int       // rollouts that would start at once if slots were free
}

// NewGate returns a gate without requests.
func NewGate[T any](bounds Bounds) *Gate[T] {
	g := &Gate[T]{bounds: bounds}
	for class := range g.queues {
		g.queues[class] = newFairQueue[T]()
	}
	return g
}

// SetBounds changes the bounds. Requests in flight and waiting requests are not
// affected.
func (g *Gate[T]) SetBounds(bounds Bounds) { g.bounds = bounds }

// Admit starts the request and returns true, or queues it until Dequeue or
// Expire returns its payload. Errors: Overloaded when the queue is full,
// DeadlineTooShort when the request could not be answered in time.
func (g *Gate[T]) Admit(request *Request[T], now time.Time) (bool, error) {
	queue := g.queues[request.Class]
	if g.TryStart(request.Class, now) {
		return true, nil
	}
	if queue.length >= g.bounds.QueueLength {
		g.recordRefusals(1, now)
		return false, errkind.New(errkind.Overloaded, "queue is full: %d requests of class %s are waiting", queue.length, request.Class)
	}
	until := g.latestStart(request, now)
	sampled := g.takeSample(request.Class, until.Sub(now))
	if wait := g.estimateWait(request); now.Add(wait).After(until) && (!sampled || !now.Before(until)) {
		g.recordRefusals(1, now)
		return false, errkind.New(errkind.DeadlineTooShort, "request not queued: estimated wait of %s is too long for its deadline or the queue timeout", wait.Round(time.Millisecond))
	}
	node := queue.enqueue(request, until, sampled)
	request.Wait = Wait{Until: until, class: request.Class, node: node, generation: queue.nodes[node].generation}
	return false, nil
}

// TryStart starts a request of a class and returns true, if a slot is free and none
// waits.
func (g *Gate[T]) TryStart(class core.Class, now time.Time) bool {
	if g.queues[class].length > 0 || !g.hasFreeSlot(class, now) {
		return false
	}
	g.start(class, now)
	return true
}

// Release ends a request that was in flight for the given time. The caller must
// call Dequeue afterwards.
func (g *Gate[T]) Release(class core.Class, duration time.Duration) {
	g.Abandon(class)
	g.meanInFlight[class].Observe(duration)
}

// Abandon ends a request that was in flight and says nothing about the time that others
// take. The caller must call Dequeue afterwards.
func (g *Gate[T]) Abandon(class core.Class) { g.inFlight[class] = max(0, g.inFlight[class]-1) }

// Dequeue starts the next waiting request if a slot is free for it, and returns
// its payload and class.
func (g *Gate[T]) Dequeue(now time.Time) (T, core.Class, bool) {
	for _, class := range g.dequeueOrder() {
		if g.queues[class].length == 0 || !g.hasFreeSlot(class, now) {
			continue
		}
		payload, ok := g.dequeueFrom(class)
		g.start(class, now)
		return payload, class, ok
	}
	var empty T
	return empty, 0, false
}

func (g *Gate[T]) dequeueFrom(class core.Class) (T, bool) {
	g.dequeued[class]++
	if divisor := g.bounds.SampleDivisor; divisor > 0 && g.dequeued[class]%divisor == 0 {
		return g.queues[class].dequeueSampled()
	}
	return g.queues[class].dequeue()
}

// Expire removes the waiting requests that can no longer be answered in time
// and appends their payloads to expired.
func (g *Gate[T]) Expire(now time.Time, expired []T) []T {
	before := len(expired)
	for _, queue := range g.queues {
		expired = queue.expire(now, expired)
	}
	if refused := len(expired) - before; refused > 0 {
		g.recordRefusals(refused, now)
	}
	return expired
}

// takeSample reports whether a request that finds no slot, and may wait for the given time,
// is a sampled one. There are no more of them than can start in time, nor than one in
// SampleDivisor waiting requests. The choice is by the golden ratio, so that it follows no
// pattern of arrivals.
func (g *Gate[T]) takeSample(class core.Class, mayWait time.Duration) bool {
	divisor := g.bounds.SampleDivisor
	if divisor == 0 {
		return false
	}
	const goldenRatio = 2654435769 // as a fraction of 2^32
	g.queued[class]++
	queue := g.queues[class]
	return g.queued[class]*goldenRatio < math.MaxUint32/uint32(divisor) && queue.sampled*divisor <= queue.length &&
		g.estimateWaitBehind(class, queue.sampled*divisor) <= mayWait
}

func (g *Gate[T]) recordRefusals(count int, now time.Time) {
	g.refused += uint64(count)
	g.refusedAt = now
}

// Overloaded reports whether the estimated wait of the class exceeds half of
// QueueTimeout. Nothing is retried then.
func (g *Gate[T]) Overloaded(class core.Class) bool {
	return g.estimateWaitBehind(class, g.queues[class].length) > g.bounds.QueueTimeout/2
}

// SetBacklog sets how many rollouts would be submitted if slots were free.
func (g *Gate[T]) SetBacklog(rollouts int) { g.rolloutBacklog = rollouts }

// RolloutCapacity returns how many rollouts may be in flight or waiting without
// any being refused.
func (g *Gate[T]) RolloutCapacity(now time.Time) int {
	slots := g.rolloutSlots(now)
	waiting := g.bounds.QueueLength
	if mean := g.meanInFlight[core.ClassRollout].Value(); mean > 0 {
		waiting = min(waiting, int(float64(slots)*g.bounds.QueueTimeout.Seconds()/mean.Seconds()))
	}
	return slots + waiting
}

// Demand returns how many units the process could use: requests in flight,
// waiting requests, and those that would be submitted if slots were free.
func (g *Gate[T]) Demand() int {
	demand := g.totalInFlight() + g.rolloutBacklog
	for _, queue := range g.queues {
		demand += queue.length
	}
	return demand
}

// Need returns how much of the limit the process needs.
func (g *Gate[T]) Need() Need {
	interactive := g.queues[core.ClassInteractive].length
	return Need{Demand: g.Demand(), Interactive: interactive, Urgent: g.totalInFlight() + interactive}
}

// InFlight returns the number of requests in flight.
func (g *Gate[T]) InFlight() int { return g.totalInFlight() }

// GateState is a gate's part of the state dump.
type GateState struct {
	Concurrent int                  `json:"concurrent"`
	InFlight   [core.ClassCount]int `json:"in_flight"`
	Waiting    [core.ClassCount]int `json:"waiting"`
	Refused    uint64               `json:"refused"` // refused on arrival or after a wait
	RefusedAt  time.Time            `json:"refused_at,omitzero"`
}

// State returns the gate's counters.
func (g *Gate[T]) State() GateState {
	state := GateState{Concurrent: g.bounds.Concurrent, InFlight: g.inFlight, Refused: g.refused, RefusedAt: g.refusedAt}
	for class, queue := range g.queues {
		state.Waiting[class] = queue.length
	}
	return state
}

var (
	interactiveFirst = [...]core.Class{core.ClassControl, core.ClassInteractive, core.ClassRollout}
	rolloutFirst     = [...]core.Class{core.ClassControl, core.ClassRollout, core.ClassInteractive}
)

// dequeueOrder puts rollouts first while fewer are in flight than their
// reserve.
func (g *Gate[T]) dequeueOrder() [core.ClassCount]core.Class {
	if g.queues[core.ClassRollout].length > 0 && g.inFlight[core.ClassRollout] < g.rolloutReserve() {
		return rolloutFirst
	}
	return interactiveFirst
}

// rolloutReserve returns the number of slots reserved for rollouts.
func (g *Gate[T]) rolloutReserve() int { return max(1, g.bounds.Concurrent/rolloutReserveDivisor) }

// interactiveHeadroom returns the number of slots that rollouts leave free for
// interactive requests.
func (g *Gate[T]) interactiveHeadroom(now time.Time) int {
	least := (g.bounds.Concurrent + interactiveHeadroomDivisor - 1) / interactiveHeadroomDivisor
	wanted := int(g.interactivePeak.valueAt(now)) + 1
	return min(max(least, wanted), g.bounds.Concurrent-g.rolloutReserve())
}

// rolloutSlots returns how many rollouts may be in flight beside interactive
// requests.
func (g *Gate[T]) rolloutSlots(now time.Time) int {
	return max(g.bounds.Concurrent-max(g.interactiveHeadroom(now), g.inFlight[core.ClassInteractive]), g.rolloutReserve())
}

func (g *Gate[T]) hasFreeSlot(class core.Class, now time.Time) bool {
	total := g.totalInFlight()
	switch class {
	case core.ClassControl:
		return true
	case core.ClassRollout:
		used := g.inFlight[core.ClassRollout]
		return total < g.bounds.Concurrent && used < g.rolloutSlots(now)
	default:
		return total < g.bounds.Concurrent
	}
}

func (g *Gate[T]) start(class core.Class, now time.Time) {
	g.inFlight[class]++
	if class == core.ClassInteractive {
		g.interactivePeak.raise(float64(g.inFlight[class]), now)
	}
}

func (g *Gate[T]) totalInFlight() int {
	return g.inFlight[core.ClassInteractive] + g.inFlight[core.ClassRollout]
}

// latestStart returns the time until which the request may wait.
func (g *Gate[T]) latestStart(request *Request[T], now time.Time) time.Time {
	until := now.Add(g.bounds.QueueTimeout)
	expected := request.Expected
	if expected == 0 {
		expected = g.meanInFlight[request.Class].Value()
	}
	if latest := request.Deadline.Add(-expected); latest.Before(until) {
		return latest
	}
	return until
}

// estimateWait estimates the wait of a new request from the observed service
// rate.
func (g *Gate[T]) estimateWait(request *Request[T]) time.Duration {
	return g.estimateWaitBehind(request.Class, g.queues[request.Class].ahead(request))
}

// estimateWaitBehind estimates the wait behind the given number of requests of
// the same class: each of the class's slots ends one request per mean time in
// flight. It is zero until a request has ended.
func (g *Gate[T]) estimateWaitBehind(class core.Class, ahead int) time.Duration {
	slots := max(1, g.bounds.Concurrent-g.rolloutReserve())
	if class == core.ClassRollout {
		slots = max(1, g.inFlight[core.ClassRollout])
	}
	return time.Duration(ahead) * g.meanInFlight[class].Value() / time.Duration(slots)
}
