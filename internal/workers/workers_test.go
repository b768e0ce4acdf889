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
	hold := make(chan struct{})
	started := make(chan struct{})
	pool.MustEnqueue(core.ClassRollout, func() { close(started); <-hold })
	<-started
	var order []core.Class
	for _, class := range []core.Class{core.ClassRollout, core.ClassPeople, core.ClassControl} {
		pool.MustEnqueue(class, func() { order = append(order, class) })
	}
	close(hold)
	pool.Stop()
	want := []core.Class{core.ClassControl, core.ClassPeople, core.ClassRollout}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order = %v, want %v", order, want)
		}
	}
}

func TestPoolRefusesWhenQueueIsFull(t *testing.T) {
	pool := NewPool(1, 1)
	hold := make(chan struct{})
	started := make(chan struct{})
	pool.MustEnqueue(core.ClassPeople, func() { close(started); <-hold })
	<-started
	if err := pool.Enqueue(core.ClassPeople, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := pool.Enqueue(core.ClassPeople, func() {}); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("got %v, want overloaded", err)
	}
	close(hold)
	pool.Stop()
	if err := pool.Enqueue(core.ClassPeople, func() {}); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("got %v, want shutting_down", err)
	}
}

func TestLaneBoundsCallsInFlight(t *testing.T) {
	lane := NewLane("test", 2, 100)
	var running, most atomic.Int64
	var all sync.WaitGroup
	for range 20 {
		all.Add(1)
		err := lane.Go(func(context.Context) {
			defer all.Done()
			now := running.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	all.Wait()
	if most.Load() > 2 {
		t.Errorf("%d calls in flight, want at most 2", most.Load())
	}
	lane.Stop()
	if err := lane.Go(func(context.Context) {}); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("got %v, want shutting_down", err)
	}
}
