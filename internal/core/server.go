package core

// ServerKind is the role of a backend server or VM.
type ServerKind string

// The VM kinds in the platform's VM list.
const (
	KindEntry  ServerKind = "entry"
	KindEngine ServerKind = "engine"
	KindPlain  ServerKind = "plain"
	KindScorer ServerKind = "scorer"
)

// VMState is a VM's state in the platform's VM list.
type VMState string

// The VM states. A VM that has been removed is absent from the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list. The list lags behind the actual
// state.
type VM struct {
	ID      ServerID
	Kind    ServerKind
	Service string // model or plain service that the VM serves; empty for entry VMs
	Address string // host:port at which the VM serves its protocol
	Zone    ZoneName
	Region  RegionName
	State   VMState
	Slots   int // requests that it runs concurrently; zero if unknown

	Software SoftwareVersion
}

// SoftwareVersion is the version of a backend server's software, not of its weights; empty
// if it is not known. What servers of two versions generate must not be joined, so that
// text of an unknown one is never continued.
type SoftwareVersion string

// EngineStatus is the status that an engine reports of itself. It lags by the
// reporting interval of the engine. CacheEvents may have gaps: if events were
// lost, NextEvent is larger than the previous cursor plus the number of events.
//
// Adapter, Version and Loading describe a single adapter; an engine with several
// adapters lists all of them in Versions.
type EngineStatus struct {
	Server       ServerID
	Model        ModelName
	Adapter      AdapterName
	Version      WeightVersion    // version used by new streams
	Loading      WeightVersion    // version being loaded; zero if none
	Versions     []AdapterVersion // all loaded adapters; empty if Adapter is the only one
	RunningCount int              // streams in the running batch
	QueuedCount  int              // streams waiting for the batch
	QueuedTokens int              // tokens of prompts not yet processed
	CacheEvents  []CacheEvent
	NextEvent    uint64 // cursor for the next status call
}

// AdapterVersion is the version of one adapter loaded on an engine.
type AdapterVersion struct {
	Adapter AdapterName
	Version WeightVersion // version used by new streams
	Loading WeightVersion // version being loaded; zero if none
}

// Holds returns the version of an adapter, and false if the adapter is not loaded
// on the engine.
func (s *EngineStatus) Holds(adapter AdapterName) (AdapterVersion, bool) {
	for _, loaded := range s.Versions {
		if loaded.Adapter == adapter {
			return loaded, true
		}
	}
	if len(s.Versions) > 0 || s.Adapter != adapter {
		return AdapterVersion{}, false
	}
	return AdapterVersion{Adapter: adapter, Version: s.Version, Loading: s.Loading}, true
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	PrefixHash uint64
	Evicted    bool
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadModel   OrderKind = "load_model"
	OrderSetRole     OrderKind = "set_role"
)

// Order instructs an engine to change its weights, model or role. Engines that
// check fencing reject an order whose Fence is below the highest they have seen;
// for other engines the sender must complete the order while it holds its lease.
type Order struct {
	Kind    OrderKind
	Model   ModelName
	Adapter AdapterName
	Version WeightVersion
	Role    string
	Mode    SwapMode
	Holder  VMID // holder of the lease under which the order is sent
	Fence   Fence
	Orders  *uint64 // number of orders that the engine must have accepted before; nil for no check
}

// OrderReply is an engine's reply to an order.
type OrderReply struct {
	ServerNotice
	Accepted bool // the order counts among those that the engine has accepted; false if its effect held already
}

// SwapMode defines what happens to the running requests of an engine when it
// swaps weights.
type SwapMode string

// The swap modes. Empty leaves the choice to the engine.
const (
	SwapAwait  SwapMode = "await"  // running requests finish first
	SwapCut    SwapMode = "cut"    // their streams are reset
	SwapRetain SwapMode = "retain" // they continue with the new weights
)
