package clients

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/app/relay"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest"
	"fescuespar/platform/worker"
)

// registry lists servers and a route to them.
type registry struct {
	published core.Published
	servers   core.Registrations
}

func (r *registry) Published(context.Context) (core.Published, error)   { return r.published, nil }
func (r *registry) Servers(context.Context) (core.Registrations, error) { return r.servers, nil }

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// TestDeathOnKeptConnectionIsRecognised guards against a request without a body that goes
// on to crash server after server: the library sent its copy to the dead server, and the
// refused connection was taken for a request that had not run.
func TestDeathOnKeptConnectionIsRecognised(t *testing.T) {
	const service, deathsBeforeHold = "pages", 2
	site := &registry{published: core.Published{Table: &core.RouteTable{
		Version: 1, Services: map[string]core.ServiceInfo{service: {Name: service}},
		Routes: []core.Route{{Name: "pages", Host: "h", Prefix: "/", Kind: core.RouteIdempotent, Attempts: 4, Timeout: 5 * time.Second,
			Services: []core.WeightedService{{Service: service, Weight: 1}}}},
	}}}
	var servers []*dyingServer
	for n := range 4 {
		server := startDyingServer(t, true)
		servers = append(servers, server)
		site.servers.Entries = append(site.servers.Entries, core.ServerEntry{VM: core.VM{
			ID: core.ServerID(fmt.Sprint("server-", n)), Address: server.address(), Kind: core.KindPlain, Service: service, Zone: "z", Region: "r", State: core.VMLive,
		}})
	}
	entry := relay.New(relay.Options{Self: core.Member{VM: "vm-1", Incarnation: 1, Zone: "z", Region: "r"}, Seed: 1, Workers: 2, GracePeriod: time.Second},
		relay.Ports{Tables: porttest.NewTables(), Objects: porttest.NewObjects(), Bodies: bodycodec.Codec{}, Registry: site, Backend: worker.New(memorybudget.New(1 << 20)), Clock: clock{}},
		zerolog.Nop())
	entry.Start()
	t.Cleanup(entry.Stop)
	get := func(id, path string) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel() // returns the memory of the response
		_, err := entry.Forward(ctx, core.RelayRequest{ID: core.RequestID(id), Method: http.MethodGet, Host: "h", Target: path})
		return err
	}
	hasKeptConnections := func() bool {
		for _, server := range servers {
			if server.answered.Load() == 0 {
				return false
			}
		}
		return true
	}
	for n, deadline := 0, time.Now().Add(20*time.Second); !hasKeptConnections(); n++ {
		if time.Now().After(deadline) {
			t.Fatal("not all servers have answered a request")
		}
		// Requests at the same time, as one after the other stay with a server that has an
		// idle connection. They fail until the process has read the routes and servers.
		var batch sync.WaitGroup
		for i := range 4 * len(servers) {
			batch.Go(func() { _ = get(fmt.Sprint("r-", n, "-", i), "/harmless") })
		}
		batch.Wait()
	}
	for _, server := range servers {
		server.dies.Store(true)
	}
	err := get("crash", "/crash")
	received := int64(0)
	for _, server := range servers {
		received += server.received.Load()
	}
	if received != deathsBeforeHold {
		t.Errorf("the request crashed %d servers, want %d before it is held (%v)", received, deathsBeforeHold, err)
	}
}
