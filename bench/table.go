package main

import (
	"fmt"
	"io"
	"slices"

	"fescuespar/internal/core"
)

// Targets stated by the users.
const (
	idleShareTarget     = 1.0 / 3 // relative to the idle share when waiting for all samples
	latencyTarget       = 1.2     // relative to the p99 of interactive requests in an idle system
	amplificationTarget = 1.1
	lostServersTarget   = 2 // servers
)

// outageLoadPerRequest is the rate of interactive requests, in multiples of
// turnsPerSecond, for each request that the interactive deployments may have in
// flight.
const outageLoadPerRequest = 0.09

// tableRow is one row of the table: a measure under one policy.
type tableRow struct{ measure, policy, result, target string }

func (s scenario) simulate(site *siteConfig, seed uint64) *simulation {
	if s.scheduleFaults == nil {
		s.scheduleFaults = scheduleUsualFaults
	}
	sim := newSimulation(site, s, seed)
	sim.clock.RunUntil(runTime)
	return sim
}

// compareToTarget describes whether a value is within its limit.
func compareToTarget(value, limit float64) string {
	if value <= limit {
		return fmt.Sprintf("at most %.3g: met, %.3g", limit, value)
	}
	return fmt.Sprintf("at most %.3g: missed by %.3g", limit, value-limit)
}

// section names a part of the table that can be run separately.
type section string

// Sections in the order of the table.
const (
	trainingSection    section = "training"
	stragglersSection  section = "stragglers"
	interactiveSection section = "people"
	cacheSection       section = "cache"
	outageSection      section = "outage"
	crashingSection    section = "killer"
)

// buildTable runs the given sections, or all sections if none is given.
func buildTable(s *siteConfig, seed uint64, only []section) (rows []tableRow) {
	wanted := func(any ...section) bool {
		return len(only) == 0 || slices.ContainsFunc(any, func(part section) bool { return slices.Contains(only, part) })
	}
	var service *simulation
	if wanted(trainingSection, interactiveSection, cacheSection) {
		service = scenario{}.simulate(s, seed)
	}
	if wanted(trainingSection) {
		rows = append(rows, trainingRows(s, seed, service)...)
	}
	if wanted(stragglersSection) {
		rows = append(rows, stragglerRows(s, seed)...)
	}
	if wanted(interactiveSection) {
		rows = append(rows, interactiveRows(s, seed, service)...)
	}
	if wanted(cacheSection) {
		rows = append(rows, cacheRows(s, seed, service)...)
	}
	if wanted(outageSection) {
		rows = append(rows, outageRows(s, seed)...)
	}
	if wanted(crashingSection) {
		rows = append(rows, crashingRequestRows(s, seed)...)
	}
	return rows
}

func trainingRows(s *siteConfig, seed uint64, service *simulation) (rows []tableRow) {
	simulations := []*simulation{service}
	for _, policy := range trainingPolicies[1:] {
		simulations = append(simulations, policy.scenario.simulate(s, seed))
	}
	for i, policy := range trainingPolicies {
		rows = append(rows, trainingRow(policy.name, simulations[i], ""))
	}
	rows[0].target = fmt.Sprintf("idle share %s; staleness over the bound %d: %s",
		compareToTarget(service.idleShare(), idleShareTarget*simulations[1].idleShare()), service.groupsOverBound, metText(service.groupsOverBound == 0))
	return rows
}

func metText(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}

func trainingRow(policy string, sim *simulation, target string) tableRow {
	return tableRow{"trainer idle share; staleness p50, p99, max", policy, fmt.Sprintf("%.4f; %.0f, %.0f, %.0f (%d steps)", sim.idleShare(),
		quantile(sim.staleness, 0.5), quantile(sim.staleness, 0.99), quantile(sim.staleness, 1), len(sim.stepIntervals)), target}
}

func stragglerRows(s *siteConfig, seed uint64) (rows []tableRow) {
	for _, share := range []float64{0.02, 0.05} {
		measure := fmt.Sprintf("step completion p50, p99 with %.0f%% stragglers", 100*share)
		add := func(policy string, p scenario) {
			p.stragglerShare = share
			sim := p.simulate(s, seed)
			rows = append(rows, tableRow{measure, policy, fmt.Sprintf("%.1f s, %.1f s (%d steps)",
				quantile(sim.stepIntervals, 0.5), quantile(sim.stepIntervals, 0.99), len(sim.stepIntervals)), ""})
		}
		add("ours", scenario{})
		add("no over-provisioning", scenario{stepsAhead: 1})
		add("no resume", scenario{noResume: true})
		add("neither", scenario{stepsAhead: 1, noResume: true})
	}
	return rows
}

func interactiveRows(s *siteConfig, seed uint64, service *simulation) []tableRow {
	idle := scenario{noTraining: true}.simulate(s, seed)
	ratio := quantile(service.latencies, 0.99) / quantile(idle.latencies, 0.99)
	return []tableRow{
		interactiveRow("ours", service, "p99 over idle "+compareToTarget(ratio, latencyTarget)),
		interactiveRow("one shared queue", scenario{useSharedQueue: true}.simulate(s, seed), ""),
		interactiveRow("idle system", idle, ""),
	}
}

func interactiveRow(policy string, sim *simulation, target string) tableRow {
	return tableRow{"latency of interactive requests p50, p99; answered", policy, fmt.Sprintf("%.2f s, %.2f s; %.4f", quantile(sim.latencies, 0.5),
		quantile(sim.latencies, 0.99), sim.answeredShare(warmUp, runTime-interactiveCutoff)), target}
}

func cacheRows(s *siteConfig, seed uint64, service *simulation) []tableRow {
	line := func(policy string, sim *simulation) tableRow {
		return tableRow{"prefix hit rate; volume across regions", policy, fmt.Sprintf("%.3f; %.1f MB", sim.hitRate(), sim.crossRegionBytes/1e6), ""}
	}
	return []tableRow{
		line("ours", service),
		line("round robin", scenario{chooseServer: chooseRoundRobin}.simulate(s, seed)),
		line("consistent hashing", scenario{chooseServer: chooseConsistentHash}.simulate(s, seed)),
	}
}

func outageRows(s *siteConfig, seed uint64) []tableRow {
	concurrent := 0
	for i := range s.deployments {
		if d := &s.deployments[i]; d.Kind == core.KindEngine && d.Class == core.ClassInteractive {
			concurrent += d.Limits.Concurrent
		}
	}
	p := scenario{scheduleFaults: scheduleOutage, loadFactor: outageLoadPerRequest * float64(concurrent)}
	limited, plain := p, p
	limited.fixedRetries = true
	plain.fixedRetries, plain.noAdmission = true, true
	service := p.simulate(s, seed)
	return []tableRow{
		outageRow("ours", service, "load "+compareToTarget(amplification(service), amplificationTarget)),
		outageRow("three tries within the limits", limited.simulate(s, seed), ""),
		outageRow("plain retries, three tries", plain.simulate(s, seed), ""),
	}
}

func amplification(sim *simulation) float64 {
	return float64(sim.attempts) / float64(max(1, sim.firstAttempts))
}

func outageRow(policy string, sim *simulation, target string) tableRow {
	return tableRow{"outage of 30%: load (by repeats alone); recovery; answered before, in it", policy, fmt.Sprintf("%.3f (%.3f); %.0f s; %.3f, %.3f", amplification(sim),
		1+float64(sim.retries)/float64(max(1, sim.firstAttempts)),
		sim.recoveryTime().Seconds(), sim.answeredShare(warmUp, outageFrom), sim.answeredShare(outageFrom, outageTo)), target}
}

func crashingRequestRows(s *siteConfig, seed uint64) []tableRow {
	service := scenario{scheduleFaults: scheduleCrashingRequest}.simulate(s, seed)
	plain := scenario{scheduleFaults: scheduleCrashingRequest, noCrashDetection: true}.simulate(s, seed)
	line := func(policy string, sim *simulation, target string) tableRow {
		return tableRow{"servers lost to a killing request", policy, fmt.Sprintf("%d; %.4f answered", sim.lostServers, sim.answeredShare(crashingRequestAt, crashingRequestAt+2*restartTime)), target}
	}
	return []tableRow{line("ours", service, compareToTarget(float64(service.lostServers), lostServersTarget)), line("no fingerprint", plain, "")}
}

func printTable(out io.Writer, rows []tableRow) {
	fmt.Fprintln(out, "| measure | policy | result | target |\n|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", r.measure, r.policy, r.result, r.target)
	}
}
