package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/workers"
)

// TestWaitingOrderIsNotSentAfterRelease guards against two VMs that order one engine: an
// order that waited in the lane was sent after its process had released the lease.
func TestWaitingOrderIsNotSentAfterRelease(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	publish := func(version core.WeightVersion) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.published.Versions = []core.ModelVersion{{Model: "m", Version: version}}
	}
	publish(2)
	s.eventually("version 2 on all engines", func() bool { return s.allLoaded(2) })
	blocked := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(blocked) })
	t.Cleanup(unblock)
	for range ordersInFlight {
		if err := service.lanes.orders.Go(func(context.Context) { <-blocked }); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("lane of orders full", func() bool { return service.lanes.orders.State().Running == ordersInFlight })
	waiting := service.lanes.orders.State().Waiting
	publish(3)
	s.eventually("order waiting", func() bool { return service.lanes.orders.State().Waiting > waiting })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go service.Shutdown(ctx)
	s.eventually("lease released", func() bool {
		leaseKey, _ := lease.Keys(coordinatorLease(engineService))
		rows, err := s.tables.Read(t.Context(), []core.RowKey{leaseKey})
		if err != nil {
			t.Fatal(err)
		}
		return rows[0].Record.(core.LeaseRecord).IsFree()
	})
	unblock()
	s.eventually("lane of orders empty", func() bool { return service.lanes.orders.State() == workers.LaneState{} })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, order := range s.orders {
		if order.Version == 3 {
			t.Errorf("order %+v was sent after the release of the lease", order)
		}
	}
}

// TestUnknownModelGetsNoEngines guards against jobs that name a model which no engine has:
// engines were set apart for it, and loaded no versions of the others.
func TestUnknownModelGetsNoEngines(t *testing.T) {
	s := newEnvironment(t)
	service := s.create("vm-1")
	vms := make(map[core.ServerID]core.VM)
	byModel := make(map[core.ModelName][]weights.Engine)
	for i := range 8 {
		id := core.ServerID(fmt.Sprint("engine-", i))
		vms[id], byModel["m"] = core.VM{ID: id}, append(byModel["m"], weights.Engine{Server: id})
	}
	for i, model := range []core.ModelName{"m", "unknown"} {
		job := newJob(core.JobID(fmt.Sprint("j-", i)), 4)
		job.Model = model
		service.startJob(engineService, job, nil)
	}
	if assigned := service.assignEngines(engineService, byModel, vms); len(assigned["m"]) != len(vms) || len(assigned["unknown"]) != 0 {
		t.Errorf("assigned engines %v, want all for m", assigned)
	}
}
