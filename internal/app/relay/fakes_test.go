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

// site is two processes' worth of outside things: one store, one registry, and
// engines and plain servers that do as they are told.
type site struct {
	t       *testing.T
	log     zerolog.Logger
	tables  *porttest.Tables
	objects *porttest.Objects

	mu        sync.Mutex
	published core.Published
	away      error // what reads of routes and registrations end with, nil for an answer
	servers   []core.ServerEntry
	pace      time.Duration // between the events of a text
	length    int           // events of a text
	reclaim   time.Duration // option of the processes that are started
	orders    []core.Order
	ran       map[core.RequestID][]int                                     // first event of each run of an item
	exchange  func(core.VM, core.RelayRequest) (core.RelayResponse, error) // nil for a plain success
	unreach   func(core.VM) bool                                           // engines that take no runs
	hang      chan struct{}                                                // told when an exchange begins to hang and when it ends
	loseOrder func(core.VM) bool                                           // orders that get no answer and are not accepted
	running   int
}

const (
	engineService = "engines"
	plainService  = "desk"
	host          = "h"
)

func newSite(t *testing.T) *site {
	s := &site{
		t: t, log: zerolog.Nop(), tables: porttest.NewTables(), objects: porttest.NewObjects(),
		pace: time.Millisecond, length: 5, ran: make(map[core.RequestID][]int),
	}
	s.published = core.Published{Table: &core.RouteTable{
		Version: 1,
		Routes: []core.Route{
			{Name: "jobs", Host: host, Prefix: "/jobs/", Kind: core.RouteJobs, Attempts: 3, ItemLife: time.Minute,
				Services: []core.WeightedService{{Service: engineService, Weight: 1}}},
			{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: core.RouteIdempotent, Attempts: 2, Timeout: 2 * time.Second,
				Target: 200 * time.Millisecond, Services: []core.WeightedService{{Service: plainService, Weight: 1}}},
			{Name: "once", Host: host, Prefix: "/once/", Kind: core.RouteOnce, Attempts: 2, Timeout: 2 * time.Second,
				Services: []core.WeightedService{{Service: plainService, Weight: 1}}},
		},
		Services: map[string]core.ServiceInfo{engineService: {Name: engineService, Slots: 4}, plainService: {Name: plainService}},
	}}
	for i := range 3 {
		s.servers = append(s.servers,
			core.ServerEntry{
				VM:     core.VM{ID: core.ServerID(fmt.Sprint("engine-", i)), Kind: core.KindEngine, Service: engineService, Zone: "z", Region: "r", State: core.VMLive},
				Models: []core.ModelVersion{{Model: "m", Version: 1}},
			},
			core.ServerEntry{VM: core.VM{ID: core.ServerID(fmt.Sprint("desk-", i)), Kind: core.KindPlain, Service: plainService, Zone: "z", Region: "r", State: core.VMLive}})
	}
	return s
}

// Published implements ports.Registry.
func (s *site) Published(context.Context) (core.Published, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published, s.away
}

// Servers implements ports.Registry.
func (s *site) Servers(context.Context) (core.Registrations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return core.Registrations{Entries: append([]core.ServerEntry(nil), s.servers...), Old: s.published.Old}, s.away
}

// Exchange implements ports.Backend.
func (s *site) Exchange(ctx context.Context, server core.VM, request core.RelayRequest) (core.RelayResponse, error) {
	s.mu.Lock()
	answer, hang := s.exchange, s.hang
	s.mu.Unlock()
	if hang != nil {
		hang <- struct{}{}
		<-ctx.Done()
		hang <- struct{}{}
		return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "exchange")
	}
	if answer != nil {
		return answer(server, request)
	}
	return core.RelayResponse{Status: 200, Signature: "signed " + string(request.ID)}, nil
}

// Events implements ports.Backend: a text of as many events as the site says.
func (s *site) Events(ctx context.Context, server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	s.mu.Lock()
	s.ran[request.ID] = append(s.ran[request.ID], request.After+1)
	pace, length, refused := s.pace, s.length, s.unreach != nil && s.unreach(server)
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	if refused {
		return core.RelayResponse{}, errkind.New(errkind.ServerRefused, "told so")
	}
	for id := request.After + 1; id <= length; id++ {
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "run")
		}
		if err := sink.Event(core.Event{ID: id, Data: fmt.Sprint("e", id), Version: 1}); err != nil {
			return core.RelayResponse{}, err
		}
	}
	return core.RelayResponse{}, nil
}

// Report implements ports.Backend.
func (s *site) Report(_ context.Context, server core.VM) (core.EngineReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.servers {
		if entry.VM.ID == server.ID {
			return core.EngineReport{Models: entry.Models}, nil
		}
	}
	return core.EngineReport{}, errkind.New(errkind.ServerRefused, "gone")
}

// Order implements ports.Backend: the version is loaded at once.
func (s *site) Order(_ context.Context, server core.VM, order core.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseOrder != nil && s.loseOrder(server) {
		return errkind.New(errkind.OutcomeUnknown, "lost")
	}
	s.orders = append(s.orders, order)
	for i := range s.servers {
		if s.servers[i].VM.ID == server.ID {
			s.servers[i].Models = []core.ModelVersion{{Model: order.Model, Version: order.Version}}
		}
	}
	return nil
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// start starts a process of the site.
func (s *site) start(vm core.VMID) *Service {
	service := New(Options{
		Self: core.Member{VM: vm, Incarnation: core.Incarnation(time.Now().UnixNano()), Zone: "z", Region: "r", CallAddress: string(vm) + ":1"},
		Seed: 1, Workers: 2, AddressKeep: time.Second, OrdersApart: 100 * time.Millisecond,
		Grace: time.Second, ResultBytes: 1000, RegistryBack: time.Second, Reclaim: s.reclaim,
	}, Ports{
		Tables: s.tables, Objects: s.objects, Bodies: bodycodec.Codec{}, Registry: s, Backend: s, Clock: systemClock{},
	}, s.log)
	service.Start()
	s.t.Cleanup(service.Stop)
	return service
}

// eventually waits until a condition holds.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	const patience = 20 * time.Second // far above what is needed, for machines under load
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("%s does not come true", what)
}

// ready waits until a process takes requests.
func (s *site) ready(service *Service) *Service {
	s.t.Helper()
	s.eventually("ready", service.Ready)
	return service
}

// jobOf returns a job of so many items.
func jobOf(id core.JobID, items int) core.Job {
	job := core.Job{ID: id, Host: host, Path: "/jobs/x", Model: "m", Oldest: 1}
	for i := range items {
		name := fmt.Sprint(id, "-", i)
		job.Items = append(job.Items, core.JobItem{
			ID: core.ItemID(name), Path: "/jobs/item", Body: []byte(name), Tokens: 100,
			Scorer: &core.ScorerCall{ID: core.RequestID("score-" + name), Host: host, Path: "/lookup/score"},
		})
	}
	return job
}

// results reads all results of a job at a process.
func (s *site) results(service *Service, id core.JobID) core.ResultPage {
	s.t.Helper()
	all := core.ResultPage{}
	for {
		page, err := service.Results(s.t.Context(), id, all.Next, 0)
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

// loaded reports whether all engines hold a version.
func (s *site) loaded(version core.WeightVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.servers {
		if len(entry.Models) > 0 && entry.Models[0].Version != version {
			return false
		}
	}
	return true
}
