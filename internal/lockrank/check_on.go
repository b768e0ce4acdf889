//go:build lockcheck

package lockrank

import (
	"fmt"
	"slices"
	"sync"
)

// Checked reports whether the lock order is checked.
const Checked = true

// held maps each goroutine to the ranks of the locks that it holds, in the order
// in which it acquired them.
var held = struct {
	sync.Mutex
	ranks map[goroutine][]Rank
}{ranks: make(map[goroutine][]Rank)}

// acquire records that the calling goroutine acquires a lock. It panics if the
// goroutine holds a lock of the same or a higher rank.
func acquire(rank Rank) {
	id := currentGoroutine()
	held.Lock()
	defer held.Unlock()
	for _, other := range held.ranks[id] {
		if other >= rank {
			panic(fmt.Sprintf("lockrank: lock of rank %d acquired while holding one of rank %d", rank, other))
		}
	}
	held.ranks[id] = append(held.ranks[id], rank)
}

// release records that the calling goroutine releases a lock. It panics if the
// goroutine does not hold one of that rank.
func release(rank Rank) {
	id := currentGoroutine()
	held.Lock()
	defer held.Unlock()
	index := slices.Index(held.ranks[id], rank)
	if index < 0 {
		panic(fmt.Sprintf("lockrank: lock of rank %d released by a goroutine that does not hold it", rank))
	}
	held.ranks[id] = slices.Delete(held.ranks[id], index, index+1)
	if len(held.ranks[id]) == 0 {
		delete(held.ranks, id)
	}
}
