package app_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/core/vmlist"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// vmListFleetSize is a fleet size at which not all processes read the list.
const vmListFleetSize = vmlist.SmallFleetSize + 8

// frozenPeer does not answer before the request's context ends.
type frozenPeer struct{ ports.PeerHandler }

func (frozenPeer) HandleHeartbeat(ctx context.Context, _ core.Heartbeat) (core.Heartbeat, error) {
	<-ctx.Done()
	return core.Heartbeat{}, errkind.New(errkind.PeerUnreachable, "the peer is frozen")
}

func (frozenPeer) HandleVMListChanges(ctx context.Context, _ core.VMListChangesRequest) (core.VMListChanges, error) {
	<-ctx.Done()
	return core.VMListChanges{}, errkind.New(errkind.PeerUnreachable, "the peer is frozen")
}

// newVMListCluster starts vmListFleetSize services in one availability zone and
// waits until every service that is not a reader gets the list from a reader.
func newVMListCluster(t *testing.T) (*cluster, *callCounters) {
	counters := &callCounters{}
	c := newClusterWith(t, clusterOptions{
		size: vmListFleetSize, timeout: testTimeout, deployments: testDeployments[:1], wrapPorts: counters.wrap, setOptions: setDefaultIntervals,
	})
	c.await("all members known everywhere", func() bool {
		for _, s := range c.services {
			if s.Metrics().VMListUpdates.Count() == 0 && !c.isReader(s) || len(s.Status().Members) < vmListFleetSize {
				return false
			}
		}
		return true
	})
	return c, counters
}

// isReader reports whether a service reads the list from the platform.
func (c *cluster) isReader(s *app.Service) bool {
	return slices.Contains(c.readers(), s)
}

// readers returns the services that read the list when all are live.
func (c *cluster) readers() (readers []*app.Service) {
	members := c.services[0].Status().Members
	for _, s := range c.services {
		index := slices.IndexFunc(members, func(m core.Member) bool { return m.VM == s.State().(app.State).VM })
		if index < 0 {
			continue
		}
		if _, hasReader := vmlist.SelectReader(members[index], members, 0); !hasReader {
			readers = append(readers, s)
		}
	}
	return readers
}

func (c *cluster) addressOf(s *app.Service) string {
	return fmt.Sprintf("peer-%d", slices.Index(c.services, s)+1)
}

// awaitReadersOnly waits for a second in which only the readers read the list.
func (c *cluster) awaitReadersOnly(counters *callCounters) {
	c.t.Helper()
	const jitterReads = 1 // a reader's period may be a twentieth shorter than a second
	c.await("reads of the VM list by its readers only", func() bool {
		before := counters.values().vmLists
		<-time.After(time.Second)
		return counters.values().vmLists-before <= vmlist.ReadersPerZone*(1+jitterReads)
	})
}

// TestLeavingServerIsKnownAfterReaderLoss removes one of the two readers of the
// VM list and at the same time marks a server as leaving. The other processes
// must know it within the guaranteed 3 s, at the default intervals.
func TestLeavingServerIsKnownAfterReaderLoss(t *testing.T) {
	const guaranteed = 3 * time.Second
	for name, removeReader := range map[string]func(*cluster, *app.Service, string){
		"killed": func(c *cluster, s *app.Service, address string) { c.network.setCut(address, true); s.Stop() },
		"frozen": func(c *cluster, _ *app.Service, address string) { c.network.join(address, frozenPeer{}) },
	} {
		t.Run(name, func(t *testing.T) {
			c, counters := newVMListCluster(t)
			readers := c.readers()
			if len(readers) != vmlist.ReadersPerZone {
				t.Fatalf("got %d readers, want vmlist.ReadersPerZone", len(readers))
			}
			c.awaitReadersOnly(counters)
			lost := readers[0]
			removeReader(c, lost, c.addressOf(lost))
			list, _ := c.vms.VMs(c.ctx)
			list = slices.Clone(list)
			list[slices.IndexFunc(list, func(vm core.VM) bool { return vm.ID == "engine-1" })].State = core.VMLeaving
			list = slices.DeleteFunc(list, func(vm core.VM) bool { return vm.ID == "engine-2" })
			c.vms.Set(list...)
			start := time.Now()
			for _, s := range c.services {
				if s != lost {
					c.await("the leaving server known", func() bool { return knowsLeaving(s) })
				}
			}
			elapsed := time.Since(start)
			t.Logf("known everywhere after %v", elapsed)
			if elapsed > guaranteed {
				t.Errorf("known everywhere after %v, guaranteed %v", elapsed, guaranteed)
			}
		})
	}
}

func knowsLeaving(s *app.Service) bool {
	for _, view := range s.State().(app.State).Servers {
		if view.VM.ID == "engine-1" && view.VM.State != core.VMLeaving || view.VM.ID == "engine-2" {
			return false
		}
	}
	return true
}
