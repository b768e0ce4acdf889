package job

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"fescuespar/internal/core"
)

// step returns a job of groups of two items; the first item of each has the
// given length, the second a short one.
func step(id core.JobID, wanted int, groups map[string]int) core.Job {
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

// startsOf opens a job and returns the groups in the order in which their first
// items start.
func startsOf(book *Book, job core.Job) []string {
	book.Open(job, nil, policy, at(0))
	var order []string
	for _, i := range book.jobs[job.ID].turns {
		if group := job.Items[i].Group; !slices.Contains(order, group) {
			order = append(order, group)
		}
	}
	return order
}

// TestACrowdedStepLeavesItsLongestSpareGroupsForLast replays steps that come
// before the last one has found its slots.
func TestACrowdedStepLeavesItsLongestSpareGroupsForLast(t *testing.T) {
	groups := map[string]int{"a": 500, "b": 50, "c": 900, "d": 100, "e": 700}
	byLength := []string{"c", "e", "a", "d", "b"}
	book := NewBook()
	if got := startsOf(book, step("free", 3, groups)); !slices.Equal(got, byLength) {
		t.Errorf("with slots free: %v, want %v", got, byLength)
	}
	book.Clear()
	others := map[string]int{"q": 500, "r": 50, "s": 900, "t": 100, "u": 700}
	for i := range knownJobs {
		startsOf(book, step(core.JobID(fmt.Sprint("earlier-", i)), 3, map[string]int{fmt.Sprint("x", i): 5}))
	}
	if got, want := startsOf(book, step("sure", 3, others)), []string{"q", "t", "r", "s", "u"}; !slices.Equal(got, want) {
		t.Errorf("crowded: %v, want %v", got, want)
	}
}

// TestGroupsThatMayHaveComeBackAreNotLeftForLast has a coordinator that opened
// no earlier job: the leading groups, up to half of the wanted ones, may have
// come back.
func TestGroupsThatMayHaveComeBackAreNotLeftForLast(t *testing.T) {
	book := NewBook()
	startsOf(book, step("first", 4, map[string]int{"x": 5}))
	groups := map[string]int{"a": 900, "b": 800, "c": 700, "d": 100, "e": 600, "f": 50}
	if got, want := startsOf(book, step("crowded", 4, groups)), []string{"a", "b", "d", "f", "c", "e"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestGroupsThatCameBackStartFirst(t *testing.T) {
	book := NewBook()
	startsOf(book, step("one", 1, map[string]int{"a": 20, "b": 900}))
	if got, want := startsOf(book, step("two", 2, map[string]int{"a": 20, "c": 900, "d": 500}))[0], "a"; got != want {
		t.Errorf("%s starts first, want %s", got, want)
	}
	book.Clear()
	if got, want := startsOf(book, step("three", 3, map[string]int{"a": 20, "c": 900, "d": 500}))[0], "c"; got != want {
		t.Errorf("after another coordinator's time %s starts first, want %s", got, want)
	}
}
