package job

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"fescuespar/internal/core"
)

var policy = Policy{Attempts: 3, ItemLifetime: 40 * time.Second}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// newTestJob returns a job with one item for each length.
func newTestJob(id core.JobID, oldest core.WeightVersion, lengths ...int) core.Job {
	job := core.Job{ID: id, Host: "h", Path: "/p/", Model: "m", Oldest: oldest}
	for i, length := range lengths {
		job.Items = append(job.Items, core.JobItem{
			ID: core.ItemID(fmt.Sprint("item-", i)), Path: "/p/x", Length: length, Scorer: &core.ScorerCall{ID: "s"},
		})
	}
	return job
}

func event(id int, version core.WeightVersion) core.Event {
	return core.Event{ID: id, Data: fmt.Sprint("data-", id), Version: version}
}

// completeRun ends a started run after the given number of events and scores
// its text.
func completeRun(t *testing.T, scheduler *Scheduler, run RunID, events int) {
	t.Helper()
	for i := range events {
		if !scheduler.AddEvent(run, event(i+1, 2)) {
			t.Fatalf("event %d was rejected", i+1)
		}
	}
	scheduler.RunEnded(run, "e", Completed, at(1))
	scores := scheduler.NextScores(10, at(1), anyScorer)
	if len(scores) != 1 {
		t.Fatalf("%d scorer calls, want 1", len(scores))
	}
	scheduler.ScoringEnded(scores[0].Work, "signed", 0, 3, at(1))
}

// TestLongItemsStartFirst starts a job of which a few items are several times
// as long as the others.
func TestLongItemsStartFirst(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 100, 4000, 200, 3000), nil, policy, at(0))
	var order []int
	for _, start := range scheduler.NextRuns(10, at(0)) {
		order = append(order, start.Work.Index)
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("items start in order %v, want %v", order, want)
	}
}

func TestInterruptedRunResumesElsewhere(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
	first := scheduler.NextRuns(1, at(0))[0]
	scheduler.AddEvent(first.Work, event(1, 1))
	scheduler.AddEvent(first.Work, event(2, 1))
	scheduler.RunEnded(first.Work, "engine-1", Interrupted, at(1))
	second := scheduler.NextRuns(1, at(1))[0]
	if second.EventsReceived != 2 || second.AvoidServer != "engine-1" {
		t.Errorf("second run resumes after event %d and avoids %q, want 2 and engine-1", second.EventsReceived, second.AvoidServer)
	}
	if scheduler.AddEvent(first.Work, event(3, 1)) {
		t.Error("an event of the ended run was accepted")
	}
	if scheduler.AddEvent(second.Work, event(4, 2)) {
		t.Error("an event after a gap was accepted")
	}
	if !scheduler.AddEvent(second.Work, event(3, 2)) {
		t.Fatal("the next event was rejected")
	}
	scheduler.RunEnded(second.Work, "engine-2", Completed, at(2))
	scheduler.ScoringEnded(scheduler.NextScores(1, at(2), anyScorer)[0].Work, "signed", 0, 3, at(2))
	result := scheduler.UnstoredResults(10)[0].Result
	if result.Text != "data-1\ndata-2\ndata-3" || !slices.Equal(result.Versions, []core.WeightVersion{1, 2}) || result.Score != "signed" {
		t.Errorf("result %+v, want three events of versions 1 and 2 and the score", result)
	}
}

func TestItemStateAfterFailedRuns(t *testing.T) {
	cases := []struct {
		name    string
		endings []RunOutcome
		want    core.ItemState // empty while the item is retried
	}{
		{"one impossible run", []RunOutcome{Impossible}, core.ItemFailed},
		{"as many failures as allowed", []RunOutcome{Failed, Failed, Failed}, core.ItemFailed},
		{"fewer failures than allowed", []RunOutcome{Failed, Failed}, ""},
		{"refused and interrupted repeatedly", []RunOutcome{Refused, Interrupted, Refused, Interrupted, Refused, Interrupted}, ""},
	}
	for _, c := range cases {
		scheduler := NewScheduler()
		scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
		for i, ending := range c.endings {
			starts := scheduler.NextRuns(1, at(float64(i)))
			if len(starts) != 1 {
				t.Fatalf("%s: the item did not start after %d ended runs", c.name, i)
			}
			scheduler.RunEnded(starts[0].Work, "e", ending, at(float64(i)))
		}
		var got core.ItemState
		if results := scheduler.UnstoredResults(1); len(results) == 1 {
			got = results[0].Result.State
		}
		if got != c.want {
			t.Errorf("%s: state %q, want %q", c.name, got, c.want)
		}
	}
}

func TestItemFailsAfterItsLifetime(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
	if got := len(scheduler.NextRuns(1, at(40))); got != 0 {
		t.Errorf("%d runs started after the item's lifetime", got)
	}
	if results := scheduler.UnstoredResults(1); len(results) != 1 || results[0].Result.State != core.ItemFailed {
		t.Errorf("results %+v, want one failed item", results)
	}
}

// TestPositionsAreStable stores results in two transactions. Repeating
// UnstoredResults before MarkStored must return the same positions.
func TestPositionsAreStable(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 30, 20, 10), []core.ItemID{"item-1"}, policy, at(0))
	starts := scheduler.NextRuns(10, at(0))
	if len(starts) != 2 {
		t.Fatalf("%d items started, want the two without a stored result", len(starts))
	}
	completeRun(t, scheduler, starts[0].Work, 2)
	first := scheduler.UnstoredResults(10)
	if again := scheduler.UnstoredResults(10); len(first) != 1 || first[0].Position != 1 || again[0].Position != 1 {
		t.Fatalf("results %+v, repeated %+v, want position 1 in both", first, again)
	}
	completeRun(t, scheduler, starts[1].Work, 1)
	scheduler.MarkStored(first)
	second := scheduler.UnstoredResults(10)
	if len(second) != 1 || second[0].Position != 2 || second[0].Result.Item == first[0].Result.Item {
		t.Errorf("second results %+v after %+v, want the other item at position 2", second, first)
	}
}

func TestEventsOfTooOldWeightsAreRejected(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 3, 10), nil, policy, at(0))
	start := scheduler.NextRuns(1, at(0))[0]
	if start.OldestVersion != 3 {
		t.Errorf("the oldest version allowed for the run is %d, want 3", start.OldestVersion)
	}
	if scheduler.AddEvent(start.Work, event(1, 2)) {
		t.Error("an event of version 2 was accepted; the oldest allowed is 3")
	}
}

func TestSingleVersionTextsResumeWithSameVersion(t *testing.T) {
	single := policy
	single.SingleVersion = true
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, single, at(0))
	first := scheduler.NextRuns(1, at(0))[0]
	scheduler.AddEvent(first.Work, event(1, 4))
	scheduler.RunEnded(first.Work, "e", Interrupted, at(0))
	second := scheduler.NextRuns(1, at(0))[0]
	if second.OldestVersion != 4 || !second.ExactVersion {
		t.Errorf("second run has version %d, exact %v; want exactly 4", second.OldestVersion, second.ExactVersion)
	}
	scheduler.RunNotPlaced(second.Work, at(0))
	third := scheduler.NextRuns(1, at(1))[0]
	if third.EventsReceived != 0 || third.ExactVersion || third.OldestVersion != 1 {
		t.Errorf("third run %+v after no engine had the version, want one without the earlier text", third)
	}
}

// TestResubmittedItemsResume ends a job before one of its items is complete and
// submits the item again in a second job.
func TestResubmittedItemsResume(t *testing.T) {
	cases := []struct {
		name             string
		oldest           core.WeightVersion
		wantEventsBefore int
	}{
		{"weights allowed", 2, 3},
		{"weights are too old", 3, 0},
	}
	for _, c := range cases {
		scheduler := NewScheduler()
		scheduler.Open(newTestJob("first", 1, 10, 500), nil, policy, at(0))
		work := scheduler.NextRuns(1, at(0))[0].Work
		scheduler.RunPlaced(work, "e", "v1")
		for i := range 3 {
			scheduler.AddEvent(work, event(i+1, 2))
		}
		if canceled := scheduler.Close("first"); len(canceled) != 1 {
			t.Fatalf("%s: %d runs to cancel, want 1", c.name, len(canceled))
		}
		scheduler.Open(newTestJob("second", c.oldest, 1000, 500), nil, policy, at(1))
		found := scheduler.NextRuns(2, at(1))
		index := slices.IndexFunc(found, func(s RunStart) bool { return s.Item.ID == "item-1" })
		if found[index].EventsReceived != c.wantEventsBefore {
			t.Errorf("%s: item-1 resumes after event %d, want %d", c.name, found[index].EventsReceived, c.wantEventsBefore)
		}
		if c.wantEventsBefore > 0 && index != 0 {
			t.Errorf("%s: the resubmitted item starts at place %d, want 0", c.name, index)
		}
	}
}

// TestCheckpointRestoresTexts restores long partial texts and complete texts on
// another coordinator.
func TestCheckpointRestoresTexts(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 30, 20, 10), nil, policy, at(0))
	starts := scheduler.NextRuns(3, at(0))
	for i, events := range []int{20, 16, 3} {
		scheduler.RunPlaced(starts[i].Work, "e", "v1")
		for e := range events {
			scheduler.AddEvent(starts[i].Work, event(e+1, 1))
		}
	}
	scheduler.RunEnded(starts[1].Work, "e", Completed, at(1))
	checkpoint := scheduler.Checkpoint(16, 1<<20)
	next := NewScheduler()
	next.Restore(checkpoint)
	next.Open(newTestJob("j", 1, 30, 20, 10), nil, policy, at(2))
	after := make(map[core.ItemID]int)
	for _, start := range next.NextRuns(3, at(2)) {
		after[start.Item.ID] = start.EventsReceived
	}
	if len(after) != 2 || after["item-0"] != 20 || after["item-2"] != 0 {
		t.Errorf("events before the runs: %v, want 20 for item-0 and none for item-2", after)
	}
	if scores := next.NextScores(3, at(2), anyScorer); len(scores) != 1 || scores[0].Work.Index != 1 {
		t.Errorf("scorer calls %+v, want one for item-1", scores)
	}
	if small := scheduler.Checkpoint(16, 50); len(small.Texts) != 0 {
		t.Errorf("%d texts in a checkpoint limited to 50 bytes, want none", len(small.Texts))
	}
}

// TestUnstoredTextIsNotGeneratedAgain drops a job whose result could not be
// stored. The text must be scored again, but not generated again.
func TestUnstoredTextIsNotGeneratedAgain(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
	completeRun(t, scheduler, scheduler.NextRuns(1, at(0))[0].Work, 3)
	if len(scheduler.UnstoredResults(1)) != 1 {
		t.Fatal("no result to store")
	}
	scheduler.Clear()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(1))
	if starts := scheduler.NextRuns(1, at(1)); len(starts) != 0 {
		t.Errorf("the text is generated again after event %d", starts[0].EventsReceived)
	}
	if scores := scheduler.NextScores(1, at(1), anyScorer); len(scores) != 1 {
		t.Error("the text is not scored again")
	}
}

func TestItemFailsAfterScorerErrors(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
	work := scheduler.NextRuns(1, at(0))[0].Work
	scheduler.AddEvent(work, event(1, 1))
	scheduler.RunEnded(work, "e", Completed, at(0))
	for i := range 20 {
		now := at(float64(i))
		scores := scheduler.NextScores(1, now, anyScorer)
		if len(scores) != 1 {
			t.Fatalf("no scorer call after %d without an answer", i)
		}
		scheduler.ScoringEnded(scores[0].Work, "", 0, 2, now)
	}
	for i := range 2 {
		now := at(float64(20 + i))
		scheduler.ScoringEnded(scheduler.NextScores(1, now, anyScorer)[0].Work, "", 1, 2, now)
	}
	if results := scheduler.UnstoredResults(1); len(results) != 1 || results[0].Result.State != core.ItemFailed {
		t.Errorf("results after as many scorer errors as allowed: %+v, want one failed item", results)
	}
}

// TestScorerErrorsOfOneCallCountEach guards against an item whose scorers always fail and
// that is scored as many times over as its scorer call has attempts.
func TestScorerErrorsOfOneCallCountEach(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 10), nil, policy, at(0))
	work := scheduler.NextRuns(1, at(0))[0].Work
	scheduler.AddEvent(work, event(1, 1))
	scheduler.RunEnded(work, "e", Completed, at(0))
	scheduler.ScoringEnded(scheduler.NextScores(1, at(1), anyScorer)[0].Work, "", 4, 4, at(1))
	if results := scheduler.UnstoredResults(1); len(results) != 1 || results[0].Result.State != core.ItemFailed {
		t.Errorf("results after one call with as many errors as attempts: %+v, want one failed item", results)
	}
}

// completeAndStoreRun ends a started run and stores its result.
func completeAndStoreRun(t *testing.T, scheduler *Scheduler, run RunID, events int) {
	t.Helper()
	completeRun(t, scheduler, run, events)
	scheduler.MarkStored(scheduler.UnstoredResults(10))
}

// TestResubmittedCompleteTextWithoutScorer resubmits an item without a scorer
// whose text is complete but could not be stored. It must complete without a
// run.
func TestResubmittedCompleteTextWithoutScorer(t *testing.T) {
	scheduler := NewScheduler()
	first := newTestJob("one", 1, 2)
	first.Items[0].Scorer = nil
	scheduler.Open(first, nil, policy, at(0))
	work := scheduler.NextRuns(1, at(0))[0].Work
	scheduler.AddEvent(work, event(1, 1))
	scheduler.RunEnded(work, "e", Completed, at(1))
	scheduler.Close("one")
	second := first
	second.ID = "two"
	scheduler.Open(second, nil, policy, at(2))
	if results := scheduler.UnstoredResults(1); len(results) != 1 || results[0].Result.Text != "data-1" {
		t.Errorf("results %+v, want the text of the first job", results)
	}
	if scores := scheduler.NextScores(1, at(2), anyScorer); len(scores) != 0 {
		t.Errorf("%d scorer calls for an item without a scorer", len(scores))
	}
}

// TestIncompleteGroupsKeepStoredTexts ends a job with one complete group and
// one group that has a single stored result, as a trainer does that has enough
// groups.
func TestIncompleteGroupsKeepStoredTexts(t *testing.T) {
	for _, c := range []struct {
		name       string
		oldest     core.WeightVersion
		textEvents int // events of all items of the second job
		needsScore bool
	}{
		{"weights allowed", 2, 3, true},
		{"weights are too old", 3, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := NewScheduler()
			first := newTestJob("one", 1, 4, 3, 2, 1)
			for i := range first.Items {
				first.Items[i].Group = []string{"a", "a", "b", "b"}[i]
			}
			scheduler.Open(first, nil, policy, at(0))
			starts := scheduler.NextRuns(4, at(0))
			completeAndStoreRun(t, scheduler, starts[0].Work, 4) // group a is complete
			completeAndStoreRun(t, scheduler, starts[1].Work, 4)
			completeAndStoreRun(t, scheduler, starts[2].Work, 3) // of group b only b-0 is
			// Guards against a coordinator that holds the texts of all listed results.
			if items := scheduler.jobs["one"].items; items[0].text != nil || items[1].text != nil || items[2].text == nil {
				t.Errorf("texts kept: %v and %v of a complete group, %v of an incomplete one", items[0].text, items[1].text, items[2].text)
			}
			scheduler.Close("one")

			second := first
			second.ID, second.Oldest = "two", c.oldest
			scheduler.Open(second, nil, policy, at(2))
			textEvents := 0
			for i := range scheduler.jobs["two"].items {
				textEvents += len(scheduler.jobs["two"].items[i].text)
			}
			if textEvents != c.textEvents {
				t.Errorf("second job starts with %d events, want %d", textEvents, c.textEvents)
			}
			if scores := scheduler.NextScores(4, at(2), anyScorer); (len(scores) == 1) != c.needsScore {
				t.Errorf("%d scorer calls, want one: %v", len(scores), c.needsScore)
			}
		})
	}
}

func TestTextsOfOldestJobsAreEvicted(t *testing.T) {
	scheduler := NewScheduler()
	for i := range 3 {
		id := core.JobID(fmt.Sprint("j", i))
		job := newTestJob(id, 1, make([]int, maxSavedTexts/2)...)
		for k := range job.Items {
			job.Items[k].ID = core.ItemID(fmt.Sprint(id, "-", k))
		}
		scheduler.Open(job, nil, policy, at(0))
		for _, start := range scheduler.NextRuns(len(job.Items), at(0)) {
			scheduler.AddEvent(start.Work, event(1, 1))
		}
		scheduler.Close(id)
	}
	_, oldest := scheduler.savedTexts[textKey{item: "j0-0"}]
	_, newer := scheduler.savedTexts[textKey{item: "j1-0"}]
	if len(scheduler.savedTexts) != maxSavedTexts || oldest || !newer {
		t.Errorf("%d texts saved; has one of the oldest job: %v, of a newer one: %v", len(scheduler.savedTexts), oldest, newer)
	}
}

// anyScorer starts every scorer call.
func anyScorer(*core.ScorerCall) bool { return true }

// TestScorerCallsWithoutRoomDoNotHoldUpOthers guards against calls to one scorer that wait
// for its slots and take the places of calls to another.
func TestScorerCallsWithoutRoomDoNotHoldUpOthers(t *testing.T) {
	scheduler := NewScheduler()
	items := make([]core.JobItem, 4)
	for i := range items {
		items[i] = core.JobItem{ID: core.ItemID(strconv.Itoa(i)), Scorer: &core.ScorerCall{Path: []string{"/full", "/free"}[i/2]}}
	}
	scheduler.Open(core.Job{ID: "j", Items: items}, nil, Policy{Attempts: 1}, at(0))
	for _, start := range scheduler.NextRuns(4, at(0)) {
		scheduler.RunEnded(start.Work, "e", Completed, at(1))
	}
	starts := scheduler.NextScores(2, at(1), func(call *core.ScorerCall) bool { return call.Path == "/free" })
	if len(starts) != 2 || starts[0].Work.Index != 2 || starts[1].Work.Index != 3 {
		t.Errorf("scorer calls %v started, want those of the items 2 and 3", starts)
	}
}
