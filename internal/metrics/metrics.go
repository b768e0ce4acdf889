// Package metrics holds the service's counters, gauges and histograms. It lists
// every metric once; docs/METRICS.md describes them.
package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Set holds the metrics of one entry process.
type Set struct {
	Registry gometrics.Registry

	RequestsAccepted   gometrics.Counter
	RequestsRefused    gometrics.Counter
	RequestsFailed     gometrics.Counter
	Attempts           gometrics.Counter
	Retries            gometrics.Counter
	TokensDelivered    gometrics.Counter
	AnswersResumed     gometrics.Counter
	ClaimsTaken        gometrics.Counter
	ClaimsReplayed     gometrics.Counter
	ClaimsUnresolved   gometrics.Counter
	TableReads         gometrics.Counter
	TableCommits       gometrics.Counter
	TableUnknown       gometrics.Counter
	ConfigApplied      gometrics.Counter
	ConfigConflicts    gometrics.Counter
	LeasesAcquired     gometrics.Counter
	LeasesLost         gometrics.Counter
	SamplesFinished    gometrics.Counter
	SamplesTooOld      gometrics.Counter
	SamplesMoved       gometrics.Counter
	SamplesGenerated   gometrics.Counter
	SamplesDelivered   gometrics.Counter
	TokensOfGenerated  gometrics.Counter
	TokensOfDelivered  gometrics.Counter
	SamplesCanceled    gometrics.Counter
	StepsCommitted     gometrics.Counter
	BatchesServed      gometrics.Counter
	WeightOrders       gometrics.Counter
	WeightSwapsFailed  gometrics.Counter
	HeartbeatsSent     gometrics.Counter
	HeartbeatsReceived gometrics.Counter
	HeartbeatsMissed   gometrics.Counter
	VMListFailures     gometrics.Counter
	VMListReads        gometrics.Counter
	VMListUpdates      gometrics.Counter
	EnginePolls        gometrics.Counter
	EnginePollFailures gometrics.Counter
}

// New returns a set of zeroed counters with its own registry. RegisterGauges
// adds the gauges.
func New() *Set {
	s := &Set{Registry: gometrics.NewRegistry()}
	for name, counter := range s.counters() {
		*counter = gometrics.NewRegisteredCounter(name, s.Registry)
	}
	return s
}

// counters returns the counters by their metric names.
func (s *Set) counters() map[string]*gometrics.Counter {
	return map[string]*gometrics.Counter{
		"requests.accepted":        &s.RequestsAccepted,
		"requests.refused":         &s.RequestsRefused,
		"requests.failed":          &s.RequestsFailed,
		"attempts":                 &s.Attempts,
		"retries":                  &s.Retries,
		"tokens.delivered":         &s.TokensDelivered,
		"answers.resumed":          &s.AnswersResumed,
		"claims.taken":             &s.ClaimsTaken,
		"claims.replayed":          &s.ClaimsReplayed,
		"claims.unresolved":        &s.ClaimsUnresolved,
		"table.reads":              &s.TableReads,
		"table.commits":            &s.TableCommits,
		"table.unknown":            &s.TableUnknown,
		"configuration.applied":    &s.ConfigApplied,
		"configuration.conflicts":  &s.ConfigConflicts,
		"leases.acquired":          &s.LeasesAcquired,
		"leases.lost":              &s.LeasesLost,
		"samples.finished":         &s.SamplesFinished,
		"samples.too_old":          &s.SamplesTooOld,
		"samples.moved":            &s.SamplesMoved,
		"samples.generated":        &s.SamplesGenerated,
		"samples.delivered":        &s.SamplesDelivered,
		"samples.generated_tokens": &s.TokensOfGenerated,
		"samples.delivered_tokens": &s.TokensOfDelivered,
		"samples.canceled":         &s.SamplesCanceled,
		"steps.committed":          &s.StepsCommitted,
		"batches.served":           &s.BatchesServed,
		"weights.orders":           &s.WeightOrders,
		"weights.failed":           &s.WeightSwapsFailed,
		"heartbeats.sent":          &s.HeartbeatsSent,
		"heartbeats.received":      &s.HeartbeatsReceived,
		"heartbeats.missed":        &s.HeartbeatsMissed,
		"vm_list.failures":         &s.VMListFailures,
		"vm_list.reads":            &s.VMListReads,
		"vm_list.news":             &s.VMListUpdates,
		"engines.polls":            &s.EnginePolls,
		"engines.poll_failures":    &s.EnginePollFailures,
	}
}
