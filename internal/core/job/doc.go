// Package job schedules the items of submitted jobs: which item starts next,
// what follows when a run ends, and at which position each result is stored.
//
// A Book belongs to the one process that coordinates a service's jobs. It is
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
	ItemLife      time.Duration // time after the job was opened at which its items fail; zero for no limit
	SingleVersion bool          // all events of a text must come from one weight version
	Priority      int           // 0 is the most urgent
}

// Work identifies one run of an item. Each new run of an item gets a higher
// number.
type Work struct {
	Job   core.JobID
	Index int // of the item in the job
	Run   uint64
}

// Start is a run to start.
type Start struct {
	Work        Work
	Item        *core.JobItem
	Host        string
	Model       core.ModelName
	Oldest      core.WeightVersion // oldest weights allowed
	Exact       bool               // only the version in Oldest is allowed
	After       int                // number of events already received
	AvoidServer core.ServerID      // backend server that interrupted or refused the last run; empty for none
	Waited      time.Duration      // time since the first attempt to place the item
}

// Ending is the way in which a run ended.
type Ending int

const (
	Whole      Ending = iota // the stream ended after its last event
	Cut                      // the stream was interrupted and can be resumed on another server
	Refused                  // the backend server proved that it did not execute the run
	Failed                   // the backend server answered with an error
	Impossible               // the backend server reported that no server can execute the run
)

// String returns the name used in logs.
func (e Ending) String() string {
	return [...]string{"whole", "cut", "refused", "failed", "impossible"}[e]
}

// Listing is a result to store, with its position.
type Listing struct {
	Job      core.JobID
	Position int
	Index    int // of the item in the job
	Result   core.ItemResult
}
