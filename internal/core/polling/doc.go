// Package polling decides which engines an entry process polls for reports, and
// when. For a service with many engines it polls a bounded sample, chosen by
// rendezvous hashing over the process and the engine, with engines of its own
// region first. For a service with few engines, and for one of which it
// coordinates a deployment, it polls all engines.
//
// The choice of a process does not depend on other processes, so none has to
// take over when another one leaves. The current time is passed as an argument.
// A Plan is not safe for concurrent use; callers hold the lock of the table
// that contains it.
package polling

import "time"

// Policy limits the cost of polling.
type Policy struct {
	CompleteUpTo    int           // largest number of engines of a service of which all are polled
	SampleSize      int           // engines polled of each larger service of which no deployment is coordinated here
	MinOtherRegions int           // minimum number of these in other regions, if there are as many
	MinInterval     time.Duration // shortest interval between two polls of one engine

	// Limits in polls per MinInterval.
	CompletePolls    float64 // of one process to the engines of services that it polls completely
	SampledPolls     float64 // of one process to the engines of services that it samples
	CoordinatedPolls float64 // of one process to the engines of services of which it coordinates a deployment
	EnginePolls      float64 // to one engine from all processes except coordinators of its service
}

// DefaultPolicy returns the policy of the service, with the configured
// interval.
func DefaultPolicy(interval time.Duration) Policy {
	return Policy{
		CompleteUpTo: 32, SampleSize: 16, MinOtherRegions: 2, MinInterval: interval,
		CompletePolls: 32, SampledPolls: 4, CoordinatedPolls: 32, EnginePolls: 16,
	}
}
