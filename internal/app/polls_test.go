package app_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/core/polling"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
)

// manyEngines is more engines of one service than a process polls.
const manyEngines = 60

// frozenEngine blocks all status calls and orders of one service while frozen.
type frozenEngine struct {
	ports.Engine
	frozen atomic.Bool
}

func (e *frozenEngine) blockWhileFrozen(ctx context.Context) {
	if e.frozen.Load() {
		<-ctx.Done()
	}
}

func (e *frozenEngine) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	e.blockWhileFrozen(ctx)
	return e.Engine.Status(ctx, server, cursor)
}

func (e *frozenEngine) Order(ctx context.Context, server core.VM, order core.Order) error {
	e.blockWhileFrozen(ctx)
	return e.Engine.Order(ctx, server, order)
}

// newEngineCluster starts services with manyEngines engines.
func newEngineCluster(t *testing.T, size int, wrapPorts func(*app.Ports)) (*cluster, []core.VM) {
	c := newClusterWith(t, clusterOptions{size: size, timeout: testTimeout, deployments: testDeployments, wrapPorts: wrapPorts})
	list := append([]core.VM(nil), backendServers[3:]...)
	for i := range manyEngines {
		engine := backendServers[i%3]
		engine.ID, engine.Address = core.ServerID(fmt.Sprint("many-", i)), fmt.Sprint("m", i)
		list = append(list, engine)
	}
	c.setVMList(list)
	c.await("all engines known to every service", func() bool {
		for _, s := range c.services {
			if len(s.State().(app.State).Servers) != len(list) {
				return false
			}
		}
		return true
	})
	return c, list
}

// countPolls counts the engines that a service polls and those that reported to
// it.
func countPolls(s *app.Service) (polls, reports int) {
	for _, view := range s.State().(app.State).Servers {
		if view.Polled {
			polls++
		}
		if !view.ReportedAt.IsZero() {
			reports++
		}
	}
	return polls, reports
}

// awaitPolling waits until exactly the given service and the others that hold a
// lease have the reports of all engines.
func (c *cluster) awaitPolling(holder *app.Service) {
	c.t.Helper()
	c.await("reports of all engines at lease holders, of a sample at others", func() bool {
		for i, s := range c.services {
			want := polling.DefaultPolicy(0).SampleSize
			if s == holder || holdsLease(s) {
				want = manyEngines
			}
			if s != holder && c.network.isCut(fmt.Sprintf("peer-%d", i+1)) {
				continue
			}
			if polls, reports := countPolls(s); polls != want || reports != want {
				return false
			}
		}
		return true
	})
}

// holdsLease reports whether a service coordinates the deployment or gives
// orders to its engines.
func holdsLease(s *app.Service) bool {
	return slices.ContainsFunc(s.State().(app.State).Leases, func(l tables.LeaseState) bool { return l.Held })
}

func (c *cluster) awaitWeights(version core.WeightVersion) {
	c.t.Helper()
	for i := range manyEngines {
		if err := c.engine.Server(core.ServerID(fmt.Sprint("many-", i))).WaitVersion(c.ctx, version); err != nil {
			c.t.Fatalf("many-%d did not load version %d: %v", i, version, err)
		}
	}
}

// TestWeightOrdersAfterLeaseHolderLoss removes the process that gives the
// orders and therefore polls all engines. Its successor must load new weights
// on all engines within the lease's term and margin plus the 6 s of a rollout,
// and must not repeat orders for weights that the engines hold.
func TestWeightOrdersAfterLeaseHolderLoss(t *testing.T) {
	const bound = 600*time.Millisecond*11/10 + 6*time.Second
	for name, removeHolder := range map[string]func(*cluster, *app.Service, string, *frozenEngine){
		"killed": func(c *cluster, s *app.Service, address string, _ *frozenEngine) {
			c.network.setCut(address, true)
			s.Stop()
		},
		"cut off": func(c *cluster, _ *app.Service, address string, _ *frozenEngine) { c.network.setCut(address, true) },
		"frozen": func(c *cluster, _ *app.Service, address string, engine *frozenEngine) {
			c.network.setCut(address, true)
			engine.frozen.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var engines []*frozenEngine
			c, _ := newEngineCluster(t, 3, func(external *app.Ports) {
				engines = append(engines, &frozenEngine{Engine: external.Engine})
				external.Engine = engines[len(engines)-1]
			})
			first, address := c.leaseHolder(ordersLeaseName)
			c.awaitPolling(first)
			if err := first.PublishWeights(c.ctx, coach, model, 2); err != nil {
				t.Fatal(err)
			}
			c.awaitWeights(2)
			c.awaitPolling(first)
			for i, s := range c.services {
				if s == first {
					removeHolder(c, s, address, engines[i])
				}
			}
			removedAt := time.Now()
			second, _ := c.leaseHolder(ordersLeaseName)
			c.awaitPolling(second)
			if orders := second.Metrics().WeightOrders.Count(); orders != 0 {
				t.Errorf("the successor gave %d orders for weights that all engines hold", orders)
			}
			if err := second.PublishWeights(c.ctx, coach, model, 3); err != nil {
				t.Fatal(err)
			}
			c.awaitWeights(3)
			if elapsed := time.Since(removedAt); elapsed > bound {
				t.Errorf("new weights on all engines %v after the loss, want at most %v", elapsed, bound)
			}
		})
	}
}

// TestRequestsReachEnginesThatAreNotPolled checks that engines get requests
// although most are not polled, and that leaving ones get none.
func TestRequestsReachEnginesThatAreNotPolled(t *testing.T) {
	c, list := newEngineCluster(t, 2, nil)
	first, _ := c.coordinator()
	c.awaitPolling(first)
	other := c.services[0]
	if other == first {
		other = c.services[1]
	}
	send := func(name string) (served map[core.ServerID]int) {
		before, served := make(map[core.ServerID]int), make(map[core.ServerID]int)
		for _, vm := range list {
			before[vm.ID] = c.engine.Server(vm.ID).Counts().Streams
		}
		for i := range 300 {
			id := core.RequestID(fmt.Sprint(name, i))
			request := newCompletion(id)
			request.Prompt = fmt.Sprint("prompt ", name, i)
			if err := other.Complete(c.ctx, request, nil); err != nil {
				t.Fatal(err)
			}
			if _, err := c.readAnswer(other, id, 0); err != nil {
				t.Fatal(err)
			}
		}
		for _, vm := range list {
			if streams := c.engine.Server(vm.ID).Counts().Streams - before[vm.ID]; streams > 0 {
				served[vm.ID] = streams
			}
		}
		return served
	}
	if served := send("a"); len(served) <= polling.DefaultPolicy(0).SampleSize {
		t.Errorf("%d of %d engines got requests, want more than the polled ones", len(served), manyEngines)
	}
	leaving := append([]core.VM(nil), list...)
	for i := len(leaving) - 20; i < len(leaving); i++ {
		leaving[i].State = core.VMLeaving
	}
	c.setVMList(leaving)
	c.await("the leaving engines known", func() bool {
		count := 0
		for _, view := range other.State().(app.State).Servers {
			if view.VM.State == core.VMLeaving {
				count++
			}
		}
		return count == 20
	})
	served := send("b")
	for _, vm := range leaving[len(leaving)-20:] {
		if served[vm.ID] > 0 {
			t.Errorf("leaving engine %s got %d streams, want 0", vm.ID, served[vm.ID])
		}
	}
}
