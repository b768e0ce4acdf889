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

// largeSite returns a process of a site with so many servers, ten for each
// entry process, and the registrations.
func largeSite(servers int) (*Service, core.Registrations) {
	site := newSite(nil)
	site.log = zerolog.Nop()
	service := New(Options{Self: core.Member{VM: "vm-1", Zone: "z", Region: "r"}, Seed: 1, Workers: 1}, Ports{
		Tables: site.tables, Objects: site.objects, Registry: site, Backend: site, Clock: systemClock{},
	}, site.log)
	service.routes.Apply(site.published.Table)
	read := core.Registrations{Content: 1}
	for i := range servers {
		entry := core.ServerEntry{VM: core.VM{
			ID: core.ServerID(fmt.Sprintf("i-%08d", i)), Kind: core.KindPlain, Service: plainService,
			Address: fmt.Sprint("10.0.0.1:", i), Zone: "z", Region: "r", State: core.VMLive, Slots: 8,
		}}
		if i%2 == 0 {
			entry.VM.Kind, entry.VM.Service = core.KindEngine, engineService
			entry.Models = []core.ModelVersion{{Model: "m", Version: 1}}
		}
		read.Entries = append(read.Entries, entry)
	}
	records := make(map[core.VMID]core.MemberRecord)
	for i := range servers / 10 {
		id := core.VMID(fmt.Sprintf("vm-%08d", i))
		records[id] = core.MemberRecord{Incarnation: 1, Zone: "z", Region: "r", Power: 500, Every: time.Hour}
	}
	service.members.Observe(records, time.Now())
	return service, read
}

// onLargeSites runs a benchmark at several sizes.
func onLargeSites(b *testing.B, work func(service *Service, read core.Registrations)) {
	for _, servers := range []int{300, 1000, 3000, 6100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			service, read := largeSite(servers)
			service.applyServers(read, time.Now())
			service.applyServers(read, time.Now().Add(time.Minute)) // long after the first answer
			b.ReportAllocs()
			for b.Loop() {
				work(service, read)
			}
		})
	}
}

// BenchmarkLook measures one look at the backend servers when nothing has
// changed since the last one.
func BenchmarkLook(b *testing.B) {
	onLargeSites(b, func(service *Service, read core.Registrations) {
		service.applyServers(read, time.Now().Add(time.Minute))
	})
}

// BenchmarkTend measures one look at the leases.
func BenchmarkTend(b *testing.B) {
	onLargeSites(b, func(service *Service, _ core.Registrations) { service.tend() })
}

// BenchmarkSweep measures one comparison of the servers with their peers.
func BenchmarkSweep(b *testing.B) {
	onLargeSites(b, func(service *Service, _ core.Registrations) { service.sweepServers() })
}

// BenchmarkRoute measures the choice of a server for one request.
func BenchmarkRoute(b *testing.B) {
	onLargeSites(b, func(service *Service, _ core.Registrations) {
		now := time.Now()
		begun, err := service.servers.Acquire(routing.Query{
			Kind: core.KindPlain, Service: plainService, Class: core.ClassPeople, Tokens: 1, Zone: "z", Region: "r",
		}, now)
		if err != nil {
			panic(err)
		}
		service.servers.Release(begun, routing.Result{Outcome: outlier.Succeeded}, now)
	})
}
