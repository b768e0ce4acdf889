package weights

import (
	"time"

	"fescuespar/internal/core"
)

// Engine is the last known state of one engine of a deployment.
type Engine struct {
	Server     core.ServerID
	Zone       core.ZoneName
	Region     core.RegionName
	Version    core.WeightVersion // version being served
	Loading    core.WeightVersion // version being loaded, zero if none
	InFlight   int
	MeasuredAt time.Time // when Version and Loading were measured; zero if unknown
}

// Policy holds the settings of a rollout.
type Policy struct {
	TargetTime          time.Duration // time within which all engines should serve a version
	SwapTimeout         time.Duration // time after which a swap that has not taken effect has failed
	LoadReportTimeout   time.Duration // time after an order at which a report that shows no load means that the order failed; zero for never
	BackoffBase         time.Duration // delay before the second order to an engine
	BackoffMax          time.Duration
	IdleWeight          float64 // weight of trainer idle time against staleness, from 0 to 1
	OneLoadPerEngine    bool    // an engine refuses orders while it loads, also those for a newer version
	ExactVersion        bool    // engines that serve a newer version are ordered to load this one
	MaxLoading          int     // maximum number of engines that load at the same time, zero for no limit
	MaxLoadingPerRegion int     // maximum number of engines per region that load at the same time, zero for no limit
}

// satisfies reports whether an engine that serves or loads the given version
// need not be ordered to load the wanted one.
func (p *Policy) satisfies(version, wanted core.WeightVersion) bool {
	return version == wanted || !p.ExactVersion && version > wanted
}

// swap is the state of a load order that is in progress or has failed.
type swap struct {
	version      core.WeightVersion
	orderedAt    time.Time // zero if the order was sent by another process
	deadline     time.Time // deadline after which the swap has failed
	failures     int
	notBefore    time.Time // earliest time of the next order after a failure
	inProgress   bool      // whether the engine's status has yet to report the version
	loadReported bool      // the status has reported the load
}

// loadEnded reports whether a report measured after the order shows that the
// engine has stopped loading the swap's version without serving it. An engine
// that does not have the adapter yet need not report that it is loading it.
func (row *swap) loadEnded(engine *Engine, policy Policy) bool {
	isAfterOrder := !engine.MeasuredAt.IsZero() && !engine.MeasuredAt.Before(row.orderedAt)
	if !isAfterOrder || policy.satisfies(engine.Version, row.version) {
		return false
	}
	if engine.Loading != 0 {
		row.loadReported = row.loadReported || engine.Loading == row.version
		return false
	}
	isOverdue := policy.LoadReportTimeout > 0 && engine.Version != 0 && engine.MeasuredAt.Sub(row.orderedAt) >= policy.LoadReportTimeout
	return row.loadReported || isOverdue && !row.orderedAt.IsZero()
}

// VersionRollout is the rollout of a deployment's weight versions. It is not
// safe for concurrent use.
type VersionRollout struct {
	swaps    map[core.ServerID]*swap
	loadTime time.Duration // moving average of one engine's load time
}

// NewVersionRollout returns a rollout without orders.
func NewVersionRollout() *VersionRollout {
	return &VersionRollout{swaps: make(map[core.ServerID]*swap)}
}

// Decision lists the actions to take now.
type Decision struct {
	EnginesToOrder []core.ServerID // engines to order to load the version
	FailedEngines  []core.ServerID // engines whose swap has failed since the previous decision
	BehindCount    int             // number of engines that do not serve the version
}

// Decide selects the engines to order next. Selected engines count as loading
// until their status reports the version, OrderFailed is called or their deadline
// has passed.
func (r *VersionRollout) Decide(engines []Engine, version core.WeightVersion, policy Policy, now time.Time) Decision {
	r.removeUnlisted(engines)
	var decision Decision
	counts := newLoadingCounts(engines)
	var ready []*Engine
	for i := range engines {
		engine := &engines[i]
		if policy.satisfies(engine.Version, version) {
			r.recordServed(engine, now)
			continue
		}
		decision.BehindCount++
		switch {
		case r.detectFailure(engine, version, policy, now):
			decision.FailedEngines = append(decision.FailedEngines, engine.Server)
		case r.isLoading(engine, version, policy, now) || policy.OneLoadPerEngine && r.isBusy(engine, policy, now):
			counts.addLoading(engine)
		case r.mayOrder(engine, version, policy, now):
			ready = append(ready, engine)
		}
	}
	decision.EnginesToOrder = r.selectOrders(ready, counts, version, policy, now)
	return decision
}

// recordServed records that an engine serves the version.
func (r *VersionRollout) recordServed(engine *Engine, now time.Time) {
	row := r.swaps[engine.Server]
	if row == nil {
		return
	}
	if row.inProgress && !row.orderedAt.IsZero() && engine.Version >= row.version {
		duration := now.Sub(row.orderedAt)
		if r.loadTime == 0 {
			r.loadTime = duration
		}
		r.loadTime += (duration - r.loadTime) / loadTimeSmoothing
	}
	delete(r.swaps, engine.Server)
}

// loadTimeSmoothing is the reciprocal of the newest load time's weight in the
// moving average.
const loadTimeSmoothing = 8

// isLoading reports whether an engine is loading the version before its
// deadline, by an order of this process or of an earlier lease holder.
func (r *VersionRollout) isLoading(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	if policy.satisfies(engine.Loading, version) && (row == nil || !policy.satisfies(row.version, version)) {
		row = r.startSwap(engine.Server, version, policy, now)
		row.orderedAt, row.loadReported = time.Time{}, true
	}
	return row != nil && row.inProgress && policy.satisfies(row.version, version) && now.Before(row.deadline)
}

// isBusy reports whether an engine is loading any version by an order of this process.
func (r *VersionRollout) isBusy(engine *Engine, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	return row != nil && row.inProgress && now.Before(row.deadline) && !policy.satisfies(engine.Version, row.version)
}

// detectFailure reports whether a swap to the version has just failed, and
// schedules the next order.
func (r *VersionRollout) detectFailure(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	if row == nil || !row.inProgress || !row.loadEnded(engine, policy) && now.Before(row.deadline) {
		return false
	}
	r.recordFailure(row, policy, now)
	return policy.satisfies(row.version, version)
}

func (r *VersionRollout) recordFailure(row *swap, policy Policy, now time.Time) {
	row.inProgress = false
	delay := policy.BackoffBase << min(row.failures, maxBackoffShift)
	row.failures++
	row.notBefore = now.Add(min(delay, policy.BackoffMax))
}

// maxBackoffShift prevents an overflow when the backoff is shifted.
const maxBackoffShift = 16

// mayOrder reports whether an engine can be ordered now. An order for a
// different version does not wait for a swap to a version that is no longer
// wanted to end, unless the policy says so, but does wait for the backoff after a failure.
func (r *VersionRollout) mayOrder(engine *Engine, version core.WeightVersion, policy Policy, now time.Time) bool {
	row := r.swaps[engine.Server]
	return row == nil || !now.Before(row.notBefore) || !policy.satisfies(row.version, version) && row.failures == 0
}

// OrderFailed records that an engine rejected an order or that its reply was lost.
// In the latter case only the engine's status shows whether it is loading.
func (r *VersionRollout) OrderFailed(server core.ServerID, version core.WeightVersion, policy Policy, now time.Time) {
	row := r.swaps[server]
	if row != nil && row.inProgress && row.version == version {
		r.recordFailure(row, policy, now)
	}
}

// CancelOrder cancels an order that was not sent.
func (r *VersionRollout) CancelOrder(server core.ServerID) { delete(r.swaps, server) }

// FailingCount returns the number of engines that failed to load the version ordered
// last and have not reported it since.
func (r *VersionRollout) FailingCount() (failing int) {
	for _, row := range r.swaps {
		if row.failures > 0 {
			failing++
		}
	}
	return failing
}

func (r *VersionRollout) startSwap(server core.ServerID, version core.WeightVersion, policy Policy, now time.Time) *swap {
	row := r.swaps[server]
	if row == nil {
		row = &swap{}
		r.swaps[server] = row
	}
	row.version = version
	row.orderedAt = now
	row.deadline = now.Add(policy.SwapTimeout)
	row.inProgress = true
	row.loadReported = false
	return row
}

// removeUnlisted removes the orders of engines that are no longer listed.
func (r *VersionRollout) removeUnlisted(engines []Engine) {
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
