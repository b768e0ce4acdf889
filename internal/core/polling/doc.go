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
	Whole     int           // a service of up to so many engines is asked whole
	Sample    int           // engines asked of each larger service whose deployment is not coordinated here
	Elsewhere int           // of them, least number in other regions while there are so many
	Every     time.Duration // shortest interval between two polls of one engine

	// Bounds in polls for each Every.
	WholePolls       float64 // of one process at the engines of services asked whole
	SampledPolls     float64 // the same for services of which it asks a sample
	CoordinatedPolls float64 // the same for the services that it coordinates
	EnginePolls      float64 // that one engine gets from all processes, their coordinator left out
}

// DefaultPolicy returns the constants that the service uses, with the interval
// of its settings.
func DefaultPolicy(every time.Duration) Policy {
	return Policy{
		Whole: 32, Sample: 16, Elsewhere: 2, Every: every,
		WholePolls: 32, SampledPolls: 4, CoordinatedPolls: 32, EnginePolls: 16,
	}
}
