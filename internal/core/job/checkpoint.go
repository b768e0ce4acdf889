package job

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// maxSavedTexts limits the number of texts saved from ended jobs. It is enough
// for the latest jobs of several trainers.
const maxSavedTexts = 1024

// textKey identifies a saved text. Accounts may use the same ids of items, and none may
// get the text of another one's item.
type textKey struct {
	account core.AccountName
	item    core.ItemID
}

// savedText is the text of an item whose job has ended.
type savedText struct {
	core.CheckpointText
	closedAt uint64 // sequence number of the job's closing; zero if restored from a checkpoint
}

// saveIncompleteTexts saves the texts of incomplete groups, since a later job
// may submit the same items again.
func (s *Scheduler) saveIncompleteTexts(row *openJob) {
	s.closedJobs++
	complete := completeGroups(row)
	for i := range row.items {
		id := row.job.Items[i].ID
		if len(row.items[i].text) > 0 && !complete[row.job.Items[i].Group] {
			s.savedTexts[textKey{row.job.Account, id}] = savedText{row.checkpoint(i), s.closedJobs}
		}
	}
	s.evictSavedTexts()
}

// evictSavedTexts evicts the texts of the jobs that were closed first until the
// limit is met.
func (s *Scheduler) evictSavedTexts() {
	for oldest := uint64(0); len(s.savedTexts) > maxSavedTexts; oldest++ {
		maps.DeleteFunc(s.savedTexts, func(_ textKey, text savedText) bool { return text.closedAt <= oldest })
	}
}

// completeGroups returns the groups of which all results are stored. Items
// without a group do not form one.
func completeGroups(row *openJob) map[string]bool {
	complete := make(map[string]bool)
	for i := range row.items {
		group := row.job.Items[i].Group
		listed := row.items[i].phase == stored
		if current, seen := complete[group]; seen {
			listed = listed && current
		}
		complete[group] = listed && group != ""
	}
	return complete
}

// checkpoint returns the text that an item has generated so far.
func (row *openJob) checkpoint(index int) core.CheckpointText {
	i := &row.items[index]
	return core.CheckpointText{
		Account: row.job.Account, Item: row.job.Items[index].ID, Text: i.text, Versions: i.versions, Newest: i.newest, Software: i.software,
		Whole: i.phase == awaitingScore || i.phase == scoring || i.phase == stored || i.phase == awaitingStore && i.result.State == core.ItemCompleted,
	}
}

// Checkpoint returns the texts of unfinished items that have at least the given
// number of events, in scheduling order, until their total size would exceed
// the given number of bytes.
func (s *Scheduler) Checkpoint(events, bytes int) core.Checkpoint {
	var checkpoint core.Checkpoint
	for _, row := range s.jobsInOrder() {
		for _, i := range row.startOrder {
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
			// Events are only appended, so the copy may share the slice.
			text := row.checkpoint(i)
			text.Versions = slices.Clone(text.Versions)
			checkpoint.Texts = append(checkpoint.Texts, text)
		}
	}
	return checkpoint
}

// Restore adds the texts of a former coordinator's checkpoint. They are used by
// jobs opened afterwards.
func (s *Scheduler) Restore(checkpoint core.Checkpoint) {
	for _, text := range checkpoint.Texts {
		s.savedTexts[textKey{text.Account, text.Item}] = savedText{CheckpointText: text}
	}
}

// restoreSavedText resumes an item from the text that it had in an earlier job,
// unless some of the weights that generated it are older than this job allows, or the
// text has yet to be continued and it is not known what software generated it.
func (s *Scheduler) restoreSavedText(row *openJob, index int) {
	id := row.job.Items[index].ID
	key := textKey{row.job.Account, id}
	saved, found := s.savedTexts[key]
	if !found {
		return
	}
	delete(s.savedTexts, key)
	if slices.ContainsFunc(saved.Versions, func(v core.WeightVersion) bool { return v < row.job.Oldest }) || !saved.Whole && saved.Software == "" {
		return
	}
	state := &row.items[index]
	state.text, state.versions, state.newest, state.software = saved.Text, saved.Versions, saved.Newest, saved.Software
	switch {
	case saved.Whole && row.job.Items[index].Scorer == nil:
		state.finish(id, core.ItemCompleted, "")
	case saved.Whole:
		state.phase = awaitingScore
	}
}
