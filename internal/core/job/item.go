package job

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
)

// phase is the processing state of an item.
type phase int

const (
	waiting phase = iota
	running
	awaitingScore // the text is complete and has to be scored
	scoring
	awaitingStore // the result has to be stored
	stored        // the result is stored
)

// item is the state of one item of an open job.
type item struct {
	phase          phase
	run            uint64
	text           []string
	versions       []core.WeightVersion
	newest         core.WeightVersion   // version of the last event
	software       core.SoftwareVersion // of the backend servers that generated the text
	runSoftware    core.SoftwareVersion // of the backend server of the current run
	serverFailures int
	scorerErrors   int       // error responses of scorers
	notBefore      time.Time // earliest time of the next run or scorer call
	avoidServer    core.ServerID
	server         core.ServerID // on which the current run was placed
	moves          int
	eventsBefore   int       // of the text, when the current run began
	idleRuns       int       // consecutive runs that were interrupted without a new event
	waitingSince   time.Time // time of the first attempt to place it; zero once placed
	result         core.ItemResult
}

// appendEvent appends an event of the current run. It returns false if the event does
// not follow the last one, which is of the same software version.
func (i *item) appendEvent(event core.Event) bool {
	if event.ID != len(i.text)+1 || len(i.text) > 0 && i.software != i.runSoftware {
		return false
	}
	i.software = i.runSoftware
	if event.Version != 0 {
		i.newest = event.Version
	}
	if !slices.Contains(i.versions, i.newest) {
		i.versions = append(i.versions, i.newest)
	}
	i.text = append(i.text, event.Data)
	return true
}

// discardText discards the text.
func (i *item) discardText() {
	i.text, i.versions, i.newest, i.software = nil, nil, 0, ""
}

// finish sets the item's result. The text is joined only when the result is
// stored.
func (i *item) finish(id core.ItemID, state core.ItemState, score string) {
	i.phase = awaitingStore
	i.result = core.ItemResult{Item: id, State: state}
	if state == core.ItemCompleted {
		i.result.Versions, i.result.Score = i.versions, score
	}
}

// resultWithText returns the result including the text.
func (i *item) resultWithText() core.ItemResult {
	result := i.result
	if result.State == core.ItemCompleted {
		result.Text = strings.Join(i.text, "\n")
	}
	return result
}

// retryDelay returns the delay after an interrupted run: none for the first one, as a
// stream may break at any moment, and a doubling one while further runs bring no event.
func (i *item) retryDelay() time.Duration {
	if len(i.text) > i.eventsBefore {
		i.idleRuns = 0
		return 0
	}
	i.idleRuns++
	if i.idleRuns == 1 {
		return 0
	}
	delay := refusedRetryDelay
	for n := 2; n < i.idleRuns && delay < maxIdleRetryDelay; n++ {
		delay *= 2
	}
	return min(delay, maxIdleRetryDelay)
}
