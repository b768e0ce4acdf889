package job

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// maxKept bounds the texts kept of jobs that have ended: those of the last jobs
// of several trainers.
const maxKept = 1024

// keptText is a text of a job that has ended.
type keptText struct {
	core.CheckpointText
	closed uint64 // number of the job's end
}

// keep keeps the texts of groups that are not complete, since these may come
// back in a later job with the same items.
func (b *Book) keep(row *open) {
	b.closed++
	whole := wholeGroups(row)
	for i := range row.items {
		id := row.job.Items[i].ID
		if len(row.items[i].text) > 0 && !whole[row.job.Items[i].Group] {
			b.kept[id] = keptText{row.items[i].checkpoint(id), b.closed}
		}
	}
	b.forget()
}

// forget drops the texts of the oldest jobs beyond the bound.
func (b *Book) forget() {
	for oldest := uint64(0); len(b.kept) > maxKept; oldest++ {
		maps.DeleteFunc(b.kept, func(_ core.ItemID, text keptText) bool { return text.closed <= oldest })
	}
}

// wholeGroups returns the groups all of whose results are listed. Items without
// a group are none.
func wholeGroups(row *open) map[string]bool {
	whole := make(map[string]bool)
	for i := range row.items {
		group := row.job.Items[i].Group
		listed := row.items[i].phase == stored
		if known, seen := whole[group]; seen {
			listed = listed && known
		}
		whole[group] = listed && group != ""
	}
	return whole
}

// checkpoint returns what an item has made so far.
func (i *item) checkpoint(id core.ItemID) core.CheckpointText {
	return core.CheckpointText{
		Item: id, Text: i.text, Versions: i.versions, Newest: i.newest,
		Whole: i.phase == unscored || i.phase == scoring || i.phase == stored || i.phase == ended && i.result.State == core.ItemCompleted,
	}
}

// Checkpoint returns the texts of open jobs that have at least so many events,
// up to a sum of their bytes, the longest running jobs first.
func (b *Book) Checkpoint(events, bytes int) core.Checkpoint {
	var checkpoint core.Checkpoint
	for _, row := range b.inOrder() {
		for _, i := range row.turns {
			state := &row.items[i]
			if len(state.text) < events || state.phase == stored {
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
		b.kept[text.Item] = keptText{CheckpointText: text}
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
	switch {
	case kept.Whole && row.job.Items[index].Scorer == nil:
		state.end(id, core.ItemCompleted, "")
	case kept.Whole:
		state.phase = unscored
	}
}
