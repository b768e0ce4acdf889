package core

// ServerKind tells what a backend server or VM does.
type ServerKind string

// The kinds of VM in the platform's VM list.
const (
	KindEntry  ServerKind = "entry"
	KindEngine ServerKind = "engine"
	KindPlain  ServerKind = "plain"
	KindScorer ServerKind = "scorer"
)

// VMState is a VM's state in the platform's VM list.
type VMState string

// The states of a VM. A VM that is gone is absent from the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's VM list, which lags behind the truth.
type VM struct {
	ID      ServerID
	Kind    ServerKind
	Service string // model or plain service that the VM runs; empty for entry VMs
	Address string // host:port of its own protocol
	Zone    ZoneName
	Region  RegionName
	State   VMState
	Slots   int // requests that it runs at a time; zero when not told
}

// EngineStatus is an engine's own report. It lags by the engine's reporting
// interval, and CacheEvents may have gaps: NextEvent is larger than the last
// seen number plus the events' count when events were lost.
//
// Adapter, Version and Loading describe one adapter; an engine that holds
// several lists them all in Versions.
type EngineStatus struct {
	Server       ServerID
	Model        ModelName
	Adapter      AdapterName
	Version      WeightVersion    // version that new streams start on
	Loading      WeightVersion    // version being loaded, zero when none is
	Versions     []AdapterVersion // every adapter held; empty when Adapter is the only one
	RunningCount int              // streams in the running batch
	QueuedCount  int              // streams waiting for the batch
	QueuedTokens int              // tokens of prompts not yet processed
	CacheEvents  []CacheEvent
	NextEvent    uint64 // cursor for the next status call
}

// AdapterVersion is the version of one adapter that an engine holds.
type AdapterVersion struct {
	Adapter AdapterName
	Version WeightVersion // version that new streams start on
	Loading WeightVersion // version being loaded, zero when none is
}

// Holds returns the version of an adapter, and false when the engine does not
// hold that adapter.
func (s *EngineStatus) Holds(adapter AdapterName) (AdapterVersion, bool) {
	for _, held := range s.Versions {
		if held.Adapter == adapter {
			return held, true
		}
	}
	if len(s.Versions) > 0 || s.Adapter != adapter {
		return AdapterVersion{}, false
	}
	return AdapterVersion{Adapter: adapter, Version: s.Version, Loading: s.Loading}, true
}

// CacheEvent says that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	PrefixHash uint64
	Evicted    bool
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The orders that engines take.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadModel   OrderKind = "load_model"
	OrderSetRole     OrderKind = "set_role"
)

// Order tells an engine to change what it runs. Engines that check fencing
// refuse an order whose Fence is below the highest they have seen; for the
// others the sender keeps the order inside its lease.
type Order struct {
	Kind    OrderKind
	Model   ModelName
	Adapter AdapterName
	Version WeightVersion
	Role    string
	Mode    SwapMode
	Holder  VMID // holder of the lease under which the order is given
	Fence   Fence
	Orders  *uint64 // orders that the engine must have accepted before; nil for any number
}

// SwapMode says what happens to an engine's running requests when it swaps
// weights.
type SwapMode string

// The modes of a swap. Empty leaves the choice to the engine.
const (
	SwapAwait  SwapMode = "await"  // they finish first
	SwapCut    SwapMode = "cut"    // their streams are reset
	SwapRetain SwapMode = "retain" // they go on with the new weights
)
