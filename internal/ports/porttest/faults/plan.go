package faults

import (
	"maps"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// rankFaults is below every rank of the service, so that a test build panics
// when a caller reaches a fake while it holds a lock of the service.
const rankFaults lockrank.Rank = 1

// Plan is the list of orders in force.
type Plan struct {
	now func() time.Time

	// mu guards the fields below.
	mu      lockrank.Mutex
	entries []entry
	taken   map[Event]uint64
}

type entry struct {
	order Order
	left  int       // calls still to hit, when the order has a count
	until time.Time // when the order ends, when it has a duration
}

// NewPlan returns an empty plan that reads the time from now.
func NewPlan(now func() time.Time) *Plan {
	return &Plan{now: now, mu: lockrank.New(rankFaults), taken: make(map[Event]uint64)}
}

// Add puts an order behind those in force. Errors: BadRequest.
func (p *Plan) Add(order Order) error {
	if err := order.Validate(); err != nil {
		return err
	}
	added := entry{order: order, left: order.Count}
	if order.Duration > 0 {
		added.until = p.now().Add(order.Duration)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, added)
	return nil
}

// Clear removes all orders.
func (p *Plan) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = nil
}

// Take returns the oldest order that hits a call and counts the call against
// it. It returns false when none does.
func (p *Plan) Take(operation Operation, tables ...core.TableName) (Order, bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i := range p.entries {
		if p.entries[i].order.matches(operation, tables) {
			order := p.entries[i].order
			p.spend(i)
			p.taken[order.Event]++
			return order, true
		}
	}
	return Order{}, false
}

// Taken returns how many calls each event has hit.
func (p *Plan) Taken() map[Event]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.taken)
}

func (p *Plan) expire(now time.Time) {
	kept := p.entries[:0]
	for _, e := range p.entries {
		if e.until.IsZero() || now.Before(e.until) {
			kept = append(kept, e)
		}
	}
	p.entries = kept
}

func (p *Plan) spend(i int) {
	if p.entries[i].order.Count == 0 {
		return
	}
	p.entries[i].left--
	if p.entries[i].left == 0 {
		p.entries = append(p.entries[:i], p.entries[i+1:]...)
	}
}
