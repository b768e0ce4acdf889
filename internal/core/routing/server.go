package routing

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/pace"
)

// server is the routing state of one backend server.
type server struct {
	incarnation       uint32 // distinguishes this entry from removed servers with the same ID
	vm                core.VM
	status            core.EngineStatus // newest report, without cache events
	hasReport         bool
	unpolled          bool // an engine that this process does not poll for reports
	countedAsReported bool // included in regionIndex.reportedCount
	pool              *pool
	region            *regionIndex
	bucketEntries     []bucketEntry // buckets that contain the server; empty while it is unlisted
	placedAs          placement     // in these buckets
	load              load
	bytesInFlight     int // of this process's requests
	health            outlier.Server
	pushback          pushback
	rateLimit         rateLimit
	pace              pace.Pace
	pacedStart        int64   // Unix milliseconds of the newest start for which it was paced as cold, or noStart
	sweptShare        float64 // its share of the usual work at the last Sweep; zero while it is not paced

	slot        uint32  // index in State.slots
	cacheEpoch  uint32  // changes when the engine loses its cache
	logSurvival float64 // logarithm of the share of index entries that survived lost events
	nextEvent   uint64  // number of the next expected cache event, zero before the first report
	cachedCount int     // estimated entries in the cache, from the events received
}

// noStart is server.pacedStart before the first cold start.
const noStart = -1

// eligible reports whether the server may receive new requests.
func (r *server) eligible() bool {
	return r.eligibleState() && !r.health.Ejected()
}

// eligibleState reports whether the VM list says that the server takes requests.
func (r *server) eligibleState() bool { return r.vm.State == core.VMLive }

// service returns the service that the server runs: the model that an engine
// reported, otherwise the service in the VM list.
func (r *server) service() string {
	if r.vm.Kind == core.KindEngine && r.hasReport && r.status.Model != "" {
		return string(r.status.Model)
	}
	return r.vm.Service
}

// adapterVersion returns the version at which the server holds an adapter, and
// whether it holds it. Servers other than engines, and engines without a report,
// count as holding any adapter at version zero.
func (r *server) adapterVersion(adapter core.AdapterName) (core.WeightVersion, bool) {
	if r.vm.Kind != core.KindEngine || !r.hasReport {
		return 0, true
	}
	held, ok := r.status.Holds(adapter)
	return held.Version, ok
}

// reportedStreams returns the running and queued streams of the newest report.
func (r *server) reportedStreams() int { return r.status.RunningCount + r.status.QueuedCount }

// View is a snapshot of one server.
type View struct {
	VM           core.VM           `json:"vm"`
	Status       core.EngineStatus `json:"status"`
	OwnTokens    int               `json:"in_flight_tokens"` // of this process's requests
	OwnStreams   int               `json:"streams"`          // of this process's requests
	OtherTokens  int               `json:"others_tokens"`    // of other processes' requests, according to the newest report
	Polled       bool              `json:"polled"`           // an engine that this process polls for reports
	ReportedAt   time.Time         `json:"reported"`         // when the report in Status was measured, zero without a report
	Ejected      bool              `json:"ejected"`
	EjectedUntil time.Time         `json:"ejected_until"`

	Unreachable bool    `json:"unreachable"`          // recent connection attempts failed
	RateLimit   float64 `json:"rate_limit,omitempty"` // requests a second that it takes from all processes, zero for no limit

	Paced     pace.Reason `json:"paced,omitempty"`      // why it gets less than its usual work; empty in full use
	PaceShare float64     `json:"pace_share,omitempty"` // share of its usual work while it is paced, at the last Sweep
}

func (r *server) view() View {
	return View{
		VM: r.vm, Status: r.status, OwnTokens: r.load.own.tokens, OwnStreams: r.load.own.streams, OtherTokens: int(r.load.otherTokens),
		Polled: r.vm.Kind == core.KindEngine && !r.unpolled, ReportedAt: r.load.reportedAt,
		Ejected: r.health.Ejected(), EjectedUntil: r.health.Until(),
		Unreachable: !r.health.UnreachableSince().IsZero(), RateLimit: r.rateLimit.perSecond,
		Paced: r.pace.Reason(), PaceShare: r.sweptShare,
	}
}

// addBytes counts bytes of requests that are sent to the server, or ends a negative
// number of them.
func (r *server) addBytes(bytes int) {
	r.bytesInFlight += bytes
	r.pool.bytesInFlight += bytes
}
