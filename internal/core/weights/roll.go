package weights

import (
	"time"

	"fescuespar/internal/core"
)

// Engine is one engine of a deployment, as far as known.
type Engine struct {
	Server   core.ServerID
	Zone     core.ZoneName
	Region   core.RegionName
	Version  core.WeightVersion // that it serves
	Loading  core.WeightVersion // that it loads, zero when none
	InFlight int                // tokens of requests in flight
	Measured time.Time          // of Version and Loading; zero when not known
}

// Policy says how a version is rolled.
type Policy struct {
	Target      time.Duration // within which all engines shall have a version
	SwapTimeout time.Duration // after which a swap without effect has failed
	Silence     time.Duration // after an order, from which on a report without its load shows that it has failed; zero for never
	BackoffBase time.Duration // before the second order to an engine
	BackoffMax  time.Duration
	IdleWeight  float64 // weight of trainer idle time against staleness, 0 to 1
	Exact       bool    // an engine that serves a newer version is ordered back
	AtOnce      int     // most engines that load at one time, zero for any number
	PerRegion   int     // most engines of a region that load at one time, zero for any number
}

// fits reports whether an engine that serves or loads some version need not be
// ordered to load the one wanted.
func (p *Policy) fits(version, wanted core.WeightVersion) bool {
	return version == wanted || !p.Exact && version > wanted
}

// swap is an order under way or failed.
type swap struct {
	version   core.WeightVersion
	orderedAt time.Time // zero when the order was given by another process
	until     time.Time // when it counts as failed
	failures  int
	notBefore time.Time // of the next order after a failure
	waiting   bool      // for the engine's status
	seen      bool      // the status has shown the load
}

// ended reports whether an engine has stopped loading the swap's version without
// serving it, by a report that was measured after the order. An engine that does
// not hold the adapter yet need not tell that it loads it.
func (row *swap) ended(engine *Engine, policy Policy) bool {
	known := !engine.Measured.IsZero() && !engine.Measured.Before(row.orderedAt)
	if !known || policy.fits(engine.Version, row.version) {
		return false
	}
	if engine.Loading != 0 {
		row.seen = row.seen || engine.Loading == row.version
		return false
	}
	silent := policy.Silence > 0 && engine.Version != 0 && engine.Measured.Sub(row.orderedAt) >= policy.Silence
	return row.seen || silent && !row.orderedAt.IsZero()
}

// Roll is the rolling of one deployment's versions. It is not safe for
// concurrent use.
type Roll struct {
	swaps    map[core.ServerID]*swap
	loadTime time.Duration // moving average of what one engine needs
}

// NewRoll returns a roll without orders.
func NewRoll() *Roll { return &Roll{swaps: make(map[core.ServerID]*swap)} }

// Decision is what to do now.
type Decision struct {
	Orders []core.ServerID // engines to be ordered to load the version
	Failed []core.ServerID // engines whose swap has failed since the last decision
	Behind int             // engines that do not serve the version
}

// Decide looks at all engines and chooses those to be ordered next. Chosen
// engines count as loading until their status shows the version, Refused is
// called or their deadline has passed.
func (r *Roll) Decide(engines []Engine, version core.WeightVersion, policy Policy, now time.Time) Decision {
	r.forgetAbsent(engines)
	var decision Decision
	load := newRegionLoad(engines)
	var ready []*Engine
	for i := range engines {
		engine := &engines[i]
		if policy.fits(engine.Version, version) {
			r.settle(engine, now)
			continue
		}
		decision.Behind++
		switch {
		case r.failed(engine, version, policy, now):
			decision.Failed = append(decision.Failed, engine.Server)
		case r.underWay(engine, version, policy, now):
			load.start(engine)
		case r.mayOrder(engine, version, policy, now):
			ready = append(ready, engine)
		}
	}
	decision.Orders = r.order(ready, load, version, policy, now)
	return decision
}

// settle notes that an engine serves the version.
func (r *Roll) settle(engine *Engine, now time.Time) {
	row := r.swaps[engine.Server]
	if row == nil {
		return
	}
	if row.waiting && !row.orderedAt.IsZero() && engine.Version >= row.version {
		took := now.Sub(row.orderedAt)
		if r.loadTime == 0 {
			r.loadTime = took
		}
		r.loadTime += (took - r.loadTime) / loadTimeShare
	}
	delete(r.swaps, engine.Server)
}

// loadTimeShare is the reciprocal weight of the newest load time.
const loadTimeShare = 8

// underWay reports whether an engine loads the version, on our order or on
// that of an earlier holder of the lease, and still has time.
func (r *Roll) underWay(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	if policy.fits(engine.Loading, version) && (row == nil || !policy.fits(row.version, version)) {
		row = r.begin(engine.Server, version, policy, now)
		row.orderedAt, row.seen = time.Time{}, true
	}
	return row != nil && row.waiting && policy.fits(row.version, version) && now.Before(row.until)
}

// failed reports whether a swap has just failed, and schedules the next order.
func (r *Roll) failed(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	if row == nil || !row.waiting || !row.ended(engine, policy) && now.Before(row.until) {
		return false
	}
	r.fail(row, policy, now)
	return policy.fits(row.version, version)
}

func (r *Roll) fail(row *swap, policy Policy, now time.Time) {
	row.waiting = false
	delay := policy.BackoffBase << min(row.failures, maxBackoffShift)
	row.failures++
	row.notBefore = now.Add(min(delay, policy.BackoffMax))
}

// maxBackoffShift keeps the backoff's shift from overflowing.
const maxBackoffShift = 16

// mayOrder reports whether an engine can be ordered now. Another version does
// not wait for the swap to one that is no longer wanted, but for its backoff.
func (r *Roll) mayOrder(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	return row == nil || !now.Before(row.notBefore) || !policy.fits(row.version, version) && row.failures == 0
}

// Refused notes that an engine did not accept an order, or that its reply was
// lost: only the engine's status tells whether it loads.
func (r *Roll) Refused(server core.ServerID, version core.WeightVersion, policy Policy, now time.Time) {
	row := r.swaps[server]
	if row != nil && row.waiting && row.version == version {
		r.fail(row, policy, now)
	}
}

// Withdraw takes back an order that was not sent.
func (r *Roll) Withdraw(server core.ServerID) { delete(r.swaps, server) }

// Failing returns how many engines have failed to load the version last ordered
// and were not seen with it since.
func (r *Roll) Failing() (failing int) {
	for _, row := range r.swaps {
		if row.failures > 0 {
			failing++
		}
	}
	return failing
}

func (r *Roll) begin(server core.ServerID, version core.WeightVersion, policy Policy, now time.Time) *swap {
	row := r.swaps[server]
	if row == nil {
		row = &swap{}
		r.swaps[server] = row
	}
	row.version = version
	row.orderedAt = now
	row.until = now.Add(policy.SwapTimeout)
	row.waiting = true
	row.seen = false
	return row
}

// forgetAbsent drops the orders of engines that are gone.
func (r *Roll) forgetAbsent(engines []Engine) {
	if len(r.swaps) == 0 {
		return
	}
	listed := make(map[core.ServerID]bool, len(engines))
	for i := range engines {
		listed[engines[i].Server] = true
	}
	for server := range r.swaps {
		if !listed[server] {
			delete(r.swaps, server)
		}
	}
}
