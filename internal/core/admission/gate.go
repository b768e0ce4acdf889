package admission

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Request is a request that asks to start.
type Request[T any] struct {
	Caller   core.CallerName
	Class    core.Class
	Cost     int       // expected tokens; weighs callers against each other
	Deadline time.Time // the answer is useless afterwards
	Payload  T         // given back when a waiting request starts or expires
}

// Bounds are one process's part of a deployment's limits.
type Bounds struct {
	Concurrent   int           // requests in flight
	QueueLength  int           // requests waiting in each class
	QueueTimeout time.Duration // longest wait
}

const (
	// trainingDivisor gives rollouts that wait one part in so many of the
	// concurrency, whatever people ask for.
	trainingDivisor = 5
	// headroomDivisor keeps at least one part in so many free of rollouts.
	headroomDivisor = 8
	// peakHalfLife is the time in which a past peak loses half its weight.
	peakHalfLife = 30 * time.Second
	// holdWeight is a new observation's weight in the mean time in flight.
	holdWeight = 0.1
)

// Gate admits the requests of one deployment in one entry process.
type Gate[T any] struct {
	bounds    Bounds
	queues    [core.ClassCount]*fairQueue[T]
	inUse     [core.ClassCount]int
	hold      [core.ClassCount]time.Duration // mean time in flight, zero when not known
	peak      decayingPeak                   // of people's requests in flight
	refused   uint64
	refusedAt time.Time // of the newest refusal
	backlog   int       // rollouts that would start at once if there were room
}

// NewGate returns a gate without requests.
func NewGate[T any](bounds Bounds) *Gate[T] {
	g := &Gate[T]{bounds: bounds}
	for class := range g.queues {
		g.queues[class] = newFairQueue[T]()
	}
	return g
}

// SetBounds changes the bounds. Requests in flight or waiting stay.
func (g *Gate[T]) SetBounds(bounds Bounds) { g.bounds = bounds }

// Admit starts a request, which returns true, or lets it wait until Dequeue or
// Expire gives its payload back. Errors: Overloaded when the queue is full,
// DeadlineTooShort when the request could not be answered in time.
func (g *Gate[T]) Admit(request *Request[T], now time.Time) (bool, error) {
	queue := g.queues[request.Class]
	if queue.length == 0 && g.hasRoom(request.Class, now) {
		g.begin(request.Class, now)
		return true, nil
	}
	if queue.length >= g.bounds.QueueLength {
		g.refuse(1, now)
		return false, errkind.New(errkind.Overloaded, "%d requests of class %s are waiting", queue.length, request.Class)
	}
	until := g.latestStart(request, now)
	if wait := g.wait(request); now.Add(wait).After(until) {
		g.refuse(1, now)
		return false, errkind.New(errkind.DeadlineTooShort, "the request would wait about %s", wait.Round(time.Millisecond))
	}
	queue.enqueue(request, until)
	return false, nil
}

// Release ends a request that was in flight for the given time. Dequeue must be
// asked afterwards.
func (g *Gate[T]) Release(class core.Class, held time.Duration) {
	g.inUse[class] = max(0, g.inUse[class]-1)
	if g.hold[class] == 0 {
		g.hold[class] = held
		return
	}
	g.hold[class] += time.Duration(holdWeight * float64(held-g.hold[class]))
}

// Dequeue starts the waiting request that goes next, if there is room for one.
func (g *Gate[T]) Dequeue(now time.Time) (T, core.Class, bool) {
	for _, class := range g.order() {
		if g.queues[class].length == 0 || !g.hasRoom(class, now) {
			continue
		}
		payload, ok := g.queues[class].dequeue()
		g.begin(class, now)
		return payload, class, ok
	}
	var empty T
	return empty, 0, false
}

// Expire appends the waiting requests that can no longer be answered in time.
func (g *Gate[T]) Expire(now time.Time, expired []T) []T {
	before := len(expired)
	for _, queue := range g.queues {
		expired = queue.expire(now, expired)
	}
	if refused := len(expired) - before; refused > 0 {
		g.refuse(refused, now)
	}
	return expired
}

func (g *Gate[T]) refuse(count int, now time.Time) {
	g.refused += uint64(count)
	g.refusedAt = now
}

// Overloaded reports whether requests of the class wait for more than half of
// the longest wait. Nothing is retried then.
func (g *Gate[T]) Overloaded(class core.Class) bool {
	return g.waitBehind(class, g.queues[class].length) > g.bounds.QueueTimeout/2
}

// SetBacklog says how many rollouts would be asked for if there were room.
func (g *Gate[T]) SetBacklog(rollouts int) { g.backlog = rollouts }

// RolloutCapacity returns how many rollouts may be in flight or wait without
// being refused.
func (g *Gate[T]) RolloutCapacity(now time.Time) int {
	places := g.rolloutPlaces(now)
	waiting := g.bounds.QueueLength
	if hold := g.hold[core.ClassRollout]; hold > 0 {
		waiting = min(waiting, int(float64(places)*g.bounds.QueueTimeout.Seconds()/hold.Seconds()))
	}
	return places + waiting
}

// Demand is what the process could use: requests in flight, waiting, and those
// that would be asked for if there were room.
func (g *Gate[T]) Demand() int {
	demand := g.total() + g.backlog
	for _, queue := range g.queues {
		demand += queue.length
	}
	return demand
}

// Need returns what the process needs of the limit.
func (g *Gate[T]) Need() Need {
	people := g.queues[core.ClassPeople].length
	return Need{Demand: g.Demand(), People: people, Firm: g.total() + people}
}

// InUse returns the requests in flight.
func (g *Gate[T]) InUse() int { return g.total() }

// GateState is a gate's part of the state dump.
type GateState struct {
	Concurrent int                  `json:"concurrent"`
	InFlight   [core.ClassCount]int `json:"in_flight"`
	Waiting    [core.ClassCount]int `json:"waiting"`
	Refused    uint64               `json:"refused"` // at once or after a wait
	RefusedAt  time.Time            `json:"refused_at,omitzero"`
}

// State returns the gate's counters.
func (g *Gate[T]) State() GateState {
	state := GateState{Concurrent: g.bounds.Concurrent, InFlight: g.inUse, Refused: g.refused, RefusedAt: g.refusedAt}
	for class, queue := range g.queues {
		state.Waiting[class] = queue.length
	}
	return state
}

var (
	peopleFirst  = [...]core.Class{core.ClassControl, core.ClassPeople, core.ClassRollout}
	rolloutFirst = [...]core.Class{core.ClassControl, core.ClassRollout, core.ClassPeople}
)

// order puts rollouts first while they are below their share.
func (g *Gate[T]) order() [core.ClassCount]core.Class {
	if g.queues[core.ClassRollout].length > 0 && g.inUse[core.ClassRollout] < g.training() {
		return rolloutFirst
	}
	return peopleFirst
}

// training is the concurrency that rollouts keep.
func (g *Gate[T]) training() int { return max(1, g.bounds.Concurrent/trainingDivisor) }

// headroom is the concurrency that rollouts leave free for people.
func (g *Gate[T]) headroom(now time.Time) int {
	least := (g.bounds.Concurrent + headroomDivisor - 1) / headroomDivisor
	wanted := int(g.peak.at(now)) + 1
	return min(max(least, wanted), g.bounds.Concurrent-g.training())
}

// rolloutPlaces is how many rollouts may be in flight beside people.
func (g *Gate[T]) rolloutPlaces(now time.Time) int {
	return max(g.bounds.Concurrent-max(g.headroom(now), g.inUse[core.ClassPeople]), g.training())
}

func (g *Gate[T]) hasRoom(class core.Class, now time.Time) bool {
	total := g.total()
	switch class {
	case core.ClassControl:
		return true
	case core.ClassRollout:
		used := g.inUse[core.ClassRollout]
		return total < g.bounds.Concurrent && used < g.rolloutPlaces(now)
	default:
		return total < g.bounds.Concurrent
	}
}

func (g *Gate[T]) begin(class core.Class, now time.Time) {
	g.inUse[class]++
	if class == core.ClassPeople {
		g.peak.raise(float64(g.inUse[class]), now)
	}
}

func (g *Gate[T]) total() int {
	return g.inUse[core.ClassPeople] + g.inUse[core.ClassRollout]
}

// latestStart is until when the request may wait.
func (g *Gate[T]) latestStart(request *Request[T], now time.Time) time.Time {
	until := now.Add(g.bounds.QueueTimeout)
	if latest := request.Deadline.Add(-g.hold[request.Class]); latest.Before(until) {
		return latest
	}
	return until
}

// wait estimates a new request's wait from the observed service rate.
func (g *Gate[T]) wait(request *Request[T]) time.Duration {
	return g.waitBehind(request.Class, g.queues[request.Class].ahead(request.Caller))
}

// waitBehind estimates the wait behind so many requests of the same class: the
// class's slots each end one request in its mean time in flight. Zero when no
// request has ended yet.
func (g *Gate[T]) waitBehind(class core.Class, ahead int) time.Duration {
	slots := max(1, g.bounds.Concurrent-g.training())
	if class == core.ClassRollout {
		slots = max(1, g.inUse[core.ClassRollout])
	}
	return time.Duration(ahead) * g.hold[class] / time.Duration(slots)
}
