package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
)

// newLargeService returns a process that knows one entry process per ten servers,
// and the registrations of the given number of servers.
func newLargeService(servers int) (*Service, core.Registrations) {
	env := newEnvironment(nil)
	env.log = zerolog.Nop()
	service := New(Options{Self: core.Member{VM: "vm-1", Zone: "z", Region: "r"}, Seed: 1, Workers: 1}, Ports{
		Tables: env.tables, Objects: env.objects, Registry: env, Backend: env, Clock: systemClock{},
	}, env.log)
	service.routes.Apply(env.published.Table)
	registrations := core.Registrations{ContentHash: 1}
	for i := range servers {
		entry := core.ServerEntry{VM: core.VM{
			ID: core.ServerID(fmt.Sprintf("i-%08d", i)), Kind: core.KindPlain, Service: plainService,
			Address: fmt.Sprint("10.0.0.1:", i), Zone: "z", Region: "r", State: core.VMLive, Slots: 8,
		}}
		if i%2 == 0 {
			entry.VM.Kind, entry.VM.Service = core.KindEngine, engineService
			entry.Models = []core.ModelVersion{{Model: "m", Version: 1}}
		}
		registrations.Entries = append(registrations.Entries, entry)
	}
	records := make(map[core.VMID]core.MemberRecord)
	for i := range servers / 10 {
		id := core.VMID(fmt.Sprintf("vm-%08d", i))
		records[id] = core.MemberRecord{Incarnation: 1, Zone: "z", Region: "r", Power: 500, Every: time.Hour}
	}
	service.members.Observe(records, time.Now())
	return service, registrations
}

// benchmarkFleetSizes runs a benchmark with fleets of several sizes.
func benchmarkFleetSizes(b *testing.B, operation func(service *Service, registrations core.Registrations)) {
	for _, servers := range []int{300, 1000, 3000, 6100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			service, registrations := newLargeService(servers)
			service.applyServers(registrations, time.Now())
			service.applyServers(registrations, time.Now().Add(time.Minute)) // long after the first read
			b.ReportAllocs()
			for b.Loop() {
				operation(service, registrations)
			}
		})
	}
}

// BenchmarkApplyServers measures applying registrations that have not changed.
func BenchmarkApplyServers(b *testing.B) {
	benchmarkFleetSizes(b, func(service *Service, registrations core.Registrations) {
		service.applyServers(registrations, time.Now().Add(time.Minute))
	})
}

// BenchmarkUpdateLeases measures one update of the leases.
func BenchmarkUpdateLeases(b *testing.B) {
	benchmarkFleetSizes(b, func(service *Service, _ core.Registrations) { service.updateLeases() })
}

// BenchmarkSweepServers measures one comparison of all servers with their peers.
func BenchmarkSweepServers(b *testing.B) {
	benchmarkFleetSizes(b, func(service *Service, _ core.Registrations) { service.sweepServers() })
}

// BenchmarkAcquireServer measures the selection of a server for one request.
func BenchmarkAcquireServer(b *testing.B) {
	benchmarkFleetSizes(b, func(service *Service, _ core.Registrations) {
		now := time.Now()
		dispatch, err := service.servers.Acquire(routing.Query{
			Kind: core.KindPlain, Service: plainService, Class: core.ClassInteractive, ExpectedTokens: 1, Zone: "z", Region: "r",
		}, now)
		if err != nil {
			panic(err)
		}
		service.servers.Release(dispatch, routing.Result{Outcome: outlier.Succeeded}, now)
	})
}
