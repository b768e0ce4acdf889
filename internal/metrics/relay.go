package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Relay is the metrics of a process that passes requests on by routes.
type Relay struct {
	Registry gometrics.Registry

	RequestsServed  gometrics.Counter
	RequestsRefused gometrics.Counter
	RequestsFailed  gometrics.Counter
	Attempts        gometrics.Counter
	JobsAccepted    gometrics.Counter
	JobsRefused     gometrics.Counter
	JobsEnded       gometrics.Counter
	RunsStarted     gometrics.Counter
	RunsCut         gometrics.Counter
	ResultsStored   gometrics.Counter
	ScoresMissed    gometrics.Counter
	WeightOrders    gometrics.Counter
	OrdersFailed    gometrics.Counter
	LeasesAcquired  gometrics.Counter
	LeasesLost      gometrics.Counter
	TableReads      gometrics.Counter
	TableCommits    gometrics.Counter
	TableUnknown    gometrics.Counter
	StoreFailures   gometrics.Counter
	RequestTime     *Latency // milliseconds from a request's arrival to its answer
	RunTime         *Latency // milliseconds of whole runs of items
}

// NewRelay returns a set of zeroed metrics in a registry of their own.
func NewRelay() *Relay {
	r := &Relay{Registry: gometrics.NewRegistry()}
	for name, counter := range map[string]*gometrics.Counter{
		"relay.requests.served": &r.RequestsServed, "relay.requests.refused": &r.RequestsRefused,
		"relay.requests.failed": &r.RequestsFailed, "relay.attempts": &r.Attempts,
		"relay.jobs.accepted": &r.JobsAccepted, "relay.jobs.refused": &r.JobsRefused, "relay.jobs.ended": &r.JobsEnded,
		"relay.runs.started": &r.RunsStarted, "relay.runs.cut": &r.RunsCut,
		"relay.results.stored": &r.ResultsStored, "relay.scores.missed": &r.ScoresMissed,
		"relay.orders.sent": &r.WeightOrders, "relay.orders.failed": &r.OrdersFailed,
		"relay.leases.acquired": &r.LeasesAcquired, "relay.leases.lost": &r.LeasesLost,
		"relay.table.reads": &r.TableReads, "relay.table.commits": &r.TableCommits,
		"relay.table.unknown": &r.TableUnknown, "relay.store.failures": &r.StoreFailures,
	} {
		*counter = gometrics.NewRegisteredCounter(name, r.Registry)
	}
	for name, latency := range map[string]**Latency{"relay.request.ms": &r.RequestTime, "relay.run.ms": &r.RunTime} {
		*latency = NewLatency()
		if err := r.Registry.Register(name, *latency); err != nil {
			panic(err) // two metrics of one name: a mistake in this file
		}
	}
	return r
}
