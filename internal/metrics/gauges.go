package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Gauges holds the functions that read the current state of one process. Each is
// called on every read of the metrics and must be safe for concurrent use.
type Gauges struct {
	GenerationInForce  func() int64
	RequestsInFlight   func() int64
	RequestsQueued     func() int64 // queued by the limits of their deployments
	AnswersInProgress  func() int64
	AnswersKept        func() int64
	LeasesHeld         func() int64
	MembersAlive       func() int64
	MembersSuspect     func() int64
	SamplesRunning     func() int64
	SamplesDone        func() int64
	CommitsWaiting     func() int64
	StepsQueued        func() int64 // in the worker pool
	StepsRefused       func() int64 // by the worker pool, since the process started
	StreamsRunning     func() int64
	StreamsWaiting     func() int64
	PlainCallsRunning  func() int64
	PlainCallsWaiting  func() int64
	TableCallsRunning  func() int64
	TableCallsWaiting  func() int64
	ScoringRunning     func() int64
	ScoringWaiting     func() int64
	ServersKnown       func() int64
	DeploymentsInForce func() int64
}

// RegisterGauges registers the gauges in the set's registry. Every field of g
// must be set.
func (s *Set) RegisterGauges(g Gauges) {
	for name, read := range g.byName() {
		gometrics.NewRegisteredFunctionalGauge(name, s.Registry, read)
	}
}

// byName returns the gauges by their metric names.
func (g Gauges) byName() map[string]func() int64 {
	return map[string]func() int64{
		"configuration.generation":  g.GenerationInForce,
		"configuration.deployments": g.DeploymentsInForce,
		"requests.in_flight":        g.RequestsInFlight,
		"requests.queued":           g.RequestsQueued,
		"answers.in_progress":       g.AnswersInProgress,
		"answers.kept":              g.AnswersKept,
		"leases.held":               g.LeasesHeld,
		"members.alive":             g.MembersAlive,
		"members.suspect":           g.MembersSuspect,
		"samples.running":           g.SamplesRunning,
		"samples.done":              g.SamplesDone,
		"commits.waiting":           g.CommitsWaiting,
		"pool.queued":               g.StepsQueued,
		"pool.refused":              g.StepsRefused,
		"lanes.streams.running":     g.StreamsRunning,
		"lanes.streams.waiting":     g.StreamsWaiting,
		"lanes.calls.running":       g.PlainCallsRunning,
		"lanes.calls.waiting":       g.PlainCallsWaiting,
		"lanes.table.running":       g.TableCallsRunning,
		"lanes.table.waiting":       g.TableCallsWaiting,
		"lanes.scoring.running":     g.ScoringRunning,
		"lanes.scoring.waiting":     g.ScoringWaiting,
		"servers.known":             g.ServersKnown,
	}
}

// Values returns the current value of every counter and gauge.
func (s *Set) Values() map[string]int64 {
	values := make(map[string]int64)
	s.Registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			values[name] = m.Count()
		case gometrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}
