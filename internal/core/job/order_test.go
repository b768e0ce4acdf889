package job

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"fescuespar/internal/core"
)

// newTestStep returns a job with two items for each group: the first has the
// given length, the second a short one.
func newTestStep(id core.JobID, wanted int, groups map[string]int) core.Job {
	job := core.Job{ID: id, Host: "h", Path: "/p/", Model: "m", Wanted: wanted}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		for i, length := range []int{groups[group], 10} {
			job.Items = append(job.Items, core.JobItem{
				ID: core.ItemID(fmt.Sprint(group, "-", i)), Path: "/p/x", Length: length, Group: group,
			})
		}
	}
	return job
}

// openAndListGroups opens a job and returns its groups in the order in which
// their first items start.
func openAndListGroups(scheduler *Scheduler, job core.Job) []string {
	scheduler.Open(job, nil, policy, at(0))
	var order []string
	for _, i := range scheduler.jobs[job.ID].startOrder {
		if group := job.Items[i].Group; !slices.Contains(order, group) {
			order = append(order, group)
		}
	}
	return order
}

// TestLongestSurplusGroupsStartLastWhenSlotsAreTaken opens steps before the
// previous one has got its slots.
func TestLongestSurplusGroupsStartLastWhenSlotsAreTaken(t *testing.T) {
	groups := map[string]int{"a": 500, "b": 50, "c": 900, "d": 100, "e": 700}
	byLength := []string{"c", "e", "a", "d", "b"}
	scheduler := NewScheduler()
	if got := openAndListGroups(scheduler, newTestStep("free", 3, groups)); !slices.Equal(got, byLength) {
		t.Errorf("start order with free slots: %v, want %v", got, byLength)
	}
	scheduler.Clear()
	others := map[string]int{"q": 500, "r": 50, "s": 900, "t": 100, "u": 700}
	for i := range rememberedJobs {
		openAndListGroups(scheduler, newTestStep(core.JobID(fmt.Sprint("earlier-", i)), 3, map[string]int{fmt.Sprint("x", i): 5}))
	}
	if got, want := openAndListGroups(scheduler, newTestStep("sure", 3, others)), []string{"q", "t", "r", "s", "u"}; !slices.Equal(got, want) {
		t.Errorf("start order without free slots: %v, want %v", got, want)
	}
}

// TestPossiblyResubmittedGroupsAreNotDeferred has a coordinator that opened too
// few earlier jobs to know which groups are resubmitted. The first groups, up
// to half of the wanted number, must not start last.
func TestPossiblyResubmittedGroupsAreNotDeferred(t *testing.T) {
	scheduler := NewScheduler()
	openAndListGroups(scheduler, newTestStep("first", 4, map[string]int{"x": 5}))
	groups := map[string]int{"a": 900, "b": 800, "c": 700, "d": 100, "e": 600, "f": 50}
	if got, want := openAndListGroups(scheduler, newTestStep("crowded", 4, groups)), []string{"a", "b", "d", "f", "c", "e"}; !slices.Equal(got, want) {
		t.Errorf("start order %v, want %v", got, want)
	}
}

func TestResubmittedGroupsStartFirst(t *testing.T) {
	scheduler := NewScheduler()
	openAndListGroups(scheduler, newTestStep("one", 1, map[string]int{"a": 20, "b": 900}))
	if got, want := openAndListGroups(scheduler, newTestStep("two", 2, map[string]int{"a": 20, "c": 900, "d": 500}))[0], "a"; got != want {
		t.Errorf("group %s starts first, want %s", got, want)
	}
	scheduler.Clear()
	if got, want := openAndListGroups(scheduler, newTestStep("three", 3, map[string]int{"a": 20, "c": 900, "d": 500}))[0], "c"; got != want {
		t.Errorf("after Clear: group %s starts first, want %s", got, want)
	}
}
