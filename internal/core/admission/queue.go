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
	payload T
	cost    int
	startBy time.Time // the request expires if it still waits then
	next    int
}

// callerQueue is the list of one caller's waiting requests.
type callerQueue struct {
	caller    core.CallerName
	firstNode int
	lastNode  int
	length    int
	deficit   int
}

// fairQueue serves callers by deficit round robin.
type fairQueue[T any] struct {
	nodes    []node[T]
	freeNode int
	callers  map[core.CallerName]*callerQueue
	active   []*callerQueue // queues with waiting requests; the first is served next
	unused   []*callerQueue
	length   int
	quantum  int // largest cost seen, so that each turn serves at least one request
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{freeNode: noNode, callers: make(map[core.CallerName]*callerQueue), quantum: 1}
}

// enqueue adds a request at the end of its caller's queue.
func (q *fairQueue[T]) enqueue(request *Request[T], until time.Time) {
	p := q.queueOf(request.Caller)
	index := q.allocateNode()
	q.nodes[index] = node[T]{payload: request.Payload, cost: max(1, request.Cost), startBy: until, next: noNode}
	q.quantum = max(q.quantum, request.Cost)
	if p.length == 0 {
		p.firstNode = index
	} else {
		q.nodes[p.lastNode].next = index
	}
	p.lastNode = index
	p.length++
	q.length++
}

// dequeue removes and returns the next request to serve.
func (q *fairQueue[T]) dequeue() (T, bool) {
	for len(q.active) > 0 {
		p := q.active[0]
		if cost := q.nodes[p.firstNode].cost; p.deficit >= cost {
			p.deficit -= cost
			return q.remove(p), true
		}
		p.deficit += q.quantum
		q.rotate()
	}
	var empty T
	return empty, false
}

// rotate moves the first queue to the end of active.
func (q *fairQueue[T]) rotate() {
	first := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = first
}

// remove removes the first request of the queue that is first in active.
func (q *fairQueue[T]) remove(p *callerQueue) T {
	index := p.firstNode
	payload := q.nodes[index].payload
	p.firstNode = q.nodes[index].next
	q.releaseNode(index)
	p.length--
	q.length--
	if p.length == 0 {
		copy(q.active, q.active[1:])
		q.dropCaller(p, len(q.active)-1)
	}
	return payload
}

// dropCaller removes the queue at the given last index of active and keeps it
// for reuse.
func (q *fairQueue[T]) dropCaller(p *callerQueue, end int) {
	q.active[end] = nil
	q.active = q.active[:end]
	delete(q.callers, p.caller)
	q.unused = append(q.unused, p)
}

// expire removes the requests whose startBy has passed and appends them to
// expired.
func (q *fairQueue[T]) expire(now time.Time, expired []T) []T {
	remaining := q.active[:0]
	for _, p := range q.active {
		expired = q.expireCaller(p, now, expired)
		if p.length > 0 {
			remaining = append(remaining, p)
			continue
		}
		delete(q.callers, p.caller)
		q.unused = append(q.unused, p)
	}
	clear(q.active[len(remaining):])
	q.active = remaining
	return expired
}

// expireCaller removes the expired requests of one caller.
func (q *fairQueue[T]) expireCaller(p *callerQueue, now time.Time, expired []T) []T {
	before := noNode
	for index := p.firstNode; index != noNode; {
		next := q.nodes[index].next
		if now.Before(q.nodes[index].startBy) {
			before, index = index, next
			continue
		}
		if before == noNode {
			p.firstNode = next
		} else {
			q.nodes[before].next = next
		}
		expired = append(expired, q.nodes[index].payload)
		q.releaseNode(index)
		p.length--
		q.length--
		index = next
	}
	p.lastNode = before
	return expired
}

// ahead estimates how many requests are served before a new one of the caller.
func (q *fairQueue[T]) ahead(caller core.CallerName) int {
	own := 0
	active := len(q.active)
	if p := q.callers[caller]; p != nil {
		own = p.length
	} else {
		active++
	}
	return min(q.length, (own+1)*active-1)
}

// queueOf returns a caller's queue, adding one at the end of active if the
// caller has none.
func (q *fairQueue[T]) queueOf(caller core.CallerName) *callerQueue {
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
	p = q.newCallerQueue()
	*p = callerQueue{caller: caller}
	q.callers[caller] = p
	q.active = append(q.active, p)
	return p
}

func (q *fairQueue[T]) newCallerQueue() *callerQueue {
	if len(q.unused) == 0 {
		return &callerQueue{}
	}
	p := q.unused[len(q.unused)-1]
	q.unused = q.unused[:len(q.unused)-1]
	return p
}

func (q *fairQueue[T]) allocateNode() int {
	if q.freeNode == noNode {
		q.nodes = append(q.nodes, node[T]{})
		return len(q.nodes) - 1
	}
	index := q.freeNode
	q.freeNode = q.nodes[index].next
	return index
}

func (q *fairQueue[T]) releaseNode(index int) {
	q.nodes[index] = node[T]{next: q.freeNode}
	q.freeNode = index
}
