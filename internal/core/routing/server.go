package routing

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// server is one backend server as the routing state sees it.
type server struct {
	number   uint32 // unique to this row, also among servers that have left
	vm       core.VM
	status   core.EngineStatus // newest report, without its cache events
	reported bool
	unpolled bool // an engine of which this process gets no reports
	counted  bool // in regionIndex.reported
	pool     *pool
	region   *regionIndex
	placed   []placement // cells that list the server; empty while it gets no work
	load     load
	health   outlier.Server
	pushback pushback

	slot     uint32  // place in State.slots
	epoch    uint32  // changes when the cache is lost
	survival float64 // logarithm of the share of learnt entries that outlived lost events
	cursor   uint64  // number of the next cache event expected, zero before the first report
	cached   int     // estimated entries in the cache, from the events seen
}

// eligible reports whether the server may get any new work.
func (r *server) eligible() bool {
	return r.vm.State == core.VMLive && !r.health.Ejected()
}

// serviceOf returns the service that the server runs: what an engine reported,
// otherwise what the VM list says.
func (r *server) serviceOf() string {
	if r.vm.Kind == core.KindEngine && r.reported && r.status.Model != "" {
		return string(r.status.Model)
	}
	return r.vm.Service
}

// holds returns the version of an adapter. Servers without adapters and
// engines that have not reported hold any at version zero.
func (r *server) holds(adapter core.AdapterName) (core.WeightVersion, bool) {
	if r.vm.Kind != core.KindEngine || !r.reported {
		return 0, true
	}
	held, ok := r.status.Holds(adapter)
	return held.Version, ok
}

// streams returns the streams that the newest report counts.
func (r *server) streams() int { return r.status.RunningCount + r.status.QueuedCount }

// View is one server in a snapshot.
type View struct {
	VM       core.VM           `json:"vm"`
	Status   core.EngineStatus `json:"status"`
	InFlight int               `json:"in_flight_tokens"` // of this process's requests
	Streams  int               `json:"streams"`          // of this process's requests
	Others   int               `json:"others_tokens"`    // of other processes' requests, by the newest report
	Polled   bool              `json:"polled"`           // an engine that this process asks for reports
	Reported time.Time         `json:"reported"`         // when the report in Status was measured, zero for none
	Ejected  bool              `json:"ejected"`
	Until    time.Time         `json:"ejected_until"`

	Unreachable bool `json:"unreachable"` // no connection could be made lately
}

func (r *server) view() View {
	return View{
		VM: r.vm, Status: r.status, InFlight: r.load.own.tokens, Streams: r.load.own.streams, Others: int(r.load.others),
		Polled: r.vm.Kind == core.KindEngine && !r.unpolled, Reported: r.load.reported,
		Ejected: r.health.Ejected(), Until: r.health.Until(),
		Unreachable: !r.health.UnreachableSince().IsZero(),
	}
}
