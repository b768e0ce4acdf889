package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// submitUnscoredJob submits a job whose texts wait for scorers that never answer, and waits
// until scorer calls are in flight.
func submitUnscoredJob(t *testing.T, s *environment, service *Service, items int) {
	t.Helper()
	s.exchangeTime = time.Hour
	for i := range s.published.Table.Routes {
		s.published.Table.Routes[i].Timeout, s.published.Table.Routes[i].Attempts = 20*time.Second, 4
	}
	if err := s.waitReady(service).Submit(t.Context(), newJob("j", items)); err != nil {
		t.Fatal(err)
	}
	s.eventually("scorer calls in flight", func() bool { return s.exchangeCounts().active > 0 })
}

type exchangeCounts struct{ started, active int }

func (s *environment) exchangeCounts() exchangeCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return exchangeCounts{s.exchanges, s.activeExchanges}
}

// checkScoringEnds ends the job and fails the test if a scorer call is in flight or is
// sent after the time in which an ended job must be quiet.
func checkScoringEnds(t *testing.T, s *environment, service *Service) {
	t.Helper()
	const quietAfter = 3 * time.Second
	if err := service.EndJob(t.Context(), noKey, "j"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(quietAfter)
	before := s.exchangeCounts()
	if before.active > 0 {
		t.Errorf("%d scorer calls in flight %v after the end of their job", before.active, quietAfter)
	}
	time.Sleep(30 * time.Second)
	if after := s.exchangeCounts(); after.started > before.started {
		t.Errorf("%d scorer calls sent later than %v after the end of their job", after.started-before.started, quietAfter)
	}
}

// TestEndingJobCancelsItsScorerCalls guards against scorer calls that are sent again
// after their job has ended, because the first scorer did not answer.
func TestEndingJobCancelsItsScorerCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEnvironment(t)
		service := s.start("vm-1")
		submitUnscoredJob(t, s, service, 4)
		checkScoringEnds(t, s, service)
	})
}

// TestFailingScorerGetsEachAttemptOnce guards against groups that complete seconds late
// because an item whose scorers always answer with an error is scored again after the
// attempts of its route are used up.
func TestFailingScorerGetsEachAttemptOnce(t *testing.T) {
	const attempts = 2
	synctest.Test(t, func(t *testing.T) {
		s := newEnvironment(t)
		s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
			return core.RelayResponse{Status: serverErrorStatus}, nil
		}
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Attempts = attempts
		}
		service := s.waitReady(s.start("vm-1"))
		if err := service.Submit(t.Context(), newJob("j", 1)); err != nil {
			t.Fatal(err)
		}
		var page core.ResultPage
		s.eventually("result listed", func() bool {
			page, _ = service.Results(t.Context(), core.Credentials{}, "j", 0, 0)
			return len(page.Results) == 1
		})
		if page.Results[0].State != core.ItemFailed {
			t.Errorf("state %v of an item whose scorers always fail, want failed", page.Results[0].State)
		}
		if started := s.exchangeCounts().started; started != attempts {
			t.Errorf("%d scorer calls, want %d, as many as the route allows", started, attempts)
		}
	})
}

// TestLostLeaseCancelsScorerCalls guards against scorer calls of a former coordinator,
// which does not learn of the end of a job that another process coordinates.
func TestLostLeaseCancelsScorerCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEnvironment(t)
		former := s.start("vm-1")
		submitUnscoredJob(t, s, former, 4)
		successor := s.waitReady(s.start("vm-2"))
		former.Reconfigure(time.Second, 5*time.Minute) // the shutdown itself ends nothing during the test
		go former.Shutdown(t.Context())
		s.eventually("lease acquired by the successor", func() bool {
			_, held := successor.leases.Holding(coordinatorLease(engineService), time.Now())
			return held
		})
		checkScoringEnds(t, s, successor)
	})
}

// TestLeavingProcessSendsScorerCalls guards against texts that wait without a score while
// their coordinator shuts down and no other process has taken its lease over.
func TestLeavingProcessSendsScorerCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEnvironment(t)
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Timeout = time.Hour // longer than the grace period
		}
		service := s.waitReady(s.start("vm-1"))
		service.Reconfigure(time.Second, 8*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 7500*time.Millisecond)
		defer cancel()
		ended := make(chan struct{})
		go func() {
			service.Shutdown(ctx)
			close(ended)
		}()
		time.Sleep(3 * time.Second)
		request := core.RelayRequest{ID: "score-1", Method: "POST", Host: host, Target: "/lookup/score"}
		if _, err := service.forwardGuarded(t.Context(), request, core.ClassRollout, newCrashGuard(&request)); err != nil {
			t.Errorf("scorer call during the shutdown: %v", err)
		}
		<-ended
	})
}

// TestWorkOfClosedJobDoesNotBegin guards against a run or scorer call that was chosen
// before its job was closed and begins after the job's work was canceled.
func TestWorkOfClosedJobDoesNotBegin(t *testing.T) {
	s := newEnvironment(t)
	service := s.create("vm-1")
	now := time.Now()
	var start job.RunStart
	service.jobs.WithScheduler(engineService, func(scheduler *job.Scheduler) {
		scheduler.Open(newJob("j", 1), nil, job.Policy{Attempts: 1}, now)
		start = scheduler.NextRuns(1, now)[0]
	})
	ctx, end := service.beginWork(context.Background(), engineService, start.Work)
	if ctx.Err() != nil {
		t.Error("run of an open job is canceled at its begin")
	}
	end()
	service.closeJob(engineService, core.JobID("j"))
	ctx, end = service.beginWork(context.Background(), engineService, start.Work)
	defer end()
	if ctx.Err() == nil {
		t.Error("run of a closed job begins")
	}
}
