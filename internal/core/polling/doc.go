// Package polling decides which engines one entry process asks for reports, and
// when. Of a service with many engines it asks a bounded sample, chosen by
// rendezvous hashing over the process and the engine, its own region first; of
// a service with few engines, and of one whose deployment it coordinates, it
// asks all.
//
// The choice of one process depends on no other process: none has to take over
// from one that is gone. Times are arguments. A Plan is not safe for concurrent
// use; a table guards it.
package polling

import "time"

// Policy bounds what polling costs.
type Policy struct {
	Sample    int           // engines asked of each service whose deployment is not coordinated here
	Elsewhere int           // of them, least number in other regions while there are so many
	Every     time.Duration // shortest interval between two polls of one engine

	SampledRate     float64 // polls a second of one process, engines of coordinated services left out
	CoordinatedRate float64 // polls a second of one process at the engines of the services that it coordinates
	EngineRate      float64 // polls a second that one engine gets from all processes, their coordinator left out
}

// DefaultPolicy returns the constants that the service uses, with the interval
// of its settings.
func DefaultPolicy(every time.Duration) Policy {
	return Policy{
		Sample: 32, Elsewhere: 4, Every: every,
		SampledRate: 64, CoordinatedRate: 256, EngineRate: 32,
	}
}
