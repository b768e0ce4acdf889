package backendtest

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest/tokens"
)

// Scorer is an in-memory ports.Scorer. All its servers share one set of faults.
type Scorer struct {
	// mu guards all fields below.
	mu     lockrank.Mutex
	faults ScorerFaults
	calls  int
}

var _ ports.Scorer = (*Scorer)(nil)

// NewScorer returns a fake without faults.
func NewScorer() *Scorer { return &Scorer{mu: lockrank.New(lockrank.RankExternal)} }

// SetFaults replaces the faults.
func (s *Scorer) SetFaults(faults ScorerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns the number of calls so far.
func (s *Scorer) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Score implements ports.Scorer.
func (s *Scorer) Score(ctx context.Context, server core.VM, sample core.Sample) (float64, error) {
	faults, failing := s.takeFaults()
	if faults.Refuse {
		return 0, refusedError(server)
	}
	if err := delay(ctx, server, faults.DelayMillis); err != nil {
		return 0, err
	}
	if failing || faults.DropReply {
		return 0, connectionCutError(server)
	}
	return tokens.Score(sample.Prompt, sample.Tokens), nil
}

// takeFaults counts a call, returns its faults and whether it fails by
// FailEvery, and clears the faults that apply once.
func (s *Scorer) takeFaults() (faults ScorerFaults, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults = s.faults
	s.calls++
	failing = faults.FailEvery > 0 && s.calls%faults.FailEvery == 0
	if !faults.Refuse && !failing {
		s.faults.DropReply = false
	}
	return faults, failing
}
