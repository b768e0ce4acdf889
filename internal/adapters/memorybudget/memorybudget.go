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

// maxHeldPerFree is the most that one body may hold, as a multiple of what it leaves free.
// Bodies that grow without end so share the budget evenly, and the more of them there
// are, the less each may hold: n of them leave 1/(1 + n*maxHeldPerFree) of it free.
const maxHeldPerFree = 2

// Grow takes more bytes for a body that holds some already. It returns false if the body
// would hold too large a share, which others need.
func (b *Budget) Grow(held, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held+bytes > maxHeldPerFree*(b.free-bytes) {
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
