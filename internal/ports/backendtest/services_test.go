package backendtest_test

import (
	"context"
	"errors"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest"
)

func TestPlainFakeKeepsTheContract(t *testing.T) {
	backendtest.RunPlain(t, func(*testing.T) backendtest.PlainSubject {
		fake := backendtest.NewPlain()
		return backendtest.PlainSubject{
			Service: fake, Server: core.VM{ID: "plain-1"},
			SetFaults: func(f backendtest.PlainFaults) { fake.SetFaults("plain-1", f) },
			Revive:    func() { fake.Revive("plain-1") },
			Runs:      fake.Runs,
			WaitRuns: func(_ context.Context, key core.IdempotencyKey, path string, count int) error {
				if fake.Runs(key, path) < count {
					return errors.New("call has not run, although the fake runs a call before it answers")
				}
				return nil
			},
		}
	})
}

func TestScorerFakeKeepsTheContract(t *testing.T) {
	backendtest.RunScorer(t, func(*testing.T) backendtest.ScorerSubject {
		fake := backendtest.NewScorer()
		return backendtest.ScorerSubject{Scorer: fake, Server: core.VM{ID: "scorer-1"}, SetFaults: fake.SetFaults}
	})
}
