package admission

import (
	"time"

	"fescuespar/internal/core"
)

// maxCallers bounds the callers that a queue tells apart. Further callers
// share one place in the round.
const maxCallers = 1024

// otherCallers is the place that callers beyond maxCallers share. No token can
// have the name.
const otherCallers core.CallerName = ""

// none ends a list of nodes.
const none = -1

// node is one waiting request. Nodes are kept in a slice and reused.
type node[T any] struct {
	payload T
	cost    int
	until   time.Time // refused when it still waits then
	next    int
}

// place is one caller's place in the round.
type place struct {
	caller  core.CallerName
	first   int
	last    int
	length  int
	deficit int
}

// fairQueue serves callers by deficit round robin.
type fairQueue[T any] struct {
	nodes   []node[T]
	free    int
	places  map[core.CallerName]*place
	round   []*place // callers with waiting requests; the first is served next
	spare   []*place
	length  int
	quantum int // largest cost seen, so that each visit serves a request
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{free: none, places: make(map[core.CallerName]*place), quantum: 1}
}

// enqueue adds a request at the end of its caller's line.
func (q *fairQueue[T]) enqueue(request *Request[T], until time.Time) {
	p := q.place(request.Caller)
	index := q.allocate()
	q.nodes[index] = node[T]{payload: request.Payload, cost: max(1, request.Cost), until: until, next: none}
	q.quantum = max(q.quantum, request.Cost)
	if p.length == 0 {
		p.first = index
	} else {
		q.nodes[p.last].next = index
	}
	p.last = index
	p.length++
	q.length++
}

// dequeue removes the request that is served next.
func (q *fairQueue[T]) dequeue() (T, bool) {
	for len(q.round) > 0 {
		p := q.round[0]
		if cost := q.nodes[p.first].cost; p.deficit >= cost {
			p.deficit -= cost
			return q.remove(p), true
		}
		p.deficit += q.quantum
		q.rotate()
	}
	var empty T
	return empty, false
}

// rotate moves the first caller to the end of the round, unless it is alone.
func (q *fairQueue[T]) rotate() {
	first := q.round[0]
	copy(q.round, q.round[1:])
	q.round[len(q.round)-1] = first
}

// remove takes the first request of the caller that is first in the round.
func (q *fairQueue[T]) remove(p *place) T {
	index := p.first
	payload := q.nodes[index].payload
	p.first = q.nodes[index].next
	q.release(index)
	p.length--
	q.length--
	if p.length == 0 {
		copy(q.round, q.round[1:])
		q.leave(p, len(q.round)-1)
	}
	return payload
}

// leave drops the caller whose place is at the end of the round.
func (q *fairQueue[T]) leave(p *place, end int) {
	q.round[end] = nil
	q.round = q.round[:end]
	delete(q.places, p.caller)
	q.spare = append(q.spare, p)
}

// expire removes the requests whose time is over and appends them to expired.
func (q *fairQueue[T]) expire(now time.Time, expired []T) []T {
	kept := q.round[:0]
	for _, p := range q.round {
		expired = q.expirePlace(p, now, expired)
		if p.length > 0 {
			kept = append(kept, p)
			continue
		}
		delete(q.places, p.caller)
		q.spare = append(q.spare, p)
	}
	clear(q.round[len(kept):])
	q.round = kept
	return expired
}

func (q *fairQueue[T]) expirePlace(p *place, now time.Time, expired []T) []T {
	before := none
	for index := p.first; index != none; {
		next := q.nodes[index].next
		if now.Before(q.nodes[index].until) {
			before, index = index, next
			continue
		}
		if before == none {
			p.first = next
		} else {
			q.nodes[before].next = next
		}
		expired = append(expired, q.nodes[index].payload)
		q.release(index)
		p.length--
		q.length--
		index = next
	}
	p.last = before
	return expired
}

// ahead estimates how many requests are served before a new one of the caller.
func (q *fairQueue[T]) ahead(caller core.CallerName) int {
	own := 0
	active := len(q.round)
	if p := q.places[caller]; p != nil {
		own = p.length
	} else {
		active++
	}
	return min(q.length, (own+1)*active-1)
}

// place returns a caller's place, added at the end of the round if need be.
func (q *fairQueue[T]) place(caller core.CallerName) *place {
	p := q.places[caller]
	if p != nil {
		return p
	}
	if len(q.places) >= maxCallers {
		caller = otherCallers
		if p = q.places[caller]; p != nil {
			return p
		}
	}
	p = q.newPlace()
	*p = place{caller: caller}
	q.places[caller] = p
	q.round = append(q.round, p)
	return p
}

func (q *fairQueue[T]) newPlace() *place {
	if len(q.spare) == 0 {
		return &place{}
	}
	p := q.spare[len(q.spare)-1]
	q.spare = q.spare[:len(q.spare)-1]
	return p
}

func (q *fairQueue[T]) allocate() int {
	if q.free == none {
		q.nodes = append(q.nodes, node[T]{})
		return len(q.nodes) - 1
	}
	index := q.free
	q.free = q.nodes[index].next
	return index
}

func (q *fairQueue[T]) release(index int) {
	q.nodes[index] = node[T]{next: q.free}
	q.free = index
}
