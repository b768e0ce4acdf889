package relay

import (
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// jobRecord returns the row of a job.
func (s *environment) jobRecord(id core.JobID) core.JobRecord {
	s.t.Helper()
	rows, err := s.tables.Read(s.t.Context(), []core.RowKey{jobKey(id)})
	if err != nil {
		s.t.Fatal(err)
	}
	record, _ := rows[0].Record.(core.JobRecord)
	return record
}

// setLosses sets the losses in the row of a job.
func (s *environment) setLosses(id core.JobID, losses int) {
	s.t.Helper()
	record := s.jobRecord(id)
	record.Losses = losses
	if _, err := s.tables.Commit(s.t.Context(), core.Commit{Attempt: "test", Writes: []core.Write{{Key: jobKey(id), Record: record}}}); err != nil {
		s.t.Fatal(err)
	}
}

// TestJobThatEndsCoordinatorsIsSetAside guards against a job that ends each process which
// opens it: it is handed from one to the next without end.
func TestJobThatEndsCoordinatorsIsSetAside(t *testing.T) {
	s := newEnvironment(t)
	s.refusesRuns = func(core.VM) bool { return true } // so that the jobs stay open
	first := s.waitReady(s.start("vm-1"))
	for _, id := range []core.JobID{"before", "usual", "suspect"} { // the first one may be found by the first search
		if err := first.Submit(t.Context(), newJob(id, 2)); err != nil {
			t.Fatal(err)
		}
		s.eventually("the job to be open", func() bool { return len(first.jobs.Summaries()) > 0 })
	}
	s.eventually("all jobs to be open", func() bool { return len(first.jobs.Summaries()) == 3 })
	if err := first.EndJob(t.Context(), noKey, "before"); err != nil {
		t.Fatal(err)
	}
	if losses := s.jobRecord("usual").Losses; losses != 0 {
		t.Errorf("%d losses of a job that was opened when it came", losses)
	}
	first.Stop()
	second := s.waitReady(s.start("vm-2"))
	s.eventually("an opening to be counted", func() bool { return s.jobRecord("usual").Losses == 1 && s.jobRecord("suspect").Losses == 1 })
	s.eventually("the openings to settle", func() bool { return s.jobRecord("usual").Losses == 0 && s.jobRecord("suspect").Losses == 0 })
	second.Stop()
	for losses := 1; !job.IsSetAside(losses); losses++ {
		s.setLosses("suspect", losses+1)
	}
	third := s.waitReady(s.start("vm-3"))
	s.eventually("the other job to settle", func() bool { return s.jobRecord("usual").Losses == 0 && len(third.jobs.Summaries()) == 1 })
	if open := third.jobs.Summaries(); open[0].Job != "usual" || third.metrics.JobsSetAside.Count() == 0 {
		t.Errorf("open %+v, set aside %d times", open, third.metrics.JobsSetAside.Count())
	}
	if err := third.EndJob(t.Context(), noKey, "suspect"); err != nil {
		t.Errorf("end of a job that is set aside: %v", err)
	}
}
