package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

// sendReports delivers the engines' status reports to every entry VM after
// reportDelay. Polling an engine that is down fails to connect.
func (sim *simulation) sendReports() {
	for _, s := range sim.servers {
		measured := sim.clock.Time()
		switch {
		case s.vm.Kind != core.KindEngine:
			continue
		case !s.isUp:
			sim.clock.After(connectTimeout, func() { sim.reportUnreachable(s.vm.ID, measured) })
			continue
		}
		status := s.status(sim.policyRandom)
		sim.clock.After(reportDelay, func() {
			for _, e := range sim.entries {
				e.router.applyReport(status, measured)
			}
		})
	}
	for _, e := range sim.entries {
		e.router.removeExpired(sim.clock.Time())
	}
	sim.clock.After(reportInterval, sim.sendReports)
}

func (sim *simulation) reportUnreachable(id core.ServerID, tried time.Time) {
	for _, e := range sim.entries {
		e.router.markUnreachable(id, tried)
	}
}

// exchangeLimitsPeriodically has each pair of entry VMs exchange their shares of
// the limits.
func (sim *simulation) exchangeLimitsPeriodically() {
	now := sim.clock.Time()
	for i := range sim.site.deployments {
		name := sim.site.deployments[i].Name
		for _, from := range sim.entries {
			for _, to := range sim.entries {
				if from != to {
					exchangeLimits(from, to, name, now)
				}
			}
		}
		for _, e := range sim.entries {
			e.limits[name].Expire(name, now)
			e.limits[name].Refresh(now)
		}
	}
	sim.clock.After(limitExchangeInterval, sim.exchangeLimitsPeriodically)
}

func exchangeLimits(from, to *entry, name core.DeploymentName, now time.Time) {
	to.limits[name].ApplyUpdates(from.vm, from.limits[name].HeartbeatUpdates(to.vm, false, now), time.Time{}, now)
	from.limits[name].ApplyUpdates(to.vm, to.limits[name].HeartbeatUpdates(from.vm, true, now), now, now)
}

// exchangeRequestedLimits carries the heartbeats that an entry VM requests before
// the next regular one.
func (sim *simulation) exchangeRequestedLimits() {
	now := sim.clock.Time()
	for i := range sim.site.deployments {
		name := sim.site.deployments[i].Name
		for _, from := range sim.entries {
			for _, vm := range from.limits[name].HeartbeatTargets(now) {
				at := slices.IndexFunc(sim.entries, func(e *entry) bool { return e.vm == vm })
				exchangeLimits(from, sim.entries[at], name, now)
			}
		}
	}
	sim.clock.After(limitPollInterval, sim.exchangeRequestedLimits)
}

// exchangeCrashesPeriodically spreads the entry VMs' knowledge of requests that
// crash servers.
func (sim *simulation) exchangeCrashesPeriodically() {
	if sim.scenario.noCrashDetection {
		return
	}
	for _, e := range sim.entries {
		e.crashes.Tick(nil, sim.clock.Time())
		e.crashes.ProposeTrials(func(*tables.HeldRequest) core.ServerID { return sim.pickTrialServer() }, sim.clock.Time())
		sim.sendCrashUpdates(e)
	}
	sim.clock.After(crashExchangeInterval, sim.exchangeCrashesPeriodically)
}

// pickTrialServer returns a random engine that is up, or "" if it found none.
func (sim *simulation) pickTrialServer() core.ServerID {
	for range len(sim.servers) {
		if s := sim.servers[sim.policyRandom.IntN(len(sim.servers))]; s.isUp && s.vm.Kind == core.KindEngine {
			return s.vm.ID
		}
	}
	return ""
}

// sendCrashUpdates sends an entry VM's crash records to all others, which reply
// with theirs.
func (sim *simulation) sendCrashUpdates(from *entry) {
	update := from.crashes.HeartbeatUpdates(sim.clock.Time())
	if len(update) == 0 {
		return
	}
	for _, to := range sim.entries {
		if to == from {
			continue
		}
		sim.clock.After(regionLatency, func() {
			answer := to.crashes.ApplyUpdates(from.vm, update, sim.clock.Time())
			sim.clock.After(regionLatency, func() {
				from.crashes.ApplyUpdates(to.vm, answer, sim.clock.Time())
				from.crashes.StartTrials(sim.entryVMIDs())
			})
		})
	}
}

func (sim *simulation) entryVMIDs() (all []core.VMID) {
	for _, e := range sim.entries {
		all = append(all, e.vm)
	}
	return all
}

// sharedQueue is a single queue for a deployment's requests of all classes. It
// replaces admission in a baseline.
type sharedQueue struct {
	running int
	waiting []func()
}

func (sim *simulation) sharedQueueFor(d *core.Deployment) *sharedQueue {
	if sim.queues[d.Name] == nil {
		sim.queues[d.Name] = &sharedQueue{}
	}
	return sim.queues[d.Name]
}

func (q *sharedQueue) acquire(d *core.Deployment, onStart func()) {
	if q.running < d.Limits.Concurrent {
		q.running++
		onStart()
		return
	}
	q.waiting = append(q.waiting, onStart)
}

func (q *sharedQueue) release() {
	q.running--
	if len(q.waiting) > 0 {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		next()
	}
}
