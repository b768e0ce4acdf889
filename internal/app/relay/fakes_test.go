package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest"
)

// environment is what the processes of a test share: one store, one registry, and
// fake engines and plain servers. It implements ports.Registry and ports.Backend.
type environment struct {
	t       testing.TB
	log     zerolog.Logger
	tables  *porttest.Tables
	objects *porttest.Objects

	mu              sync.Mutex
	published       core.Published
	registryErr     error // error of reads of routes and registrations; nil for an answer
	servers         []core.ServerEntry
	eventInterval   time.Duration // between the events of a stream
	eventCount      int           // events of a stream
	reclaim         time.Duration // Options.ReclaimPeriod of started processes
	orders          []core.Order
	orderCounts     map[core.ServerID]uint64                                                       // orders accepted by each engine
	runStarts       map[core.RequestID][]int                                                       // first event of each run, by item
	exchange        func(core.VM, core.RelayRequest) (core.RelayResponse, error)                   // nil for status 200
	stream          func(core.VM, core.EventsRequest, ports.EventSink) (core.RelayResponse, error) // nil for eventCount events
	refusesRuns     func(core.VM) bool                                                             // reports whether an engine refuses runs
	exchangeTime    time.Duration                                                                  // duration of an exchange, which its context can end; zero for none
	hangingExchange chan struct{}                                                                  // receives at the start and the end of each hanging exchange
	holdsVersion    func(core.VM, core.Order) bool                                                 // reports whether an order's version is loaded already
	losesOrder      func(core.VM) bool                                                             // reports whether an order is lost before it is accepted
	isDead          func(core.ServerID) bool                                                       // reports whether a server refuses connections; nil for no
	publishedReads  int                                                                            // reads of published data
	duties          DutyOptions                                                                    // of started processes
	platformAPI     ports.PlatformAPI
	activeRuns      int
	activeExchanges int
	exchanges       int // started
}

const (
	engineService = "engines"
	plainService  = "desk"
	host          = "h"
)

func newEnvironment(t testing.TB) *environment {
	s := &environment{
		t: t, log: zerolog.Nop(), tables: porttest.NewTables(), objects: porttest.NewObjects(),
		eventInterval: time.Millisecond, eventCount: 5, runStarts: make(map[core.RequestID][]int), orderCounts: make(map[core.ServerID]uint64),
	}
	s.published = core.Published{Table: &core.RouteTable{
		Version: 1,
		Routes: []core.Route{
			{Name: "jobs", Host: host, Prefix: "/jobs/", Kind: core.RouteJobs, Attempts: 3, ItemLife: time.Minute,
				Services: []core.WeightedService{{Service: engineService, Weight: 1}}},
			{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: core.RouteIdempotent, Attempts: 2, Timeout: 2 * time.Second,
				Target: 200 * time.Millisecond, Services: []core.WeightedService{{Service: plainService, Weight: 1}}},
			{Name: "stream", Host: host, Prefix: "/stream/", Kind: core.RouteStream, Resumable: true, Attempts: 2, Timeout: 5 * time.Second,
				Services: []core.WeightedService{{Service: engineService, Weight: 1}}},
			{Name: "once", Host: host, Prefix: "/once/", Kind: core.RouteAtMostOnce, Attempts: 2, Timeout: 2 * time.Second,
				Services: []core.WeightedService{{Service: plainService, Weight: 1}}},
		},
		Services: map[string]core.ServiceInfo{engineService: {Name: engineService, Slots: 4}, plainService: {Name: plainService}},
	}}
	for i := range 3 {
		s.servers = append(s.servers,
			core.ServerEntry{
				VM:     core.VM{ID: core.ServerID(fmt.Sprint("engine-", i)), Kind: core.KindEngine, Service: engineService, Zone: "z", Region: "r", State: core.VMLive, Software: "v1"},
				Models: []core.ModelVersion{{Model: "m", Version: 1}},
			},
			core.ServerEntry{VM: core.VM{ID: core.ServerID(fmt.Sprint("desk-", i)), Kind: core.KindPlain, Service: plainService, Zone: "z", Region: "r", State: core.VMLive}})
	}
	return s
}

// Published implements ports.Registry.
func (s *environment) Published(context.Context) (core.Published, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedReads++
	return s.published, s.registryErr
}

// Servers implements ports.Registry.
func (s *environment) Servers(context.Context) (core.Registrations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return core.Registrations{Entries: append([]core.ServerEntry(nil), s.servers...), Stale: s.published.Stale}, s.registryErr
}

// Exchange implements ports.Backend.
func (s *environment) Exchange(ctx context.Context, server core.VM, request core.RelayRequest) (core.RelayResponse, error) {
	s.mu.Lock()
	exchange, hanging, duration := s.exchange, s.hangingExchange, s.exchangeTime
	s.exchanges++
	s.activeExchanges++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeExchanges--
	}()
	if duration > 0 {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
			return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "exchange")
		}
	}
	if hanging != nil {
		hanging <- struct{}{}
		<-ctx.Done()
		hanging <- struct{}{}
		return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "exchange")
	}
	if exchange != nil {
		return exchange(server, request)
	}
	return core.RelayResponse{Status: 200, Signature: "signed " + string(request.ID)}, nil
}

// Events implements ports.Backend. It streams eventCount events.
func (s *environment) Events(ctx context.Context, server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	s.mu.Lock()
	s.runStarts[request.ID] = append(s.runStarts[request.ID], request.After+1)
	stream := s.stream
	interval, count, refused := s.eventInterval, s.eventCount, s.refusesRuns != nil && s.refusesRuns(server)
	s.activeRuns++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeRuns--
	}()
	if refused {
		return core.RelayResponse{}, errkind.New(errkind.ServerRefused, "refused by the test")
	}
	if stream != nil {
		return stream(server, request, sink)
	}
	for id := request.After + 1; id <= count; id++ {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "run")
		}
		if err := sink.Event(core.Event{ID: id, Data: fmt.Sprint("e", id), Version: 1}); err != nil {
			return core.RelayResponse{}, err
		}
	}
	return core.RelayResponse{}, nil
}

// Probe implements ports.Backend.
func (s *environment) Probe(_ context.Context, server core.VM) error {
	s.mu.Lock()
	isDead := s.isDead
	s.mu.Unlock()
	if isDead != nil && isDead(server.ID) {
		return errkind.New(errkind.ServerRefused, "connection refused")
	}
	return nil
}

// Report implements ports.Backend.
func (s *environment) Report(_ context.Context, server core.VM) (core.EngineReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.servers {
		if entry.VM.ID == server.ID {
			return core.EngineReport{Models: entry.Models, Orders: s.orderCounts[server.ID]}, nil
		}
	}
	return core.EngineReport{}, errkind.New(errkind.ServerRefused, "no server %s", server.ID)
}

// Order implements ports.Backend. The engine loads the version at once.
func (s *environment) Order(_ context.Context, server core.VM, order core.Order) (core.OrderReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losesOrder != nil && s.losesOrder(server) {
		return core.OrderReply{}, errkind.New(errkind.OutcomeUnknown, "order lost by the test")
	}
	if order.Orders != nil && *order.Orders != s.orderCounts[server.ID] {
		return core.OrderReply{}, errkind.New(errkind.ServerRefused, "%d orders accepted, want %d", s.orderCounts[server.ID], *order.Orders)
	}
	s.orders = append(s.orders, order)
	for i := range s.servers {
		if s.servers[i].VM.ID == server.ID {
			s.servers[i].Models = []core.ModelVersion{{Model: order.Model, Version: order.Version}}
		}
	}
	if s.holdsVersion != nil && s.holdsVersion(server, order) {
		return core.OrderReply{}, nil
	}
	s.orderCounts[server.ID]++
	return core.OrderReply{Accepted: true}, nil
}

type systemClock struct{}

func (systemClock) Now() time.Time       { return time.Now() }
func (systemClock) TimeOfDay() time.Time { return time.Now().Round(0) }

// create returns an entry process that is not started.
func (s *environment) create(vm core.VMID) *Service {
	service := New(Options{
		Self: core.Member{VM: vm, Incarnation: core.Incarnation(time.Now().UnixNano()), Zone: "z", Region: "r", CallAddress: string(vm) + ":1"},
		Seed: 1, Workers: 2, AddressCacheTime: time.Second, MinOrderInterval: 100 * time.Millisecond,
		GracePeriod: time.Second, MaxResultBytes: 1000, RegistryRecovery: time.Second, ReclaimPeriod: s.reclaim, Duties: s.duties,
	}, Ports{
		Tables: s.tables, Objects: s.objects, Bodies: bodycodec.Codec{}, Registry: s, Backend: s, Clock: systemClock{},
		PlatformAPI: s.platformAPI, TimeOfDay: systemClock{},
	}, s.log)
	s.t.Cleanup(service.Stop)
	return service
}

// start starts an entry process.
func (s *environment) start(vm core.VMID) *Service {
	service := s.create(vm)
	service.Start()
	return service
}

// eventually waits until a condition holds and fails the test after 20 s.
func (s *environment) eventually(what string, holds func() bool) {
	s.t.Helper()
	const timeout = 20 * time.Second // ample on a loaded machine
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("condition not met within %v: %s", timeout, what)
}

// waitReady waits until a process is ready and returns it.
func (s *environment) waitReady(service *Service) *Service {
	s.t.Helper()
	s.eventually("process ready", service.Ready)
	return service
}

// noKey are the credentials of a request without a key.
var noKey core.Credentials

// newJob returns a job with the given number of items, each with a scorer.
func newJob(id core.JobID, items int) core.Job {
	job := core.Job{ID: id, Host: host, Path: "/jobs/x", Model: "m", Oldest: 1}
	for i := range items {
		name := fmt.Sprint(id, "-", i)
		job.Items = append(job.Items, core.JobItem{
			ID: core.ItemID(name), Path: "/jobs/item", Body: []byte(name), Tokens: 2000,
			Scorer: &core.ScorerCall{ID: core.RequestID("score-" + name), Host: host, Path: "/lookup/score"},
		})
	}
	return job
}

// readResults reads all results of a job from a process.
func (s *environment) readResults(service *Service, id core.JobID) core.ResultPage {
	s.t.Helper()
	all := core.ResultPage{}
	for {
		page, err := service.Results(s.t.Context(), noKey, id, all.Next, 0)
		if err != nil {
			s.t.Fatal(err)
		}
		all.Total, all.Next = page.Total, page.Next
		all.Results = append(all.Results, page.Results...)
		if len(page.Results) == 0 {
			return all
		}
	}
}

// allLoaded reports whether all engines have loaded a version.
func (s *environment) allLoaded(version core.WeightVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.servers {
		if len(entry.Models) > 0 && entry.Models[0].Version != version {
			return false
		}
	}
	return true
}
