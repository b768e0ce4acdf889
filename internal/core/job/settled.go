package job

import "fescuespar/internal/core"

// bitsPerByte is the number of items in one byte of a core.SettledRecord.
const bitsPerByte = 8

// SettledItems returns the items of a job that a record names, in the job's order. Bits
// beyond the job's items are ignored.
func SettledItems(job *core.Job, record core.SettledRecord) []core.ItemID {
	var settled []core.ItemID
	for i := range job.Items {
		if at := i / bitsPerByte; at < len(record.Items) && record.Items[at]&(1<<(i%bitsPerByte)) != 0 {
			settled = append(settled, job.Items[i].ID)
		}
	}
	return settled
}

// MaxCommitResultBytes bounds the results that one transaction stores. The store accepts
// 1 MB, and its encoding of a row adds a third.
const MaxCommitResultBytes = 640 << 10

// maxVersionBytes is the largest size of a weight version in a result's encoding.
const maxVersionBytes = 9

// ResultBytes returns the size of a result's row. The text, the versions and the score are
// what backend servers sent, the id is the caller's.
func ResultBytes(result *core.ItemResult) int {
	return len(result.Item) + len(result.Text) + len(result.Score) + maxVersionBytes*len(result.Versions)
}

// FirstResults returns the first of some results, as many as have at most the given bytes
// in all, but one at least.
func FirstResults(results []PositionedResult, bytes int) []PositionedResult {
	for i := range results {
		if bytes -= ResultBytes(&results[i].Result); bytes < 0 && i > 0 {
			return results[:i]
		}
	}
	return results
}

// SettledJob is the record of a job's settled items.
type SettledJob struct {
	Job    core.JobID
	Record core.SettledRecord
}

// SettledAfter returns the records of the open jobs that some results belong to, as they
// are once these results are stored too.
func (s *Scheduler) SettledAfter(results []PositionedResult) []SettledJob {
	var settled []SettledJob
	for _, result := range results {
		row := s.jobs[result.Job]
		if row == nil {
			continue
		}
		if last := len(settled) - 1; last < 0 || settled[last].Job != result.Job { // results are ordered by job
			settled = append(settled, SettledJob{result.Job, row.settledRecord()})
		}
		settled[len(settled)-1].Record.Items[result.Index/bitsPerByte] |= 1 << (result.Index % bitsPerByte)
	}
	return settled
}

// settledRecord returns the record of the items whose results are stored.
func (row *openJob) settledRecord() core.SettledRecord {
	items := make([]byte, (len(row.items)+bitsPerByte-1)/bitsPerByte)
	for i := range row.items {
		if row.items[i].phase == stored {
			items[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return core.SettledRecord{Items: items}
}
