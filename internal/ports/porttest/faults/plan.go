package faults

import (
	"maps"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// rankFaults is below every rank of the service, so that a build with the tag
// lockcheck panics when a fake is called under a lock of the service.
const rankFaults lockrank.Rank = 1

// Plan is the list of active rules.
type Plan struct {
	now func() time.Time

	// mu guards the fields below.
	mu      lockrank.Mutex
	entries []entry
	applied map[Event]uint64 // number of calls by the event that was applied to them
}

type entry struct {
	rule      Rule
	remaining int       // remaining calls, if the rule has a count
	expires   time.Time // when the rule expires, if it has a duration
}

// NewPlan returns an empty plan that uses now as its clock.
func NewPlan(now func() time.Time) *Plan {
	return &Plan{now: now, mu: lockrank.New(rankFaults), applied: make(map[Event]uint64)}
}

// Add appends a rule to the active ones. Errors: BadRequest.
func (p *Plan) Add(rule Rule) error {
	if err := rule.Validate(); err != nil {
		return err
	}
	added := entry{rule: rule, remaining: rule.Count}
	if rule.Duration > 0 {
		added.expires = p.now().Add(rule.Duration)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, added)
	return nil
}

// Clear removes all rules.
func (p *Plan) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = nil
}

// Match returns the oldest rule that matches a call and counts the call against
// the rule's limit. It returns false if no rule matches.
func (p *Plan) Match(operation Operation, tables ...core.TableName) (Rule, bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i := range p.entries {
		if p.entries[i].rule.matches(operation, tables) {
			rule := p.entries[i].rule
			p.countCall(i)
			p.applied[rule.Event]++
			return rule, true
		}
	}
	return Rule{}, false
}

// Applied returns the number of calls that each event was applied to.
func (p *Plan) Applied() map[Event]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.applied)
}

// expire removes the rules whose duration has passed. The caller holds mu.
func (p *Plan) expire(now time.Time) {
	remaining := p.entries[:0]
	for _, e := range p.entries {
		if e.expires.IsZero() || now.Before(e.expires) {
			remaining = append(remaining, e)
		}
	}
	p.entries = remaining
}

// countCall counts a call against rule i and removes the rule after its last
// call. The caller holds mu.
func (p *Plan) countCall(i int) {
	if p.entries[i].rule.Count == 0 {
		return
	}
	p.entries[i].remaining--
	if p.entries[i].remaining == 0 {
		p.entries = append(p.entries[:i], p.entries[i+1:]...)
	}
}
