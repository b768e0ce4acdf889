package job

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
)

// phase is what happens to an item.
type phase int

const (
	waiting phase = iota // for a run
	running
	unscored // the text is whole and waits for its score
	scoring
	ended  // the result waits to be stored
	stored // the result is listed
)

// item is one item in progress.
type item struct {
	phase     phase
	run       uint64
	text      []string // data of the events so far
	versions  []core.WeightVersion
	newest    core.WeightVersion // weights of the last event
	failures  int                // failures answered by backend servers
	misses    int                // failures of the scorer
	notBefore time.Time          // of the next run or score
	avoid     core.ServerID
	server    core.ServerID // that runs it
	moves     int
	since     time.Time // when it first could not start, zero once it has
	result    core.ItemResult
}

// add appends an event. It returns false for one that does not follow the last.
func (i *item) add(event core.Event) bool {
	if event.ID != len(i.text)+1 {
		return false
	}
	if event.Version != 0 {
		i.newest = event.Version
	}
	if !slices.Contains(i.versions, i.newest) {
		i.versions = append(i.versions, i.newest)
	}
	i.text = append(i.text, event.Data)
	return true
}

// restart drops the text.
func (i *item) restart() {
	i.text, i.versions, i.newest = nil, nil, 0
}

// end fixes the item's result, whose text stays apart until it is stored.
func (i *item) end(id core.ItemID, state core.ItemState, score string) {
	i.phase = ended
	i.result = core.ItemResult{Item: id, State: state}
	if state == core.ItemCompleted {
		i.result.Versions, i.result.Score = i.versions, score
	}
}

// listed returns the result with its text.
func (i *item) listed() core.ItemResult {
	result := i.result
	if result.State == core.ItemCompleted {
		result.Text = strings.Join(i.text, "\n")
	}
	return result
}
