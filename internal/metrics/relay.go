package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Relay holds the metrics of a process that forwards requests by routes.
type Relay struct {
	Registry gometrics.Registry

	RequestsServed    gometrics.Counter
	RequestsRefused   gometrics.Counter
	RequestsFailed    gometrics.Counter
	Attempts          gometrics.Counter
	AttemptsCut       gometrics.Counter
	ServerDeaths      gometrics.Counter
	JobsAccepted      gometrics.Counter
	JobsRefused       gometrics.Counter
	JobsEnded         gometrics.Counter
	JobsHeldBack      gometrics.Counter
	JobsSetAside      gometrics.Counter
	JobsDenied        gometrics.Counter
	StreamsRefused    gometrics.Counter
	KeysMissing       gometrics.Counter
	KeysUnknown       gometrics.Counter
	KeysRemoved       gometrics.Counter
	KeysUnconfirmed   gometrics.Counter
	KeysFound         gometrics.Counter
	KeyReads          gometrics.Counter
	RoutesMissing     gometrics.Counter
	RoutesUnconfirmed gometrics.Counter
	RunsStarted       gometrics.Counter
	RunsCut           gometrics.Counter
	ResultsStored     gometrics.Counter
	ScoresMissed      gometrics.Counter
	WeightOrders      gometrics.Counter
	OrdersFailed      gometrics.Counter
	LeasesAcquired    gometrics.Counter
	LeasesLost        gometrics.Counter
	TableReads        gometrics.Counter
	TableCommits      gometrics.Counter
	TableUnknown      gometrics.Counter
	StoreFailures     gometrics.Counter
	Accounts          gometrics.Gauge
	AccountKeys       gometrics.Gauge
	SlotsAwaited      gometrics.Counter
	SlotsRefused      gometrics.Counter
	PacesBegun        gometrics.Counter
	ServersPaced      gometrics.Gauge
	UsageBegun        gometrics.Counter
	UsageWrites       gometrics.Counter
	UsageSettled      gometrics.Counter
	UsageAccepted     gometrics.Counter
	UsageLate         gometrics.Counter
	UsageLateRows     gometrics.Counter
	DutyCalls         gometrics.Counter
	DutyFailures      gometrics.Counter
	UsageLost         gometrics.Gauge
	UsageOwed         gometrics.Gauge
	DutyHeld          gometrics.Gauge

	SoftwareMismatches gometrics.Counter
	ServersRejected    *Rejections
	RequestTime        *Latency // ms from a request's arrival to its answer
	RunTime            *Latency // ms from the start to the end of an item's run
	SlotWait           *Latency // ms for which a request that found no slot waited for one
}

// NewRelay returns a set of zeroed metrics with its own registry.
func NewRelay() *Relay {
	r := &Relay{Registry: gometrics.NewRegistry()}
	for name, counter := range map[string]*gometrics.Counter{
		"relay.requests.served": &r.RequestsServed, "relay.requests.refused": &r.RequestsRefused,
		"relay.requests.failed": &r.RequestsFailed, "relay.attempts": &r.Attempts, "relay.attempts.cut": &r.AttemptsCut, "relay.servers.died": &r.ServerDeaths,
		"relay.jobs.accepted": &r.JobsAccepted, "relay.jobs.refused": &r.JobsRefused, "relay.jobs.ended": &r.JobsEnded, "relay.jobs.held_back": &r.JobsHeldBack, "relay.jobs.set_aside": &r.JobsSetAside,
		"relay.jobs.denied": &r.JobsDenied, "relay.keys.missing": &r.KeysMissing, "relay.keys.unknown": &r.KeysUnknown,
		"relay.keys.removed": &r.KeysRemoved, "relay.keys.unconfirmed": &r.KeysUnconfirmed, "relay.keys.found": &r.KeysFound, "relay.keys.reads": &r.KeyReads,
		"relay.streams.not_resumed": &r.StreamsRefused, "relay.software.mismatches": &r.SoftwareMismatches, "relay.routes.missing": &r.RoutesMissing, "relay.routes.unconfirmed": &r.RoutesUnconfirmed,
		"relay.runs.started": &r.RunsStarted, "relay.runs.cut": &r.RunsCut,
		"relay.results.stored": &r.ResultsStored, "relay.scores.missed": &r.ScoresMissed,
		"relay.orders.sent": &r.WeightOrders, "relay.orders.failed": &r.OrdersFailed,
		"relay.leases.acquired": &r.LeasesAcquired, "relay.leases.lost": &r.LeasesLost,
		"relay.table.reads": &r.TableReads, "relay.table.commits": &r.TableCommits,
		"relay.table.unknown": &r.TableUnknown, "relay.store.failures": &r.StoreFailures,
		"relay.slots.awaited": &r.SlotsAwaited, "relay.slots.refused": &r.SlotsRefused, "relay.paces.begun": &r.PacesBegun,
		"relay.usage.begun": &r.UsageBegun, "relay.usage.writes": &r.UsageWrites, "relay.usage.settled": &r.UsageSettled,
		"relay.usage.accepted": &r.UsageAccepted, "relay.usage.late": &r.UsageLate, "relay.usage.late_rows": &r.UsageLateRows,
		"relay.duty.calls": &r.DutyCalls, "relay.duty.failures": &r.DutyFailures,
	} {
		*counter = gometrics.NewRegisteredCounter(name, r.Registry)
	}
	r.Accounts = gometrics.NewRegisteredGauge("relay.accounts", r.Registry)
	r.AccountKeys = gometrics.NewRegisteredGauge("relay.accounts.keys", r.Registry)
	for name, gauge := range map[string]*gometrics.Gauge{
		"relay.usage.lost": &r.UsageLost, "relay.usage.owed": &r.UsageOwed, "relay.duty.held": &r.DutyHeld,
	} {
		*gauge = gometrics.NewRegisteredGauge(name, r.Registry)
	}
	for name, latency := range map[string]**Latency{"relay.request.ms": &r.RequestTime, "relay.run.ms": &r.RunTime, "relay.slot_wait.ms": &r.SlotWait} {
		*latency = NewLatency()
		if err := r.Registry.Register(name, *latency); err != nil {
			panic(err) // two metrics have the same name, which is a bug in this file
		}
	}
	r.ServersRejected = newRejections(r.Registry)
	r.ServersPaced = gometrics.NewRegisteredGauge("relay.servers.paced", r.Registry)
	return r
}
