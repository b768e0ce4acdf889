// Package memorybudget bounds the memory that the bodies of all requests or responses
// of a process take together.
package memorybudget

import "fescuespar/internal/lockrank"

// Budget is an amount of memory that its users share. It is safe for concurrent use.
type Budget struct {
	// mu guards free.
	mu   lockrank.Mutex
	free int64 // bytes
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	return &Budget{mu: lockrank.New(lockrank.RankAdapter), free: bytes}
}

// Reserve takes bytes from the budget. It returns false if fewer are free.
func (b *Budget) Reserve(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.free {
		return false
	}
	b.free -= bytes
	return true
}

// Release returns reserved bytes to the budget.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
}

// Free returns the number of bytes that can be reserved.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}
