package app_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/internal/ports/porttest"
)

// Names used by all tests of this package.
const (
	donor       core.CallerName     = "donor"
	family      core.CallerName     = "family"
	coach       core.CallerName     = "coach-trainer"
	desk        core.DeploymentName = "desk"
	model       core.DeploymentName = "coach"
	testTimeout                     = 30 * time.Second // timeout of one test
)

// cluster is a set of services in one process that share fakes of the external
// services.
type cluster struct {
	t        testing.TB
	ctx      context.Context
	options  clusterOptions
	tables   *porttest.Tables
	objects  *porttest.Objects
	vms      *porttest.VMs
	engine   *backendtest.Engine
	plain    *backendtest.Plain
	scorer   *backendtest.Scorer
	network  *network
	services []*app.Service
}

// backendServers are the backend servers in the initial VM list of every
// cluster.
var backendServers = []core.VM{
	{ID: "engine-1", Kind: core.KindEngine, Service: "coach-model", Address: "e1", Zone: "z1", Region: "r", State: core.VMLive},
	{ID: "engine-2", Kind: core.KindEngine, Service: "coach-model", Address: "e2", Zone: "z1", Region: "r", State: core.VMLive},
	{ID: "engine-3", Kind: core.KindEngine, Service: "coach-model", Address: "e3", Zone: "z2", Region: "r", State: core.VMLive},
	{ID: "desk-1", Kind: core.KindPlain, Service: "desk", Address: "d1", Zone: "z1", Region: "r", State: core.VMLive},
	{ID: "desk-2", Kind: core.KindPlain, Service: "desk", Address: "d2", Zone: "z2", Region: "r", State: core.VMLive},
	{ID: "scorer-1", Kind: core.KindScorer, Service: "scorer", Address: "s1", Zone: "z1", Region: "r", State: core.VMLive},
}

var testDeployments = []core.Deployment{
	{
		Name: desk, Kind: core.KindPlain, Service: "desk", Class: core.ClassInteractive, Callers: []core.CallerName{donor},
		Limits: testLimits, NonIdempotent: []core.CallPattern{{Method: "POST", PathPrefix: "/sponsorships"}},
	},
	{
		Name: model, Kind: core.KindEngine, Service: "coach-model", Class: core.ClassInteractive,
		Callers: []core.CallerName{donor, family}, Limits: testLimits, Fencing: true,
		Rollout: &core.Rollout{
			Trainer: coach, Scorer: "scorer", Prompts: "prompts", GroupSize: 2, GroupsPerStep: 3,
			MaxTokens: 12, StalenessBound: 2, IdleWeight: 0.5,
		},
	},
}

var testLimits = core.Limits{
	Concurrent: 64, QueueLength: 64, QueueTimeout: 2 * time.Second, RequestTimeout: 3 * time.Second,
}

// clusterOptions are the options of a cluster; the hooks are optional.
type clusterOptions struct {
	size        int
	timeout     time.Duration // of the test
	deployments []core.Deployment
	setOptions  func(*app.Options) // changes the options of every service
	wrapPorts   func(*app.Ports)   // wraps the fakes of the external services
}

// newCluster starts services and publishes testDeployments.
func newCluster(t testing.TB, size int) *cluster {
	t.Helper()
	return newClusterWith(t, clusterOptions{size: size, timeout: testTimeout, deployments: testDeployments})
}

// newClusterWith starts services and publishes their deployments.
func newClusterWith(t testing.TB, options clusterOptions) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	c := &cluster{
		t: t, ctx: ctx, options: options, tables: porttest.NewTables(), objects: porttest.NewObjects(),
		vms:    porttest.NewVMs(backendServers...),
		engine: backendtest.NewEngine(backendtest.EngineOptions{Model: "coach-model", Version: 1}),
		plain:  backendtest.NewPlain(), scorer: backendtest.NewScorer(),
		network: &network{handlers: make(map[string]ports.PeerHandler), cut: make(map[string]bool)},
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range c.services {
			s.Stop()
		}
	})
	if err := c.objects.Put(ctx, "prompts", []byte("one\ntwo\nthree\n")); err != nil {
		t.Fatal(err)
	}
	for range options.size {
		c.addService()
	}
	if _, err := c.services[0].Publish(ctx, "op", 0, options.deployments); err != nil {
		t.Fatal(err)
	}
	c.await("generation 1 and all servers known to every service", func() bool {
		for _, s := range c.services {
			if s.Configuration().Generation != 1 || len(s.State().(app.State).Servers) != len(backendServers) {
				return false
			}
		}
		return true
	})
	c.awaitLimitShares()
	return c
}

// maxShareOwners is the largest fleet in which every process owns a share of
// every limit.
const maxShareOwners = 16

// awaitLimitShares waits until every service may use its share of every limit.
// That is the case once all others have reported that they use none of it.
func (c *cluster) awaitLimitShares() {
	c.t.Helper()
	if len(c.services) > maxShareOwners {
		return
	}
	c.await("limit shares in use at every service", func() bool {
		for _, s := range c.services {
			for _, limit := range s.State().(app.State).Limits {
				if limit.Gate.Concurrent == 0 {
					return false
				}
			}
		}
		return true
	})
}

// addService starts one more service.
func (c *cluster) addService() *app.Service {
	number := len(c.services) + 1
	address := fmt.Sprintf("peer-%d", number)
	var seeds []string
	if number > 1 {
		seeds = []string{"peer-1"}
	}
	lane := app.LaneOptions{MaxInFlight: 64, MaxWaiting: 256}
	self := core.Member{
		VM: core.VMID(fmt.Sprintf("entry-%d", number)), Incarnation: 1, Zone: "z1", Region: "r",
		PeerAddress: address, CallAddress: fmt.Sprintf("call-%d", number),
	}
	options := app.Options{
		Self: self, Seeds: seeds, Seed: uint64(number), Workers: 2, QueueLength: 1024,
		Streams: lane, PlainCalls: lane, Scoring: lane, Table: lane, Peers: lane,
		AnswerRetention: time.Minute, AddressCacheTime: 50 * time.Millisecond,
		VMListInterval: 20 * time.Millisecond, StatusInterval: 20 * time.Millisecond, ConfigInterval: 50 * time.Millisecond,
		LeaseTerm: 600 * time.Millisecond, LeaseRenewInterval: 100 * time.Millisecond,
		OrderTimeout: 100 * time.Millisecond,
	}
	external := app.Ports{
		Tables: c.tables, Objects: c.objects, VMs: c.vms, Engine: c.engine, Plain: c.plain,
		Scorer: c.scorer, BodyCodec: bodycodec.Codec{}, Peers: &peerClient{c.network, address}, Clock: wallClock{},
	}
	if c.options.setOptions != nil {
		c.options.setOptions(&options)
	}
	if c.options.wrapPorts != nil {
		c.options.wrapPorts(&external)
	}
	external.Tables = cuttableTables{external.Tables, c.network, address}
	s := app.New(options, external, zerolog.New(io.Discard))
	c.network.join(address, s)
	c.services = append(c.services, s)
	c.setVMList(backendServers)
	s.Start()
	return s
}

// setVMList sets the VM list to the given VMs and the entry VMs.
func (c *cluster) setVMList(vms []core.VM) {
	list := slices.Clone(vms)
	for i := range c.services {
		list = append(list, core.VM{
			ID: core.ServerID(fmt.Sprint("entry-", i+1)), Kind: core.KindEntry,
			Address: fmt.Sprint("peer-", i+1), Zone: "z1", Region: "r", State: core.VMLive,
		})
	}
	c.vms.Set(list...)
}

// await waits until a condition holds. Only the timeout of the test ends it
// early.
func (c *cluster) await(description string, condition func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			c.t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// coordinator returns the service that coordinates the model deployment, and
// its peer address.
func (c *cluster) coordinator() (holder *app.Service, address string) {
	c.t.Helper()
	return c.leaseHolder("deployment/" + string(model))
}

// leaseHolder returns the service that holds a lease and is not cut off, and
// its peer address.
func (c *cluster) leaseHolder(lease string) (holder *app.Service, address string) {
	c.t.Helper()
	c.await("a holder of "+lease, func() bool {
		for i, s := range c.services {
			for _, l := range s.State().(app.State).Leases {
				if l.Name == lease && l.Held && !c.network.isCut(fmt.Sprintf("peer-%d", i+1)) {
					holder, address = s, fmt.Sprintf("peer-%d", i+1)
					return true
				}
			}
		}
		return false
	})
	return holder, address
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// network connects services. It can cut one off from its peers and the table
// service.
type network struct {
	sync.Mutex
	handlers map[string]ports.PeerHandler
	cut      map[string]bool
}

func (n *network) join(address string, handler ports.PeerHandler) {
	n.Lock()
	defer n.Unlock()
	n.handlers[address] = handler
}

func (n *network) setCut(address string, cut bool) {
	n.Lock()
	defer n.Unlock()
	n.cut[address] = cut
}

func (n *network) isCut(address string) bool {
	n.Lock()
	defer n.Unlock()
	return n.cut[address]
}

func (n *network) handlerFor(from, to string) (ports.PeerHandler, error) {
	n.Lock()
	defer n.Unlock()
	if n.cut[from] || n.cut[to] || n.handlers[to] == nil {
		return nil, errkind.New(errkind.PeerUnreachable, "%s does not reach %s", from, to)
	}
	return n.handlers[to], nil
}

// cuttableTables is the table service as seen by one service, which network can
// cut off.
type cuttableTables struct {
	ports.TableService
	network *network
	address string
}

func (t cuttableTables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	if t.network.isCut(t.address) {
		return nil, errkind.New(errkind.StoreUnavailable, "the service is cut off from the table service")
	}
	return t.TableService.Read(ctx, keys)
}

func (t cuttableTables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	if t.network.isCut(t.address) {
		return core.CommitResult{}, errkind.New(errkind.StoreUnavailable, "the service is cut off from the table service")
	}
	return t.TableService.Commit(ctx, commit)
}

// peerClient implements ports.Peers for one service.
type peerClient struct {
	network *network
	address string
}

func deliver[Q, A any](p *peerClient, ctx context.Context, to string, request Q,
	handle func(ports.PeerHandler, context.Context, Q) (A, error)) (A, error) {
	handler, err := p.network.handlerFor(p.address, to)
	if err != nil {
		var none A
		return none, err
	}
	return handle(handler, ctx, request)
}

func (p *peerClient) Heartbeat(ctx context.Context, to string, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	return deliver(p, ctx, to, heartbeat, ports.PeerHandler.HandleHeartbeat)
}

func (p *peerClient) Configuration(ctx context.Context, to string) (core.Configuration, error) {
	handler, err := p.network.handlerFor(p.address, to)
	if err != nil {
		return core.Configuration{}, err
	}
	return handler.HandleConfiguration(ctx)
}

func (p *peerClient) Batch(ctx context.Context, to string, request core.BatchRequest) (core.Batch, error) {
	return deliver(p, ctx, to, request, ports.PeerHandler.HandleBatch)
}

func (p *peerClient) Answer(ctx context.Context, to string, request core.AnswerRequest) (core.AnswerPart, error) {
	return deliver(p, ctx, to, request, ports.PeerHandler.HandleAnswer)
}

func (p *peerClient) VMListChanges(ctx context.Context, to string, request core.VMListChangesRequest) (core.VMListChanges, error) {
	return deliver(p, ctx, to, request, ports.PeerHandler.HandleVMListChanges)
}
