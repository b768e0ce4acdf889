package job

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// knownJobs is how many jobs' groups are remembered for each model. A group that
// was not complete comes back one or two jobs later.
const knownJobs = 4

// groupNames holds the groups of a model's last jobs, the newest last.
type groupNames struct {
	jobs []map[string]bool
}

func (b *Book) groupsOf(model core.ModelName) *groupNames {
	names := b.groups[model]
	if names == nil {
		names = &groupNames{}
		b.groups[model] = names
	}
	return names
}

// returned says which of a job's groups come back from an earlier one.
type returned struct {
	groups map[string]bool
	sure   bool // enough earlier jobs were opened here to know all of them
}

// add remembers a job's groups and returns those that were there before.
func (n *groupNames) add(items []core.JobItem) returned {
	back := returned{groups: make(map[string]bool), sure: len(n.jobs) >= knownJobs-1}
	own := make(map[string]bool)
	for i := range items {
		group := items[i].Group
		own[group] = true
		for _, earlier := range n.jobs {
			if earlier[group] {
				back.groups[group] = true
			}
		}
	}
	n.jobs = append(n.jobs, own)
	if len(n.jobs) > knownJobs {
		n.jobs = n.jobs[1:]
	}
	return back
}

// crowded reports whether items of earlier jobs have found no slot yet.
func (b *Book) crowded() bool {
	for _, row := range b.jobs {
		for i := range row.items {
			if row.items[i].phase == waiting && row.items[i].run == 0 {
				return true
			}
		}
	}
	return false
}

// startOrder returns the order in which a job's items start. Items that have a
// part of their text go first, and groups that come back, since the trainer
// waits for these whatever else is complete. Then the longest start first, as
// far as their callers' estimates tell: a step ends with its longest runs. The
// load pattern is a step with more items than slots, of which a tenth are five
// times as long.
//
// While earlier jobs still wait for slots, the groups with the longest texts
// that the trainer need not wait for go last. There the pattern is a step that
// comes before the last one has started, as in a sag: it ends sooner without
// its longest groups, but later if slots are free for them.
func startOrder(row *open, back returned, crowded bool) []int {
	spare := map[string]bool{}
	if crowded {
		spare = spareGroups(&row.job, back)
	}
	order := make([]int, len(row.items))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) int {
		group := row.job.Items[i].Group
		switch {
		case len(row.items[i].text) > 0:
			return 0
		case back.groups[group]:
			return 1
		case spare[group]:
			return 3
		default:
			return 2
		}
	}
	slices.SortStableFunc(order, func(a, c int) int {
		return cmp.Or(cmp.Compare(rank(a), rank(c)),
			cmp.Compare(row.job.Items[c].Length, row.job.Items[a].Length))
	})
	return order
}

// spareGroups returns as many groups as the trainer does not wait for: those
// with the longest expected text. Groups that came back are never among them.
// Where these are not surely known it passes over all that may be: they lead
// the list of items and are at most half of the wanted ones.
func spareGroups(job *core.Job, back returned) map[string]bool {
	longest := make(map[string]float64)
	var names []string
	for i := range job.Items {
		group := job.Items[i].Group
		if _, seen := longest[group]; !seen {
			names = append(names, group)
		}
		longest[group] = max(longest[group], work(&job.Items[i]))
	}
	count := len(names) - job.Wanted
	if job.Wanted <= 0 || count <= 0 {
		return nil
	}
	if !back.sure {
		names = names[min(len(names), job.Wanted/2):]
	}
	names = slices.DeleteFunc(names, func(group string) bool { return back.groups[group] })
	slices.SortStableFunc(names, func(a, c string) int { return cmp.Compare(longest[c], longest[a]) })
	spare := make(map[string]bool)
	for _, group := range names[:min(count, len(names))] {
		spare[group] = true
	}
	return spare
}
