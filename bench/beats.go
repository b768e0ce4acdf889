package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

// report sends the engines' late reports to every entry VM. An engine that is
// gone leaves the question for it without a connection.
func (w *world) report() {
	for _, s := range w.servers {
		measured := w.clock.Time()
		switch {
		case s.vm.Kind != core.KindEngine:
			continue
		case !s.up:
			w.clock.After(connectTimeout, func() { w.unreachable(s.vm.ID, measured) })
			continue
		}
		status := s.status(w.random)
		w.clock.After(reportLag, func() {
			for _, e := range w.entries {
				e.router.report(status, measured)
			}
		})
	}
	for _, e := range w.entries {
		e.router.sweep(w.clock.Time())
	}
	w.clock.After(reportEvery, w.report)
}

func (w *world) unreachable(id core.ServerID, tried time.Time) {
	for _, e := range w.entries {
		e.router.unreachable(id, tried)
	}
}

// beatLimits lets every two entry VMs exchange the parts of their limits.
func (w *world) beatLimits() {
	now := w.clock.Time()
	for i := range w.site.deployments {
		name := w.site.deployments[i].Name
		for _, from := range w.entries {
			for _, to := range w.entries {
				if from != to {
					exchangeLimits(from, to, name, now)
				}
			}
		}
		for _, e := range w.entries {
			e.limits[name].Expire(name, now)
			e.limits[name].Refresh(now)
		}
	}
	w.clock.After(beatEvery, w.beatLimits)
}

func exchangeLimits(from, to *entry, name core.DeploymentName, now time.Time) {
	to.limits[name].Heard(from.vm, from.limits[name].News(to.vm, false, now), time.Time{}, now)
	from.limits[name].Heard(to.vm, to.limits[name].News(from.vm, true, now), now, now)
}

// askLimits carries the heartbeats out of turn.
func (w *world) askLimits() {
	now := w.clock.Time()
	for i := range w.site.deployments {
		name := w.site.deployments[i].Name
		for _, from := range w.entries {
			for _, vm := range from.limits[name].Asks(now) {
				at := slices.IndexFunc(w.entries, func(e *entry) bool { return e.vm == vm })
				exchangeLimits(from, w.entries[at], name, now)
			}
		}
	}
	w.clock.After(askEvery, w.askLimits)
}

// beatCrashes spreads what the entry VMs know of requests that crash servers.
func (w *world) beatCrashes() {
	if w.plan.noFingerprint {
		return
	}
	for _, e := range w.entries {
		e.crashes.Tick(nil, w.clock.Time())
		e.crashes.Propose(func(*tables.Held) core.ServerID { return w.trialServer() }, w.clock.Time())
		w.push(e)
	}
	w.clock.After(crashBeat, w.beatCrashes)
}

// trialServer draws an engine that is up.
func (w *world) trialServer() core.ServerID {
	for range len(w.servers) {
		if s := w.servers[w.random.IntN(len(w.servers))]; s.up && s.vm.Kind == core.KindEngine {
			return s.vm.ID
		}
	}
	return ""
}

// push sends an entry VM's news to all others, which answer them.
func (w *world) push(from *entry) {
	news := from.crashes.News(w.clock.Time())
	if len(news) == 0 {
		return
	}
	for _, to := range w.entries {
		if to == from {
			continue
		}
		w.clock.After(regionTrip, func() {
			answer := to.crashes.Heard(from.vm, news, w.clock.Time())
			w.clock.After(regionTrip, func() {
				from.crashes.Heard(to.vm, answer, w.clock.Time())
				from.crashes.Start(w.members())
			})
		})
	}
}

func (w *world) members() (all []core.VMID) {
	for _, e := range w.entries {
		all = append(all, e.vm)
	}
	return all
}

// sharedQueue is one queue for a deployment's requests of all classes.
type sharedQueue struct {
	running int
	waiting []func()
}

func (w *world) queue(d *core.Deployment) *sharedQueue {
	if w.queues[d.Name] == nil {
		w.queues[d.Name] = &sharedQueue{}
	}
	return w.queues[d.Name]
}

func (q *sharedQueue) enter(d *core.Deployment, start func()) {
	if q.running < d.Limits.Concurrent {
		q.running++
		start()
		return
	}
	q.waiting = append(q.waiting, start)
}

func (q *sharedQueue) leave() {
	q.running--
	if len(q.waiting) > 0 {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		next()
	}
}
