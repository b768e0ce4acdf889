package backendtest_test

import (
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports/backendtest"
)

func TestEngineFakeKeepsTheContract(t *testing.T) {
	backendtest.RunEngine(t, func(_ *testing.T, checksFencing bool) backendtest.EngineSubject {
		fake := backendtest.NewEngine(backendtest.EngineOptions{
			Model: backendtest.SuiteModel, Version: backendtest.SuiteVersion, ExtraAdapters: 1, IgnoresFencing: !checksFencing,
		})
		server := fake.Server("engine-1")
		return backendtest.EngineSubject{
			Engine: fake, Server: core.VM{ID: "engine-1"},
			SetFaults: server.SetFaults, Revive: server.Revive,
			Counts: server.Counts, WaitVersion: server.WaitVersion, WaitLoaded: server.WaitLoaded,
			WaitAdapter: server.WaitAdapter,
		}
	})
}

func TestFakePanicsWhenCalledUnderLock(t *testing.T) {
	if !lockrank.Checked {
		t.Skip("built without the tag lockcheck")
	}
	fake := backendtest.NewEngine(backendtest.EngineOptions{})
	mu := lockrank.New(lockrank.RankLifecycle)
	mu.Lock()
	defer mu.Unlock()
	defer func() {
		if recover() == nil {
			t.Error("call of a port under a lock did not panic")
		}
	}()
	_, _ = fake.Status(t.Context(), core.VM{ID: "engine-1"}, 0)
}
