package main

import (
	"fmt"
	"io"
	"slices"

	"fescuespar/internal/core"
)

// Targets, as stated by the users.
const (
	idleTarget          = 1.0 / 3 // of the idle share when waiting for all samples
	latencyTarget       = 1.2     // of people's p99 in an idle system
	amplificationTarget = 1.1
	lostTarget          = 2 // servers
)

// outageLoad is people's requests in multiples of turnsPerSecond,
// for each request that the deployments for people may have in flight.
const outageLoad = 0.09

// row is one line of the table: a measure under one policy.
type row struct{ measure, policy, result, target string }

func (p plan) run(s *operator, seed uint64) *world {
	if p.faults == nil {
		p.faults = ordinary
	}
	w := newWorld(s, p, seed)
	w.clock.RunUntil(runTime)
	return w
}

// verdict says whether a value is within its target.
func verdict(value, most float64) string {
	if value <= most {
		return fmt.Sprintf("at most %.3g: met, %.3g", most, value)
	}
	return fmt.Sprintf("at most %.3g: missed by %.3g", most, value-most)
}

// section names a part of the table that can be run alone.
type section string

// The sections, in the table's order.
const (
	training   section = "training"
	stragglers section = "stragglers"
	people     section = "people"
	cache      section = "cache"
	outages    section = "outage"
	killers    section = "killer"
)

// table runs the given sections, all of them if none is given.
func table(s *operator, seed uint64, only []section) (rows []row) {
	wanted := func(any ...section) bool {
		return len(only) == 0 || slices.ContainsFunc(any, func(part section) bool { return slices.Contains(only, part) })
	}
	var ours *world
	if wanted(training, people, cache) {
		ours = plan{}.run(s, seed)
	}
	if wanted(training) {
		rows = append(rows, trainingRows(s, seed, ours)...)
	}
	if wanted(stragglers) {
		rows = append(rows, stragglerRows(s, seed)...)
	}
	if wanted(people) {
		rows = append(rows, peopleRows(s, seed, ours)...)
	}
	if wanted(cache) {
		rows = append(rows, cacheRows(s, seed, ours)...)
	}
	if wanted(outages) {
		rows = append(rows, outageRows(s, seed)...)
	}
	if wanted(killers) {
		rows = append(rows, killerRows(s, seed)...)
	}
	return rows
}

func trainingRows(s *operator, seed uint64, ours *world) (rows []row) {
	worlds := []*world{ours}
	for _, policy := range trainingPolicies[1:] {
		worlds = append(worlds, policy.plan.run(s, seed))
	}
	for i, policy := range trainingPolicies {
		rows = append(rows, trainingRow(policy.name, worlds[i], ""))
	}
	rows[0].target = fmt.Sprintf("idle share %s; staleness over the bound %d: %s",
		verdict(ours.idleShare(), idleTarget*worlds[1].idleShare()), ours.overStale, metOr(ours.overStale == 0))
	return rows
}

func metOr(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}

func trainingRow(policy string, w *world, target string) row {
	return row{"trainer idle share; staleness p50, p99, max", policy, fmt.Sprintf("%.4f; %.0f, %.0f, %.0f (%d steps)", w.idleShare(),
		quantile(w.staleness, 0.5), quantile(w.staleness, 0.99), quantile(w.staleness, 1), len(w.intervals)), target}
}

func stragglerRows(s *operator, seed uint64) (rows []row) {
	for _, share := range []float64{0.02, 0.05} {
		measure := fmt.Sprintf("step completion p50, p99 with %.0f%% stragglers", 100*share)
		add := func(policy string, p plan) {
			p.stragglers = share
			w := p.run(s, seed)
			rows = append(rows, row{measure, policy, fmt.Sprintf("%.1f s, %.1f s (%d steps)",
				quantile(w.intervals, 0.5), quantile(w.intervals, 0.99), len(w.intervals)), ""})
		}
		add("ours", plan{})
		add("no over-provisioning", plan{ahead: 1})
		add("no resume", plan{noResume: true})
		add("neither", plan{ahead: 1, noResume: true})
	}
	return rows
}

func peopleRows(s *operator, seed uint64, ours *world) []row {
	idle := plan{noTraining: true}.run(s, seed)
	ratio := quantile(ours.latencies, 0.99) / quantile(idle.latencies, 0.99)
	return []row{
		peopleRow("ours", ours, "p99 over idle "+verdict(ratio, latencyTarget)),
		peopleRow("one shared queue", plan{sharedQueue: true}.run(s, seed), ""),
		peopleRow("idle system", idle, ""),
	}
}

func peopleRow(policy string, w *world, target string) row {
	return row{"people's latency p50, p99; answered", policy, fmt.Sprintf("%.2f s, %.2f s; %.4f", quantile(w.latencies, 0.5),
		quantile(w.latencies, 0.99), w.answeredShare(warmUp, runTime-peopleEnd)), target}
}

func cacheRows(s *operator, seed uint64, ours *world) []row {
	line := func(policy string, w *world) row {
		return row{"prefix hit rate; volume across regions", policy, fmt.Sprintf("%.3f; %.1f MB", w.hitRate(), w.crossedBytes/1e6), ""}
	}
	return []row{
		line("ours", ours),
		line("round robin", plan{choose: roundRobin}.run(s, seed)),
		line("consistent hashing", plan{choose: consistentHash}.run(s, seed)),
	}
}

func outageRows(s *operator, seed uint64) []row {
	places := 0
	for i := range s.deployments {
		if d := &s.deployments[i]; d.Kind == core.KindEngine && d.Class == core.ClassPeople {
			places += d.Limits.Concurrent
		}
	}
	p := plan{faults: outage, load: outageLoad * float64(places)}
	limited, plain := p, p
	limited.plainRetries = true
	plain.plainRetries, plain.noAdmission = true, true
	ours := p.run(s, seed)
	return []row{
		outageRow("ours", ours, "load "+verdict(amplification(ours), amplificationTarget)),
		outageRow("three tries within the limits", limited.run(s, seed), ""),
		outageRow("plain retries, three tries", plain.run(s, seed), ""),
	}
}

func amplification(w *world) float64 { return float64(w.attempts) / float64(max(1, w.firsts)) }

func outageRow(policy string, w *world, target string) row {
	return row{"outage of 30%: load (by repeats alone); recovery; answered before, in it", policy, fmt.Sprintf("%.3f (%.3f); %.0f s; %.3f, %.3f", amplification(w),
		1+float64(w.repeats)/float64(max(1, w.firsts)),
		w.recovery().Seconds(), w.answeredShare(warmUp, outageFrom), w.answeredShare(outageFrom, outageTo)), target}
}

func killerRows(s *operator, seed uint64) []row {
	ours := plan{faults: sendKiller}.run(s, seed)
	plain := plan{faults: sendKiller, noFingerprint: true}.run(s, seed)
	line := func(policy string, w *world, target string) row {
		return row{"servers lost to a killing request", policy, fmt.Sprintf("%d; %.4f answered", w.lost, w.answeredShare(killerAt, killerAt+2*restartTime)), target}
	}
	return []row{line("ours", ours, verdict(float64(ours.lost), lostTarget)), line("no fingerprint", plain, "")}
}

func print(out io.Writer, rows []row) {
	fmt.Fprintln(out, "| measure | policy | result | target |\n|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", r.measure, r.policy, r.result, r.target)
	}
}
