package job

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// maxKept bounds the texts kept of jobs that have ended.
const maxKept = 512

// keptText is what an item of an ended job had made.
type keptText struct {
	text     []string
	versions []core.WeightVersion
	newest   core.WeightVersion
	whole    bool
}

// keep keeps an item's text, since groups that were not complete come back in
// a later job with the same items.
func (b *Book) keep(row *open, index int) {
	state := &row.items[index]
	if len(state.text) == 0 {
		return
	}
	if len(b.kept) >= maxKept {
		clear(b.kept)
	}
	b.kept[row.job.Items[index].ID] = keptText{
		text: state.text, versions: state.versions, newest: state.newest,
		whole: state.phase == unscored || state.phase == scoring,
	}
}

// takeKept gives an item the text that it had in an earlier job, if all weights
// that made it fit this one.
func (b *Book) takeKept(row *open, index int) {
	id := row.job.Items[index].ID
	kept, found := b.kept[id]
	if !found {
		return
	}
	delete(b.kept, id)
	if slices.ContainsFunc(kept.versions, func(v core.WeightVersion) bool { return v < row.job.Oldest }) {
		return
	}
	state := &row.items[index]
	state.text, state.versions, state.newest = kept.text, kept.versions, kept.newest
	if kept.whole {
		state.phase = unscored
	}
}

// turns returns the order in which a job's items start: the longest first, as
// far as their callers' estimates tell, since a step ends with its longest
// runs. Groups that come back lead the list of items and keep their lead: the
// trainer waits for them whatever else is complete. The load pattern is a step
// with more items than slots, of which a tenth are five times as long.
func turns(row *open) []int {
	order := make([]int, len(row.items))
	for i := range order {
		order[i] = i
	}
	back := func(i int) int {
		if len(row.items[i].text) > 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, c int) int {
		return cmp.Or(cmp.Compare(back(a), back(c)),
			cmp.Compare(row.job.Items[c].Length, row.job.Items[a].Length))
	})
	return order
}
