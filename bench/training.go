package main

import (
	"fmt"
	"io"
	"sync"
)

// trainingPolicy is a named policy of the training rows.
type trainingPolicy struct {
	name     string
	scenario scenario
}

var trainingPolicies = []trainingPolicy{
	{"ours", scenario{}},
	{"wait for all samples", scenario{stepsAhead: 1}},
	{"random routing", scenario{chooseServer: chooseRandom}},
	{"least-loaded routing", scenario{chooseServer: chooseLeastLoaded}},
}

// maxParallelRuns bounds the number of concurrent simulations.
const maxParallelRuns = 4

// printTraining prints idle time, staleness, sample counts and the latency of
// interactive requests under each policy, for the seeds from 1 to the given number.
func printTraining(out io.Writer, s *siteConfig, seeds uint64) {
	lines := make([]string, uint64(len(trainingPolicies))*seeds)
	slots := make(chan struct{}, maxParallelRuns)
	var running sync.WaitGroup
	for i, policy := range trainingPolicies {
		for seed := range seeds {
			running.Go(func() {
				slots <- struct{}{}
				lines[uint64(i)*seeds+seed] = trainingLine(policy.name, seed+1, policy.scenario.simulate(s, seed+1))
				<-slots
			})
		}
	}
	running.Wait()
	fmt.Fprintln(out, "| policy | seed | idle share | by trainer, s | staleness mean, p50, p99, max | over the bound | "+
		"samples generated, delivered, thrown away, canceled, refused | p99 of interactive requests; answered |\n|---|---|---|---|---|---|---|---|")
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

func trainingLine(policy string, seed uint64, sim *simulation) string {
	var all sampleCounts
	undelivered, idle := 0, ""
	for _, t := range sim.trainers {
		all.generated += t.counts.generated
		all.delivered += t.counts.delivered
		all.canceled += t.counts.canceled
		all.refused += t.counts.refused
		undelivered += t.scheduler.undeliveredCount()
		idle += fmt.Sprintf("%s %.0f; ", t.deployment.Name, t.idleTime.Seconds())
	}
	return fmt.Sprintf("| %s | %d | %.4f | %s | %.3f, %.0f, %.0f, %.0f | %d | %d, %d, %d, %d, %d | %.1f s; %.4f |",
		policy, seed, sim.idleShare(), idle[:len(idle)-2],
		mean(sim.staleness), quantile(sim.staleness, 0.5), quantile(sim.staleness, 0.99), quantile(sim.staleness, 1), sim.groupsOverBound,
		all.generated, all.delivered, all.generated-all.delivered-undelivered, all.canceled, all.refused,
		quantile(sim.latencies, 0.99), sim.answeredShare(warmUp, runTime-interactiveCutoff))
}
