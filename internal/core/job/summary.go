package job

import "fescuespar/internal/core"

// Summary counts a job's items by state, for logs and dumps.
type Summary struct {
	Job      core.JobID       `json:"job"`
	Account  core.AccountName `json:"account,omitempty"` // that submitted it
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
	Unscored int              `json:"unscored"` // includes items being scored
	Unstored int              `json:"unstored"`
	Stored   int              `json:"stored"`
}

// Summaries returns the counts of every open job.
func (s *Scheduler) Summaries() []Summary {
	var all []Summary
	for _, row := range s.jobsInOrder() {
		summary := Summary{Job: row.job.ID, Account: row.job.Account}
		for i := range row.items {
			switch row.items[i].phase {
			case waiting:
				summary.Waiting++
			case running:
				summary.Running++
			case awaitingScore, scoring:
				summary.Unscored++
			case awaitingStore:
				summary.Unstored++
			default:
				summary.Stored++
			}
		}
		all = append(all, summary)
	}
	return all
}
