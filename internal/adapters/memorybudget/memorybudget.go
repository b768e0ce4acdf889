// Package memorybudget shares the memory of a process that its callers' requests and
// backend servers' answers take. Package memory decides; here are the lock, the waiting
// for memory that others release, and the reading of bodies.
package memorybudget

import (
	"time"

	"fescuespar/internal/core/memory"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
)

// releaseTimeout is how long a holder waits for the memory of others that were ended.
// They release it as soon as they run again, which takes a while on a busy VM.
const releaseTimeout = time.Second

var _ ports.Memory = (*Budget)(nil)

// Budget is an amount of memory that its holders share. It is safe for concurrent use.
type Budget struct {
	// mu guards the fields below and the state of all holders.
	mu       lockrank.Mutex
	ledger   *memory.Ledger
	released chan struct{} // closed at the next release; nil if nobody waits for it
	ended    int64         // holders that were ended for others
	refused  int64         // requests for memory that were refused
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	return &Budget{mu: lockrank.New(lockrank.RankAdapter), ledger: memory.NewLedger(bytes)}
}

// Free returns the number of bytes that nobody holds.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Free()
}

// State is a snapshot of a budget.
type State struct {
	Total   int64 // bytes
	Held    int64 // bytes
	Ended   int64 // holders ended for others since the start
	Refused int64 // requests for memory that were refused since the start
}

// State returns a snapshot.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Total: b.ledger.Total(), Held: b.ledger.Total() - b.ledger.Free(), Ended: b.ended, Refused: b.refused}
}

// Holder is what one caller's request, or the answer to it, holds of a budget. Its
// methods may be called concurrently.
type Holder struct {
	budget *Budget
	state  memory.Holder
	end    func()
}

// NewHolder returns a holder without memory that is not ended for others. The user calls
// Release at last.
func (b *Budget) NewHolder() *Holder {
	h := &Holder{budget: b}
	h.state.Owner = h
	return h
}

// Take implements ports.Memory.
func (b *Budget) Take(bytes int64) (release func(), ok bool) {
	hold := b.NewHolder()
	if !hold.Grow(bytes) {
		return nil, false
	}
	return hold.Release, true
}

// Begin begins a new phase of the holder, in which its progress is measured anew. With
// end set it may be ended for others during the phase: end is called at most once, by
// another goroutine, and must make the user release the holder soon. Begin returns false
// if the holder was ended in an earlier phase.
func (h *Holder) Begin(end func()) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.end = end
	return h.budget.ledger.Begin(&h.state, end != nil, time.Now())
}

// Grow takes more bytes. It returns false if the holder's share does not allow it. It
// waits while others that were ended release theirs.
func (h *Holder) Grow(bytes int64) bool {
	granted, ends := h.tryGrow(bytes)
	for _, end := range ends {
		end()
	}
	if granted && !h.budget.awaitReleased() {
		h.Shrink(bytes)
		return false
	}
	return granted
}

// tryGrow takes more bytes and returns the functions that end the holders that must
// release theirs.
func (h *Holder) tryGrow(bytes int64) (bool, []func()) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	granted, ended := b.ledger.Grow(&h.state, bytes, time.Now())
	if !granted {
		b.refused++
	}
	var ends []func()
	for _, state := range ended {
		b.ended++
		ends = append(ends, state.Owner.(*Holder).end)
	}
	return granted, ends
}

// awaitReleased waits until no more is held than there is. It returns false after
// releaseTimeout.
func (b *Budget) awaitReleased() bool {
	released, free := b.nextRelease()
	if free {
		return true
	}
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	for !free {
		select {
		case <-released:
			released, free = b.nextRelease()
		case <-timeout.C:
			return false
		}
	}
	return true
}

// nextRelease reports whether no more is held than there is. If not, it returns a
// channel that is closed at the next release.
func (b *Budget) nextRelease() (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.Free() >= 0 {
		return nil, true
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released, false
}

// wake wakes those that wait for a release. The caller holds mu.
func (b *Budget) wake() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Add counts bytes that the holder has taken already.
func (h *Holder) Add(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Add(&h.state, bytes)
}

// Shrink returns some of the holder's bytes.
func (h *Holder) Shrink(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Release(&h.state, bytes)
	h.budget.wake()
}

// Resize sets the number of bytes that the holder has taken.
func (h *Holder) Resize(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Add(&h.state, bytes-h.state.Held())
	h.budget.wake()
}

// Release returns all bytes of the holder, which is as new afterwards.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Remove(&h.state)
	h.end = nil
	h.budget.wake()
}

// Progress records bytes that the caller has sent or read.
func (h *Holder) Progress(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Progress(&h.state, bytes, time.Now())
}

// IsEnded reports whether the holder was ended for others.
func (h *Holder) IsEnded() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state.Ended()
}
