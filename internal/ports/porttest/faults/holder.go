package faults

import (
	"context"
	"maps"
	"slices"
	"time"

	"fescuespar/internal/lockrank"
)

// Scheduler schedules a step to run once a delay has passed.
type Scheduler func(delay time.Duration, step func())

// Holder holds the effects of delayed calls until they are due or released.
type Holder struct {
	after Scheduler

	// mu guards the fields below.
	mu    lockrank.Mutex
	next  uint64
	held  map[uint64]func()
	added chan struct{} // closed and replaced when an effect is added
}

// NewHolder returns an empty holder that schedules effects with a delay by after.
func NewHolder(after Scheduler) *Holder {
	return &Holder{
		after: after,
		mu:    lockrank.New(rankFaults),
		held:  make(map[uint64]func()),
		added: make(chan struct{}),
	}
}

// Hold adds an effect. The effect runs after the delay or at the next Release,
// whichever comes first; with a delay of zero, only at the next Release.
func (h *Holder) Hold(delay time.Duration, effect func()) {
	h.mu.Lock()
	h.next++
	id := h.next
	h.held[id] = effect
	close(h.added)
	h.added = make(chan struct{})
	h.mu.Unlock()
	if delay > 0 {
		h.after(delay, func() { h.run(id) })
	}
}

// Release runs all held effects in the order in which they were added and
// returns their number.
func (h *Holder) Release() int {
	h.mu.Lock()
	ids := slices.Sorted(maps.Keys(h.held))
	h.mu.Unlock()
	for _, id := range ids {
		h.run(id)
	}
	return len(ids)
}

// run runs an effect unless it has already run.
func (h *Holder) run(id uint64) {
	h.mu.Lock()
	effect := h.held[id]
	delete(h.held, id)
	h.mu.Unlock()
	if effect != nil {
		effect()
	}
}

// Count returns the number of held effects.
func (h *Holder) Count() int {
	count, _ := h.heldCount()
	return count
}

// Await waits until at least count effects are held. It returns the context's
// error if the context ends first.
func (h *Holder) Await(ctx context.Context, count int) error {
	for {
		held, added := h.heldCount()
		if held >= count {
			return nil
		}
		select {
		case <-added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Holder) heldCount() (held int, added <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held), h.added
}
