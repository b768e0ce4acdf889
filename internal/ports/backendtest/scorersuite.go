package backendtest

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest/tokens"
)

// ScorerSubject is a scoring service under test.
type ScorerSubject struct {
	Scorer    ports.Scorer
	Server    core.VM
	SetFaults func(ScorerFaults)
}

// RunScorer runs the contract tests of ports.Scorer. Each case gets a new
// subject.
func RunScorer(t *testing.T, newSubject func(t *testing.T) ScorerSubject) {
	cases := []struct {
		name     string
		faults   ScorerFaults
		deadline time.Duration
		first    errkind.Kind
		second   errkind.Kind // of the same call repeated
	}{
		{name: "same score every time"},
		{name: "refused", faults: ScorerFaults{Refuse: true}, first: errkind.ServerRefused, second: errkind.ServerRefused},
		{name: "reply lost", faults: ScorerFaults{DropReply: true}, first: errkind.ServerFailed},
		{name: "second call fails", faults: ScorerFaults{FailEvery: 2}, second: errkind.ServerFailed},
		{
			name: "too slow", faults: ScorerFaults{DelayMillis: int(longDelay.Milliseconds())}, deadline: shortDeadline,
			first: errkind.Timeout, second: errkind.Timeout,
		},
	}
	sample := core.Sample{Prompt: "How old is the donkey?", Tokens: []string{" seven", " years"}, Finish: core.FinishStop}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t)
			s.SetFaults(c.faults)
			limit := suiteTimeout
			if c.deadline > 0 {
				limit = c.deadline
			}
			for _, want := range []errkind.Kind{c.first, c.second} {
				score, err := s.Scorer.Score(suiteContext(t, limit), s.Server, sample)
				wantKind(t, "Score", err, want)
				if expected := tokens.Score(sample.Prompt, sample.Tokens); want == "" && score != expected {
					t.Errorf("score %v, want %v", score, expected)
				}
			}
		})
	}
}
