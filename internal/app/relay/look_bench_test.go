package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/core"
)

// BenchmarkLook measures one look at the backend servers of a large site when
// nothing has changed since the last one.
func BenchmarkLook(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 6100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			site := newSite(nil)
			site.log = zerolog.Nop()
			service := New(Options{Self: core.Member{VM: "vm-1", Zone: "z", Region: "r"}, Seed: 1, Workers: 1}, Ports{
				Tables: site.tables, Objects: site.objects, Registry: site, Backend: site, Clock: systemClock{},
			}, site.log)
			service.routes.Apply(site.published.Table)
			read := core.Registrations{}
			for i := range servers {
				entry := core.ServerEntry{VM: core.VM{
					ID: core.ServerID(fmt.Sprintf("i-%08d", i)), Kind: core.KindPlain, Service: plainService,
					Address: "10.0.0.1:80", Zone: "z", Region: "r", State: core.VMLive, Slots: 8,
				}}
				if i%2 == 0 {
					entry.VM.Kind, entry.VM.Service = core.KindEngine, engineService
					entry.Models = []core.ModelVersion{{Model: "m", Version: 1}}
				}
				read.Entries = append(read.Entries, entry)
			}
			began := time.Now()
			for b.Loop() {
				began = began.Add(time.Second)
				service.applyServers(read, began)
			}
		})
	}
}
