// Package job decides how the items of submitted jobs are run: which item
// starts next, what follows when a run ends, and in which order results are
// listed.
//
// A Book belongs to the one process that coordinates a service's jobs. What it
// holds is lost with the process: the next coordinator opens the same jobs
// anew with the results that were listed, and runs the rest again. Nothing
// here is safe for concurrent use; a table guards it.
package job

import (
	"time"

	"fescuespar/internal/core"
)

// Policy is what a route asks of its jobs' items.
type Policy struct {
	Attempts      int           // failures by a backend server after which an item is given up
	ItemLife      time.Duration // since the job was opened, from which on an item is given up; zero for never
	SingleVersion bool          // all events of a text come from one weight version
	Priority      int           // 0 is the most urgent
}

// Work names one run of an item. A run that was replaced has an older number.
type Work struct {
	Job   core.JobID
	Index int // of the item in the job
	Run   uint64
}

// Start is a run that is to begin.
type Start struct {
	Work   Work
	Item   *core.JobItem
	Host   string
	Model  core.ModelName
	Oldest core.WeightVersion // oldest weights that may go on with the text
	Exact  bool               // only the weights of Oldest may
	After  int                // number of the last event that is already there
	Avoid  core.ServerID      // backend server that cut the last run; empty for none
	Waited time.Duration      // since the item first could not start
}

// Ending says how a run of an item ended.
type Ending int

// The endings.
const (
	Whole      Ending = iota // the stream ended after its last event
	Cut                      // the stream broke off; it can go on elsewhere
	Refused                  // the backend server proved that it did not run
	Failed                   // the backend server answered a failure
	Impossible               // the backend server says that no one can run it
)

// String returns the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"whole", "cut", "refused", "failed", "impossible"}[e]
}

// Listing is a result at its position, ready to be stored.
type Listing struct {
	Job      core.JobID
	Position int
	Index    int // of the item in the job
	Result   core.ItemResult
}
