// Package job schedules the items of submitted jobs: which item starts next,
// what follows when a run ends, and at which position each result is stored.
//
// A Scheduler belongs to the one process that coordinates a service's jobs. It is
// held in memory only: the next coordinator opens the same jobs with the
// results stored so far and runs the remaining items again. Types of this
// package are not safe for concurrent use; callers hold the lock of the table
// that contains them.
package job

import (
	"time"

	"fescuespar/internal/core"
)

// Policy holds a route's settings for the items of its jobs.
type Policy struct {
	Attempts      int           // backend server failures after which an item fails
	ItemLifetime  time.Duration // time after the job was opened at which its items fail; zero for no limit
	SingleVersion bool          // all events of a text must come from one weight version
	Priority      int           // 0 is the most urgent
	Account       core.AccountName
}

// RunID identifies one run of an item. Each new run of an item gets a higher
// number.
type RunID struct {
	Job   core.JobID
	Index int // of the item in the job
	Run   uint64
}

// RunStart is a run to start.
type RunStart struct {
	Work           RunID
	Item           *core.JobItem
	Account        core.AccountName // that submitted the job; empty if there is none
	Host           string
	Model          core.ModelName
	OldestVersion  core.WeightVersion   // oldest weights allowed
	ExactVersion   bool                 // only the version in OldestVersion is allowed
	EventsReceived int                  // number of events already received
	Software       core.SoftwareVersion // of the backend servers that generated them; only these may continue the text
	oldestAnew     core.WeightVersion   // oldest weights allowed for a text that starts anew
	AvoidServer    core.ServerID        // backend server that interrupted or refused the last run; empty for none
	IsLong         bool                 // the text is expected to be long, compared with the job's others
	Waited         time.Duration        // time since the first attempt to place the item
}

// RunOutcome is the way in which a run ended.
type RunOutcome int

const (
	Completed   RunOutcome = iota // the stream ended after its last event
	Interrupted                   // the stream was interrupted and can be resumed on another server
	Refused                       // the backend server proved that it did not execute the run
	Failed                        // the backend server answered with an error
	Impossible                    // the backend server reported that no server can execute the run
)

// String returns the name used in logs.
func (e RunOutcome) String() string {
	return [...]string{"whole", "cut", "refused", "failed", "impossible"}[e]
}

// PositionedResult is a result to store, with its position.
type PositionedResult struct {
	Job      core.JobID
	Position int
	Index    int // of the item in the job
	Result   core.ItemResult
}
