package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

var policy = Policy{Attempts: 3, ItemLife: 40 * time.Second}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// jobOf returns a job with an item for each length.
func jobOf(id core.JobID, oldest core.WeightVersion, lengths ...int) core.Job {
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

// finish runs an item that has started to its listed end.
func finish(t *testing.T, book *Book, work Work, events int) {
	t.Helper()
	for i := range events {
		if !book.Add(work, event(i+1, 2)) {
			t.Fatalf("event %d is not wanted", i+1)
		}
	}
	book.Ended(work, "e", Whole, at(1))
	scores := book.NextScores(10, at(1))
	if len(scores) != 1 {
		t.Fatalf("%d texts to score, want 1", len(scores))
	}
	book.Scored(scores[0].Work, "signed", false, 3, at(1))
}

// TestLongItemsStartFirst replays a step with more items than slots, a few of
// them several times as long.
func TestLongItemsStartFirst(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 100, 4000, 200, 3000), nil, policy, at(0))
	var order []int
	for _, start := range book.Next(10, at(0)) {
		order = append(order, start.Work.Index)
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

func TestACutRunGoesOnElsewhere(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 10), nil, policy, at(0))
	first := book.Next(1, at(0))[0]
	book.Add(first.Work, event(1, 1))
	book.Add(first.Work, event(2, 1))
	book.Ended(first.Work, "engine-1", Cut, at(1))
	second := book.Next(1, at(1))[0]
	if second.After != 2 || second.Avoid != "engine-1" {
		t.Errorf("goes on after %d avoiding %q, want 2 and engine-1", second.After, second.Avoid)
	}
	if book.Add(first.Work, event(3, 1)) {
		t.Error("an event of the ended run is taken")
	}
	if book.Add(second.Work, event(4, 2)) {
		t.Error("an event with a gap before it is taken")
	}
	if !book.Add(second.Work, event(3, 2)) {
		t.Fatal("the next event is not taken")
	}
	book.Ended(second.Work, "engine-2", Whole, at(2))
	book.Scored(book.NextScores(1, at(2))[0].Work, "signed", false, 3, at(2))
	result := book.Results(10)[0].Result
	if result.Text != "data-1\ndata-2\ndata-3" || !slices.Equal(result.Versions, []core.WeightVersion{1, 2}) || result.Score != "signed" {
		t.Errorf("result %+v", result)
	}
}

func TestEndsOfItems(t *testing.T) {
	cases := []struct {
		name    string
		endings []Ending
		want    core.ItemState // empty while the item goes on
	}{
		{"impossible once", []Ending{Impossible}, core.ItemFailed},
		{"failed as often as allowed", []Ending{Failed, Failed, Failed}, core.ItemFailed},
		{"failed less often", []Ending{Failed, Failed}, ""},
		{"refused and cut for ever", []Ending{Refused, Cut, Refused, Cut, Refused, Cut}, ""},
	}
	for _, c := range cases {
		book := NewBook()
		book.Open(jobOf("j", 1, 10), nil, policy, at(0))
		for i, ending := range c.endings {
			starts := book.Next(1, at(float64(i)))
			if len(starts) != 1 {
				t.Fatalf("%s: the item does not start after %d endings", c.name, i)
			}
			book.Ended(starts[0].Work, "e", ending, at(float64(i)))
		}
		var got core.ItemState
		if results := book.Results(1); len(results) == 1 {
			got = results[0].Result.State
		}
		if got != c.want {
			t.Errorf("%s: state %q, want %q", c.name, got, c.want)
		}
	}
}

func TestAnItemIsGivenUpAfterItsLife(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 10), nil, policy, at(0))
	if got := len(book.Next(1, at(40))); got != 0 {
		t.Errorf("%d runs start after the item's life", got)
	}
	if results := book.Results(1); len(results) != 1 || results[0].Result.State != core.ItemFailed {
		t.Errorf("results %+v", results)
	}
}

// TestPositionsStay lists results in two transactions, one of which is repeated.
func TestPositionsStay(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 30, 20, 10), []core.ItemID{"item-1"}, policy, at(0))
	starts := book.Next(10, at(0))
	if len(starts) != 2 {
		t.Fatalf("%d items start, want the two that are not listed", len(starts))
	}
	finish(t, book, starts[0].Work, 2)
	first := book.Results(10)
	if again := book.Results(10); len(first) != 1 || first[0].Position != 1 || again[0].Position != 1 {
		t.Fatalf("first %+v, again %+v, want position 1", first, again)
	}
	finish(t, book, starts[1].Work, 1)
	book.Stored(first)
	second := book.Results(10)
	if len(second) != 1 || second[0].Position != 2 || second[0].Result.Item == first[0].Result.Item {
		t.Errorf("second listing %+v after %+v", second, first)
	}
}

func TestEventsOfTooOldWeightsAreRefused(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 3, 10), nil, policy, at(0))
	start := book.Next(1, at(0))[0]
	if start.Oldest != 3 {
		t.Errorf("the run allows version %d, want 3", start.Oldest)
	}
	if book.Add(start.Work, event(1, 2)) {
		t.Error("an event of version 2 is taken, 3 is the oldest allowed")
	}
}

func TestSingleVersionTextsGoOnWithTheirVersionOnly(t *testing.T) {
	single := policy
	single.SingleVersion = true
	book := NewBook()
	book.Open(jobOf("j", 1, 10), nil, single, at(0))
	first := book.Next(1, at(0))[0]
	book.Add(first.Work, event(1, 4))
	book.Ended(first.Work, "e", Cut, at(0))
	second := book.Next(1, at(0))[0]
	if second.Oldest != 4 || !second.Exact {
		t.Errorf("goes on with version %d, exact %v; want exactly 4", second.Oldest, second.Exact)
	}
	book.Unplaced(second.Work, at(0))
	third := book.Next(1, at(1))[0]
	if third.After != 0 || third.Exact || third.Oldest != 1 {
		t.Errorf("after no engine had the version: %+v, want a new start", third)
	}
}

// TestGroupsThatComeBackKeepTheirTexts ends a job before one of its items is
// whole and submits the item again.
func TestGroupsThatComeBackKeepTheirTexts(t *testing.T) {
	cases := []struct {
		name      string
		oldest    core.WeightVersion // of the second job
		wantAfter int
	}{
		{"weights still fit", 2, 3},
		{"weights are too old", 3, 0},
	}
	for _, c := range cases {
		book := NewBook()
		book.Open(jobOf("first", 1, 10, 500), nil, policy, at(0))
		work := book.Next(1, at(0))[0].Work
		for i := range 3 {
			book.Add(work, event(i+1, 2))
		}
		if canceled := book.Close("first"); len(canceled) != 1 {
			t.Fatalf("%s: %d runs canceled", c.name, len(canceled))
		}
		book.Open(jobOf("second", c.oldest, 1000, 500), nil, policy, at(1))
		found := book.Next(2, at(1))
		index := slices.IndexFunc(found, func(s Start) bool { return s.Item.ID == "item-1" })
		if found[index].After != c.wantAfter {
			t.Errorf("%s: goes on after event %d, want %d", c.name, found[index].After, c.wantAfter)
		}
		if c.wantAfter > 0 && index != 0 {
			t.Errorf("%s: the item that came back starts at place %d", c.name, index)
		}
	}
}

// TestACheckpointCarriesTextsToAnotherCoordinator restores long and whole texts.
func TestACheckpointCarriesTextsToAnotherCoordinator(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 30, 20, 10), nil, policy, at(0))
	starts := book.Next(3, at(0))
	for i, events := range []int{20, 16, 3} {
		for e := range events {
			book.Add(starts[i].Work, event(e+1, 1))
		}
	}
	book.Ended(starts[1].Work, "e", Whole, at(1))
	checkpoint := book.Checkpoint(16, 1<<20)
	next := NewBook()
	next.Restore(checkpoint)
	next.Open(jobOf("j", 1, 30, 20, 10), nil, policy, at(2))
	after := make(map[core.ItemID]int)
	for _, start := range next.Next(3, at(2)) {
		after[start.Item.ID] = start.After
	}
	if len(after) != 2 || after["item-0"] != 20 || after["item-2"] != 0 {
		t.Errorf("runs go on after %v, want item-0 after 20 and item-2 from the start", after)
	}
	if scores := next.NextScores(3, at(2)); len(scores) != 1 || scores[0].Work.Index != 1 {
		t.Errorf("texts to score %+v, want item-1's", scores)
	}
	if small := book.Checkpoint(16, 50); len(small.Texts) != 0 {
		t.Errorf("%d texts in a checkpoint of 50 bytes", len(small.Texts))
	}
}

// TestATextThatIsNotListedYetIsKept drops a job whose result could not be
// stored: the text is scored again and not made again.
func TestATextThatIsNotListedYetIsKept(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 10), nil, policy, at(0))
	finish(t, book, book.Next(1, at(0))[0].Work, 3)
	if len(book.Results(1)) != 1 {
		t.Fatal("no result")
	}
	book.Clear()
	book.Open(jobOf("j", 1, 10), nil, policy, at(1))
	if starts := book.Next(1, at(1)); len(starts) != 0 {
		t.Errorf("the text is made again after event %d", starts[0].After)
	}
	if scores := book.NextScores(1, at(1)); len(scores) != 1 {
		t.Error("the text is not scored")
	}
}

func TestScorersThatFail(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 10), nil, policy, at(0))
	work := book.Next(1, at(0))[0].Work
	book.Add(work, event(1, 1))
	book.Ended(work, "e", Whole, at(0))
	for i := range 20 {
		now := at(float64(i))
		scores := book.NextScores(1, now)
		if len(scores) != 1 {
			t.Fatalf("no score is asked for after %d that were lost", i)
		}
		book.Scored(scores[0].Work, "", false, 2, now)
	}
	for i := range 2 {
		now := at(float64(20 + i))
		book.Scored(book.NextScores(1, now)[0].Work, "", true, 2, now)
	}
	if results := book.Results(1); len(results) != 1 || results[0].Result.State != core.ItemFailed {
		t.Errorf("after as many failures as allowed: %+v", results)
	}
}

// store runs an item that has started to its stored result.
func store(t *testing.T, book *Book, work Work, events int) {
	t.Helper()
	finish(t, book, work, events)
	book.Stored(book.Results(10))
}

// TestAWholeTextWithoutAScorerIsDoneAtOnce takes up a whole text of an earlier
// job whose result could not be stored.
func TestAWholeTextWithoutAScorerIsDoneAtOnce(t *testing.T) {
	book := NewBook()
	first := jobOf("one", 1, 2)
	first.Items[0].Scorer = nil
	book.Open(first, nil, policy, at(0))
	work := book.Next(1, at(0))[0].Work
	book.Add(work, event(1, 1))
	book.Ended(work, "e", Whole, at(1))
	book.Close("one")
	second := first
	second.ID = "two"
	book.Open(second, nil, policy, at(2))
	if results := book.Results(1); len(results) != 1 || results[0].Result.Text != "data-1" {
		t.Errorf("results %+v, want the kept text", results)
	}
	if scores := book.NextScores(1, at(2)); len(scores) != 0 {
		t.Errorf("%d texts without a scorer are to be scored", len(scores))
	}
}

// TestTextsOfIncompleteGroupsAreTakenUpWhole ends a job with one whole group
// and one of which an item is done, as a trainer does that has enough groups.
func TestTextsOfIncompleteGroupsAreTakenUpWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		oldest core.WeightVersion
		kept   int // events of the items a-0, a-1, b-0 and b-1 together
		whole  bool
	}{
		{"weights fit", 2, 3, true},
		{"weights are too old", 3, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			book := NewBook()
			first := jobOf("one", 1, 4, 3, 2, 1)
			for i := range first.Items {
				first.Items[i].Group = []string{"a", "a", "b", "b"}[i]
			}
			book.Open(first, nil, policy, at(0))
			starts := book.Next(4, at(0))
			store(t, book, starts[0].Work, 4) // a is whole
			store(t, book, starts[1].Work, 4)
			store(t, book, starts[2].Work, 3) // b-0 is
			book.Close("one")

			second := first
			second.ID, second.Oldest = "two", c.oldest
			book.Open(second, nil, policy, at(2))
			kept := 0
			for i := range book.jobs["two"].items {
				kept += len(book.jobs["two"].items[i].text)
			}
			if kept != c.kept {
				t.Errorf("%d events are kept, want %d", kept, c.kept)
			}
			if scores := book.NextScores(4, at(2)); (len(scores) == 1) != c.whole {
				t.Errorf("%d texts to score, want one: %v", len(scores), c.whole)
			}
		})
	}
}

func TestTextsOfTheOldestJobsAreForgotten(t *testing.T) {
	book := NewBook()
	for i := range 3 {
		id := core.JobID(fmt.Sprint("j", i))
		job := jobOf(id, 1, make([]int, maxKept/2)...)
		for k := range job.Items {
			job.Items[k].ID = core.ItemID(fmt.Sprint(id, "-", k))
		}
		book.Open(job, nil, policy, at(0))
		for _, start := range book.Next(len(job.Items), at(0)) {
			book.Add(start.Work, event(1, 1))
		}
		book.Close(id)
	}
	_, oldest := book.kept["j0-0"]
	_, newer := book.kept["j1-0"]
	if len(book.kept) != maxKept || oldest || !newer {
		t.Errorf("%d texts kept, of the oldest job %v, of a newer one %v", len(book.kept), oldest, newer)
	}
}
