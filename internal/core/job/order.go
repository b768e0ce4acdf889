package job

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// rememberedJobs is how many jobs' groups are remembered for each model. An
// incomplete group is usually submitted again one or two jobs later.
const rememberedJobs = 4

// recentGroups holds the groups of a model's most recent jobs, in order of
// opening.
type recentGroups struct {
	jobs []map[string]bool
}

// resubmittedGroups holds the groups of a job that were also in an earlier one.
type resubmittedGroups struct {
	groups   map[string]bool
	complete bool // enough earlier jobs were opened here for the groups to be complete
}

// recordJob records a job's groups and returns those that earlier jobs had too.
func (n *recentGroups) recordJob(items []core.JobItem) resubmittedGroups {
	resubmitted := resubmittedGroups{groups: make(map[string]bool), complete: len(n.jobs) >= rememberedJobs-1}
	jobGroups := make(map[string]bool)
	for i := range items {
		group := items[i].Group
		jobGroups[group] = true
		for _, earlier := range n.jobs {
			if earlier[group] {
				resubmitted.groups[group] = true
			}
		}
	}
	n.jobs = append(n.jobs, jobGroups)
	if len(n.jobs) > rememberedJobs {
		n.jobs = n.jobs[1:]
	}
	return resubmitted
}

// hasUnstartedItems reports whether items of open jobs have never been started.
func (s *Scheduler) hasUnstartedItems() bool {
	for _, row := range s.jobs {
		for i := range row.items {
			if row.items[i].phase == waiting && row.items[i].run == 0 {
				return true
			}
		}
	}
	return false
}

// itemStartOrder returns the order in which a job's items start. Items with a
// partial text and groups resubmitted from an earlier job go first, since the
// trainer waits for them regardless of which other groups are complete. The
// remaining items start longest first, by their callers' estimates, because a
// step ends with its longest runs. The load is a step with more items than
// slots, a tenth of which are five times as long.
//
// While earlier jobs wait for slots, the longest groups that the trainer does
// not need go last. This is for a step that arrives before the previous one has
// started, as when all engines slow down: it ends sooner without its longest
// groups, but would end later if slots were free for them.
func itemStartOrder(row *openJob, resubmitted resubmittedGroups, slotsTaken bool) []int {
	surplus := map[string]bool{}
	if slotsTaken {
		surplus = surplusGroups(&row.job, resubmitted)
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
		case resubmitted.groups[group]:
			return 1
		case surplus[group]:
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

// surplusGroups returns the groups with the longest expected text, as many as
// the job has beyond those the trainer waits for. Resubmitted groups are never
// included. If they are not all known, the groups that could be resubmitted are
// left out: they are at the start of the list of items and at most half of the
// wanted number.
func surplusGroups(job *core.Job, resubmitted resubmittedGroups) map[string]bool {
	longest := make(map[string]float64)
	var names []string
	for i := range job.Items {
		group := job.Items[i].Group
		if _, seen := longest[group]; !seen {
			names = append(names, group)
		}
		longest[group] = max(longest[group], expectedTokens(&job.Items[i]))
	}
	count := len(names) - job.Wanted
	if job.Wanted <= 0 || count <= 0 {
		return nil
	}
	if !resubmitted.complete {
		names = names[min(len(names), job.Wanted/2):]
	}
	names = slices.DeleteFunc(names, func(group string) bool { return resubmitted.groups[group] })
	slices.SortStableFunc(names, func(a, c string) int { return cmp.Compare(longest[c], longest[a]) })
	surplus := make(map[string]bool)
	for _, group := range names[:min(count, len(names))] {
		surplus[group] = true
	}
	return surplus
}
