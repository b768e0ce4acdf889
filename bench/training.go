package main

import (
	"fmt"
	"io"
	"sync"
)

// trainingPolicy is one line of the training rows.
type trainingPolicy struct {
	name string
	plan plan
}

var trainingPolicies = []trainingPolicy{
	{"ours", plan{}},
	{"wait for all samples", plan{ahead: 1}},
	{"random routing", plan{choose: atRandom}},
	{"least-loaded routing", plan{choose: leastLoaded}},
}

// runsAtOnce bounds the worlds that run at the same time.
const runsAtOnce = 4

// printTraining prints idle time, staleness and the samples' fates under each
// policy, and how people fared beside them, for seeds from 1 on.
func printTraining(out io.Writer, s *operator, seeds uint64) {
	lines := make([]string, uint64(len(trainingPolicies))*seeds)
	places := make(chan struct{}, runsAtOnce)
	var running sync.WaitGroup
	for i, policy := range trainingPolicies {
		for seed := range seeds {
			running.Go(func() {
				places <- struct{}{}
				lines[uint64(i)*seeds+seed] = trainingLine(policy.name, seed+1, policy.plan.run(s, seed+1))
				<-places
			})
		}
	}
	running.Wait()
	fmt.Fprintln(out, "| policy | seed | idle share | by trainer, s | staleness mean, p50, p99, max | over the bound | "+
		"samples generated, delivered, thrown away, canceled, refused | people's p99; answered |\n|---|---|---|---|---|---|---|---|")
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

func trainingLine(policy string, seed uint64, w *world) string {
	var all sampleCounts
	held, idle := 0, ""
	for _, t := range w.trainers {
		all.generated += t.counts.generated
		all.delivered += t.counts.delivered
		all.canceled += t.counts.canceled
		all.refused += t.counts.refused
		held += t.book.held()
		idle += fmt.Sprintf("%s %.0f; ", t.deployment.Name, t.idle.Seconds())
	}
	return fmt.Sprintf("| %s | %d | %.4f | %s | %.3f, %.0f, %.0f, %.0f | %d | %d, %d, %d, %d, %d | %.1f s; %.4f |",
		policy, seed, w.idleShare(), idle[:len(idle)-2],
		mean(w.staleness), quantile(w.staleness, 0.5), quantile(w.staleness, 0.99), quantile(w.staleness, 1), w.overStale,
		all.generated, all.delivered, all.generated-all.delivered-held, all.canceled, all.refused,
		quantile(w.latencies, 0.99), w.answeredShare(warmUp, runTime-peopleEnd))
}
