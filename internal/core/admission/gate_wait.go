package admission

import (
	"time"

	"fescuespar/internal/core"
)

// Cancel removes a waiting request and returns its payload. It returns false if the
// request no longer waits.
func (g *Gate[T]) Cancel(wait Wait) (T, bool) {
	queue := g.queues[wait.class]
	if wait.generation == 0 || queue.nodes[wait.node].generation != wait.generation {
		var none T
		return none, false
	}
	return queue.remove(wait.node), true
}

// EvictFor removes a waiting request because there are too many with one that Admit has
// just queued. If it is another one its payload is returned, and the caller must refuse
// it. It returns false if it is the same one.
func (g *Gate[T]) EvictFor(request *Request[T]) (payload T, isOther bool) {
	return g.queues[request.Class].evictFor(request.Wait.node)
}

// RemoveWaiting removes all waiting requests and appends their payloads to removed.
func (g *Gate[T]) RemoveWaiting(removed []T) []T {
	for _, queue := range g.queues {
		for index := range queue.nodes {
			if queue.nodes[index].route != nil {
				removed = append(removed, queue.remove(index))
			}
		}
	}
	return removed
}

// Held returns the number of requests in flight and waiting.
func (g *Gate[T]) Held() int {
	held := g.totalInFlight()
	for _, queue := range g.queues {
		held += queue.length
	}
	return held
}

// Waiting returns the number of waiting requests of a class.
func (g *Gate[T]) Waiting(class core.Class) int { return g.queues[class].length }

// RolloutRoom returns how many more rollouts may be submitted so that each starts at
// once or as soon as interactive requests leave rollouts their share.
func (g *Gate[T]) RolloutRoom(now time.Time) int {
	return g.rolloutSlots(now) - g.inFlight[core.ClassRollout] - g.queues[core.ClassRollout].length
}
