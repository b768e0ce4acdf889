package workers

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func TestPoolRunsMostUrgentClassFirst(t *testing.T) {
	pool := NewPool(1, 10)
	unblock := make(chan struct{})
	started := make(chan struct{})
	pool.MustEnqueue(core.ClassRollout, func() { close(started); <-unblock })
	<-started
	var order []core.Class
	for _, class := range []core.Class{core.ClassRollout, core.ClassInteractive, core.ClassControl} {
		pool.MustEnqueue(class, func() { order = append(order, class) })
	}
	close(unblock)
	pool.Stop()
	want := []core.Class{core.ClassControl, core.ClassInteractive, core.ClassRollout}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order = %v, want %v", order, want)
		}
	}
}

func TestPoolRefusesWhenQueueIsFull(t *testing.T) {
	pool := NewPool(1, 1)
	unblock := make(chan struct{})
	started := make(chan struct{})
	pool.MustEnqueue(core.ClassInteractive, func() { close(started); <-unblock })
	<-started
	if err := pool.Enqueue(core.ClassInteractive, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := pool.Enqueue(core.ClassInteractive, func() {}); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("Enqueue on a full queue: %v, want overloaded", err)
	}
	close(unblock)
	pool.Stop()
	if err := pool.Enqueue(core.ClassInteractive, func() {}); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("Enqueue after Stop: %v, want shutting_down", err)
	}
}

func TestLaneBoundsCallsInFlight(t *testing.T) {
	lane := NewLane("test", 2, 100)
	var running, maxRunning atomic.Int64
	var calls sync.WaitGroup
	for range 20 {
		calls.Add(1)
		err := lane.Go(func(context.Context) {
			defer calls.Done()
			current := running.Add(1)
			for old := maxRunning.Load(); current > old && !maxRunning.CompareAndSwap(old, current); old = maxRunning.Load() {
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	calls.Wait()
	if maxRunning.Load() > 2 {
		t.Errorf("%d calls in flight at once, want at most 2", maxRunning.Load())
	}
	lane.Stop()
	if err := lane.Go(func(context.Context) {}); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("Go after Stop: %v, want shutting_down", err)
	}
}
