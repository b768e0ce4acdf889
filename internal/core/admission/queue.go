package admission

import (
	"time"

	"fescuespar/internal/core"
)

// maxCallers is the number of callers with a queue of their own. Further callers
// share one queue.
const maxCallers = 1024

// overflowCaller is the name of the queue shared by callers beyond maxCallers.
// No access token can have this name.
const overflowCaller core.CallerName = ""

// noNode ends a list of nodes.
const noNode = -1

// node is one waiting request. Nodes are stored in a slice and reused.
type node[T any] struct {
	payload    T
	cost       int
	startBy    time.Time   // the request expires if it still waits then
	generation uint32      // number of the requests that the node has held
	route      *routeQueue // nil for a free node

	next, previous int // in the queue of its route; next also links the free nodes

	sampled      bool // it is also served in the order of arrival
	newer, older int  // among the sampled requests
}

// fairQueue serves callers by deficit round robin, weighted by their priority. Of one
// caller it serves the routes by priority, and those of equal priority by deficit round
// robin.
type fairQueue[T any] struct {
	nodes          []node[T]
	freeNode       int
	oldest, newest int // sampled nodes in the order of arrival
	sampled        int // number of sampled nodes
	callers        map[core.CallerName]*callerQueue
	active         []*callerQueue // queues with waiting requests; the first is served next
	unused         []*callerQueue
	unusedRoutes   []*routeQueue
	length         int
	weight         int // sum of the weights of the active queues
	quantum        int // largest cost seen, so that each turn of a caller of full weight serves at least one request
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{freeNode: noNode, oldest: noNode, newest: noNode, callers: make(map[core.CallerName]*callerQueue), quantum: 1}
}

// enqueue adds a request at the end of the queue of its caller and route, and returns its
// node. A sampled request is also served in the order of arrival and not evicted.
func (q *fairQueue[T]) enqueue(request *Request[T], until time.Time, sampled bool) int {
	r := q.routeOf(request)
	index := q.allocateNode()
	n := &q.nodes[index]
	n.payload, n.cost, n.startBy, n.route = request.Payload, max(1, request.Cost), until, r
	n.next, n.previous, n.newer, n.older = noNode, r.last, noNode, noNode
	if r.length == 0 {
		r.first = index
	} else {
		q.nodes[r.last].next = index
	}
	r.last = index
	r.count(1, sampled)
	q.length++
	q.quantum = max(q.quantum, request.Cost)
	if sampled {
		q.addSampled(index)
	}
	return index
}

// addSampled adds a node as the newest sampled one.
func (q *fairQueue[T]) addSampled(index int) {
	q.nodes[index].sampled, q.nodes[index].older = true, q.newest
	if q.newest == noNode {
		q.oldest = index
	} else {
		q.nodes[q.newest].newer = index
	}
	q.newest = index
	q.sampled++
}

// removeSampled removes a node from the sampled ones.
func (q *fairQueue[T]) removeSampled(n *node[T]) {
	if n.older == noNode {
		q.oldest = n.newer
	} else {
		q.nodes[n.older].newer = n.newer
	}
	if n.newer == noNode {
		q.newest = n.older
	} else {
		q.nodes[n.newer].older = n.older
	}
	q.sampled--
}

// dequeue removes and returns the next request to serve.
func (q *fairQueue[T]) dequeue() (T, bool) {
	for len(q.active) > 0 {
		p := q.active[0]
		r := q.nextRoute(p)
		cost := q.nodes[r.first].cost
		if p.deficit >= fullWeight*cost {
			p.deficit -= fullWeight * cost
			r.deficit -= cost
			return q.remove(r.first), true
		}
		p.deficit += p.weight * q.quantum
		q.rotate()
	}
	var empty T
	return empty, false
}

// dequeueSampled removes and returns the sampled request that has waited longest, or the
// next one if none is sampled.
func (q *fairQueue[T]) dequeueSampled() (T, bool) {
	if q.oldest == noNode {
		return q.dequeue()
	}
	return q.remove(q.oldest), true
}

// nextRoute returns the route of a caller whose first request is served next: one of the
// most urgent, by deficit round robin.
func (q *fairQueue[T]) nextRoute(p *callerQueue) *routeQueue {
	for {
		r := p.routes[0]
		if r.deficit >= q.nodes[r.first].cost {
			return r
		}
		r.deficit += q.quantum
		p.rotateRoutes()
	}
}

// rotate moves the first queue to the end of active.
func (q *fairQueue[T]) rotate() {
	first := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = first
}

// remove removes a waiting request and returns its payload.
func (q *fairQueue[T]) remove(index int) T {
	n := &q.nodes[index]
	payload, r := n.payload, n.route
	q.link(n.previous, n.next, r)
	if n.sampled {
		q.removeSampled(n)
	}
	r.count(-1, n.sampled)
	q.releaseNode(index)
	q.length--
	if r.length == 0 {
		q.dropRoute(r)
	}
	return payload
}

// link makes two nodes of a route neighbours.
func (q *fairQueue[T]) link(previous, next int, r *routeQueue) {
	if previous == noNode {
		r.first = next
	} else {
		q.nodes[previous].next = next
	}
	if next == noNode {
		r.last = previous
	} else {
		q.nodes[next].previous = previous
	}
}

// expire removes the requests whose startBy has passed and appends them to expired.
func (q *fairQueue[T]) expire(now time.Time, expired []T) []T {
	for index := range q.nodes {
		if q.nodes[index].route != nil && !now.Before(q.nodes[index].startBy) {
			expired = append(expired, q.remove(index))
		}
	}
	return expired
}

// ahead estimates how many requests are served before a new one.
func (q *fairQueue[T]) ahead(request *Request[T]) int {
	weight := Weight(request.Priority)
	total, own := q.weight, 0
	if p := q.callers[request.Caller]; p != nil {
		own = p.ahead(request.Route, request.Priority)
		weight = max(weight, p.weight)
		total += weight - p.weight
	} else {
		total += weight
	}
	return min(q.length, (own+1)*total/weight-1)
}

func (q *fairQueue[T]) allocateNode() int {
	if q.freeNode == noNode {
		q.nodes = append(q.nodes, node[T]{generation: 1})
		return len(q.nodes) - 1
	}
	index := q.freeNode
	q.freeNode = q.nodes[index].next
	return index
}

func (q *fairQueue[T]) releaseNode(index int) {
	q.nodes[index] = node[T]{next: q.freeNode, generation: q.nodes[index].generation + 1}
	q.freeNode = index
}
