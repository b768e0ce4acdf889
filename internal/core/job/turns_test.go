package job

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// TestAccountsTakeTurns guards against an account with a large job that holds up the items
// of another one, while slots become free one at a time.
func TestAccountsTakeTurns(t *testing.T) {
	for _, c := range []struct {
		name                string
		priorities          [2]int
		leastSmall, mostBig int // items started of the small account, and of the large one when these have
	}{
		{"equal priority", [2]int{0, 0}, 20, 22},
		{"the small account is less urgent", [2]int{0, 2}, 20, 84},
	} {
		s := NewScheduler()
		for account, items := range []int{400, 20} {
			job := core.Job{ID: core.JobID(fmt.Sprint(account)), Model: "m"}
			for i := range items {
				job.Items = append(job.Items, core.JobItem{ID: core.ItemID(fmt.Sprint(account, "-", i)), Length: 50})
			}
			s.Open(job, nil, Policy{Attempts: 1, Priority: c.priorities[account], Account: core.AccountName(job.ID)}, at(float64(account)))
		}
		started := map[core.JobID]int{}
		for second := 2.0; started["1"] < c.leastSmall && second < 500; second++ {
			for i, start := range s.NextRuns(8, at(second)) {
				if i > 0 {
					s.RunNotPlaced(start.Work, at(second)) // one slot is free
					continue
				}
				s.RunPlaced(start.Work, "e", "v1")
				started[start.Work.Job]++
			}
		}
		if started["1"] < c.leastSmall || started["0"] > c.mostBig {
			t.Errorf("%s: %v started, want all %d of the small account beside at most %d", c.name, started, c.leastSmall, c.mostBig)
		}
	}
}
