//go:build lockcheck

package lockrank

import (
	"fmt"
	"slices"
	"sync"
)

// Checked reports whether acquisitions are checked.
const Checked = true

// held maps a goroutine to the ranks that it holds, in order of acquisition.
var held = struct {
	sync.Mutex
	ranks map[goroutine][]Rank
}{ranks: make(map[goroutine][]Rank)}

func acquire(rank Rank) {
	id := current()
	held.Lock()
	defer held.Unlock()
	for _, other := range held.ranks[id] {
		if other >= rank {
			panic(fmt.Sprintf("lockrank: rank %d taken while holding rank %d", rank, other))
		}
	}
	held.ranks[id] = append(held.ranks[id], rank)
}

func release(rank Rank) {
	id := current()
	held.Lock()
	defer held.Unlock()
	at := slices.Index(held.ranks[id], rank)
	if at < 0 {
		panic(fmt.Sprintf("lockrank: rank %d released by a goroutine that does not hold it", rank))
	}
	held.ranks[id] = slices.Delete(held.ranks[id], at, at+1)
	if len(held.ranks[id]) == 0 {
		delete(held.ranks, id)
	}
}
