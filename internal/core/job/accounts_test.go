package job

import (
	"testing"

	"fescuespar/internal/core"
)

// TestTextsStayWithTheirAccount guards against an item that goes on with the text of
// another account's item of the same id, from an ended job or from a checkpoint.
func TestTextsStayWithTheirAccount(t *testing.T) {
	first := newTestJob("one", 1, 100)
	first.Account = "a"
	scheduler := NewScheduler()
	scheduler.Open(first, nil, policy, at(0))
	run := scheduler.NextRuns(1, at(0))[0]
	if run.Account != "a" {
		t.Errorf("run of account %q, want a", run.Account)
	}
	scheduler.RunPlaced(run.Work, "e", "v1")
	for i := range 20 {
		scheduler.AddEvent(run.Work, event(i+1, 1))
	}
	next := NewScheduler()
	next.Restore(scheduler.Checkpoint(16, 1<<20))
	scheduler.Close("one")
	for _, c := range []struct {
		account core.AccountName
		events  int
	}{{"b", 0}, {"", 0}, {"a", 20}} {
		job := first
		job.ID, job.Account = core.JobID("of "+c.account), c.account
		for name, s := range map[string]*Scheduler{"ended job": scheduler, "checkpoint": next} {
			s.Open(job, nil, policy, at(1))
			start := s.NextRuns(1, at(1))[0]
			if start.EventsReceived != c.events || start.Account != c.account {
				t.Errorf("%s: item of account %q starts after event %d for account %q, want %d", name, c.account, start.EventsReceived, start.Account, c.events)
			}
		}
	}
}
