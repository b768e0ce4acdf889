package admission

import (
	"slices"

	"fescuespar/internal/core"
)

// callerWeights are the weights of callers whose most urgent waiting request has the
// priority 0, 1 and any higher number. A caller is served by its weight, not before all
// callers of lower weight, so that none is starved: with callers of equal demand, one of
// the lowest weight is served a quarter as often as one of the highest.
var callerWeights = [...]int{fullWeight, 2, 1}

// fullWeight is the weight of a caller whose requests are the most urgent.
const fullWeight = 4

// Weight returns the weight of a caller whose most urgent request has a priority.
func Weight(priority int) int {
	return callerWeights[min(max(0, priority), len(callerWeights)-1)]
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	caller  core.CallerName
	routes  []*routeQueue // with waiting requests, by priority; the first is served next
	length  int
	sampled int // of length
	weight  int // of the most urgent route
	deficit int
}

// routeQueue is the list of the waiting requests of one caller on one route.
type routeQueue struct {
	caller      *callerQueue
	name        string
	priority    int
	first, last int // nodes
	length      int
	sampled     int // of length
	deficit     int
}

// count adds a number of requests to the route, or removes a negative one.
func (r *routeQueue) count(requests int, sampled bool) {
	r.length += requests
	r.caller.length += requests
	if sampled {
		r.sampled += requests
		r.caller.sampled += requests
	}
}

// evictable returns the number of requests that may be evicted.
func (p *callerQueue) evictable() int { return p.length - p.sampled }
func (r *routeQueue) evictable() int  { return r.length - r.sampled }

// rotateRoutes moves the first route behind the others of its priority.
func (p *callerQueue) rotateRoutes() {
	first := p.routes[0]
	end := 1
	for end < len(p.routes) && p.routes[end].priority == first.priority {
		end++
	}
	copy(p.routes, p.routes[1:end])
	p.routes[end-1] = first
}

// ahead estimates how many of the caller's waiting requests are served before a new one
// on a route.
func (p *callerQueue) ahead(route string, priority int) int {
	urgent, peers, own, routes := 0, 0, 0, 1
	for _, r := range p.routes {
		switch {
		case r.priority < priority:
			urgent += r.length
		case r.priority > priority:
		case r.name == route:
			peers, own = peers+r.length, r.length
		default:
			peers, routes = peers+r.length, routes+1
		}
	}
	return urgent + min(peers, (own+1)*routes-1)
}

// leastUrgent returns the caller's route of the lowest priority with requests that may be
// evicted: of equal ones the one with the most of them, or the given one. It returns nil
// if there is none.
func (p *callerQueue) leastUrgent(preferred *routeQueue) *routeQueue {
	var found *routeQueue
	for _, r := range p.routes {
		switch {
		case r.evictable() == 0:
		case found == nil || r.priority > found.priority || r.evictable() > found.evictable(),
			r.evictable() == found.evictable() && r == preferred:
			found = r
		}
	}
	return found
}

// mostWaiting returns the caller with the most requests that may be evicted for its
// weight, of equal ones the given one.
func (q *fairQueue[T]) mostWaiting(preferred *callerQueue) *callerQueue {
	most := preferred
	for _, p := range q.active {
		if p.evictable()*most.weight > most.evictable()*p.weight {
			most = p
		}
	}
	return most
}

// evictFor removes a request because there are too many with the one that a node holds,
// which has just been added: the newest on the least urgent route of the caller with the
// most waiting requests for its weight. That may be the added one itself.
func (q *fairQueue[T]) evictFor(added int) (payload T, isOther bool) {
	route := q.nodes[added].route
	victim := added
	if least := q.mostWaiting(route.caller).leastUrgent(route); least != nil {
		for victim = least.last; q.nodes[victim].sampled; {
			victim = q.nodes[victim].previous
		}
	}
	return q.remove(victim), victim != added
}

// routeOf returns the queue of a request's caller and route. If the caller has no
// waiting requests it is added at the end of active.
func (q *fairQueue[T]) routeOf(request *Request[T]) *routeQueue {
	p := q.callerOf(request.Caller)
	position := 0
	for ; position < len(p.routes) && p.routes[position].priority <= request.Priority; position++ {
		if r := p.routes[position]; r.name == request.Route && r.priority == request.Priority {
			return r
		}
	}
	r := q.newRouteQueue()
	*r = routeQueue{caller: p, name: request.Route, priority: request.Priority, first: noNode, last: noNode}
	p.routes = slices.Insert(p.routes, position, r)
	q.reweigh(p)
	return r
}

// callerOf returns a caller's queue, adding one at the end of active if the caller has
// none.
func (q *fairQueue[T]) callerOf(caller core.CallerName) *callerQueue {
	p := q.callers[caller]
	if p != nil {
		return p
	}
	if len(q.callers) >= maxCallers {
		caller = overflowCaller
		if p = q.callers[caller]; p != nil {
			return p
		}
	}
	if last := len(q.unused) - 1; last >= 0 {
		p = q.unused[last]
		q.unused = q.unused[:last]
	} else {
		p = &callerQueue{}
	}
	*p = callerQueue{caller: caller, routes: p.routes[:0]}
	q.callers[caller] = p
	q.active = append(q.active, p)
	return p
}

func (q *fairQueue[T]) newRouteQueue() *routeQueue {
	last := len(q.unusedRoutes) - 1
	if last < 0 {
		return &routeQueue{}
	}
	r := q.unusedRoutes[last]
	q.unusedRoutes = q.unusedRoutes[:last]
	return r
}

// dropRoute removes an empty route, and its caller if that has no other, and keeps them
// for reuse.
func (q *fairQueue[T]) dropRoute(r *routeQueue) {
	p := r.caller
	position := slices.Index(p.routes, r)
	p.routes = slices.Delete(p.routes, position, position+1)
	q.unusedRoutes = append(q.unusedRoutes, r)
	q.reweigh(p)
	if len(p.routes) > 0 {
		return
	}
	position = slices.Index(q.active, p)
	q.active = slices.Delete(q.active, position, position+1)
	delete(q.callers, p.caller)
	q.unused = append(q.unused, p)
}

// reweigh sets a caller's weight from its routes.
func (q *fairQueue[T]) reweigh(p *callerQueue) {
	before := p.weight
	p.weight = 0
	if len(p.routes) > 0 {
		p.weight = Weight(p.routes[0].priority)
	}
	q.weight += p.weight - before
}
