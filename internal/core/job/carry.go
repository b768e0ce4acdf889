package job

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// maxKept bounds the texts kept of jobs that have ended.
const maxKept = 512

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
	id := row.job.Items[index].ID
	b.kept[id] = state.checkpoint(id)
}

// checkpoint returns what an item has made so far.
func (i *item) checkpoint(id core.ItemID) core.CheckpointText {
	return core.CheckpointText{
		Item: id, Text: i.text, Versions: i.versions, Newest: i.newest,
		Whole: i.phase == unscored || i.phase == scoring || i.phase == ended && i.result.State == core.ItemCompleted,
	}
}

// Checkpoint returns the texts of open jobs that have at least so many events,
// up to a sum of their bytes, the longest running jobs first.
func (b *Book) Checkpoint(events, bytes int) core.Checkpoint {
	var checkpoint core.Checkpoint
	for _, row := range b.inOrder() {
		for _, i := range row.turns {
			state := &row.items[i]
			if len(state.text) < events {
				continue
			}
			for _, data := range state.text {
				bytes -= len(data)
			}
			if bytes < 0 {
				return checkpoint
			}
			// The events are only ever added to, so that the copy may share them.
			text := state.checkpoint(row.job.Items[i].ID)
			text.Versions = slices.Clone(text.Versions)
			checkpoint.Texts = append(checkpoint.Texts, text)
		}
	}
	return checkpoint
}

// Restore takes the texts of a former coordinator, for jobs that are opened
// after it.
func (b *Book) Restore(checkpoint core.Checkpoint) {
	for _, text := range checkpoint.Texts {
		b.kept[text.Item] = text
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
	if slices.ContainsFunc(kept.Versions, func(v core.WeightVersion) bool { return v < row.job.Oldest }) {
		return
	}
	state := &row.items[index]
	state.text, state.versions, state.newest = kept.Text, kept.Versions, kept.Newest
	if kept.Whole {
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
