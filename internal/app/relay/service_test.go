package relay

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/tables"
)

func forward(t *testing.T, service *Service, target string) (core.RelayResponse, error) {
	t.Helper()
	return service.Forward(t.Context(), core.RelayRequest{ID: "r-1", Method: "POST", Host: host, Target: target})
}

func TestRefusalMeansRequestDidNotRun(t *testing.T) {
	cases := []struct {
		name, target string
		first        errkind.Kind // of the first attempt
		second       errkind.Kind // of the second, empty for a success
		wantSent     int64
		want         errkind.Kind // empty for a success
	}{
		{"refused once, then served", "/once/x", errkind.ServerRefused, "", 2, ""},
		{"refused twice", "/once/x", errkind.ServerRefused, errkind.ServerRefused, 2, errkind.ServerRefused},
		{"response truncated, at most once", "/once/x", errkind.ServerFailed, "", 1, errkind.ServerFailed},
		{"response truncated, idempotent", "/lookup/x", errkind.ServerFailed, "", 2, ""},
		{"response truncated, then refused: may have run", "/lookup/x", errkind.ServerFailed, errkind.ServerRefused, 2, errkind.ServerFailed},
	}
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	for _, c := range cases {
		var sent atomic.Int64
		s.mu.Lock()
		s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
			kind := c.first
			if sent.Add(1) > 1 {
				kind = c.second
			}
			if kind == "" {
				return core.RelayResponse{Status: 200}, nil
			}
			return core.RelayResponse{}, errkind.New(kind, "failed by the test")
		}
		s.mu.Unlock()
		_, err := forward(t, service, c.target)
		if c.want == "" && err != nil || c.want != "" && !errkind.Is(err, c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
		if sent.Load() != c.wantSent {
			t.Errorf("%s: %d attempts, want %d", c.name, sent.Load(), c.wantSent)
		}
	}
}

func TestServerErrorResponseIsForwarded(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.mu.Lock()
	s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
		return core.RelayResponse{Status: 500, Signature: "server signature"}, nil
	}
	s.mu.Unlock()
	for _, target := range []string{"/lookup/x", "/once/x"} {
		if got, err := forward(t, service, target); err != nil || got.Status != 500 || got.Signature != "server signature" {
			t.Errorf("%s: response %+v, %v, want the server's status 500", target, got, err)
		}
	}
}

func TestUnknownRoutes(t *testing.T) {
	s := newEnvironment(t)
	service := s.start("vm-1")
	if _, err := forward(t, service, "/lookup/x"); err != nil && !errkind.Is(err, errkind.Starting) {
		t.Errorf("without a route table: %v, want %s", err, errkind.Starting)
	}
	s.waitReady(service)
	if _, err := forward(t, service, "/nothing/x"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("path without a route: %v, want %s", err, errkind.NotFound)
	}
}

// TestResubmittedJobRunsOnceWithSameResultsEverywhere submits a job to two processes
// and reads its results from both.
func TestResubmittedJobRunsOnceWithSameResultsEverywhere(t *testing.T) {
	s := newEnvironment(t)
	one, two := s.waitReady(s.start("vm-1")), s.waitReady(s.start("vm-2"))
	job := newJob("j", 20)
	for _, service := range []*Service{one, two} {
		if err := service.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("all results", func() bool { return len(s.readResults(one, "j").Results) == 20 })
	first, second := s.readResults(one, "j"), s.readResults(two, "j")
	if !reflect.DeepEqual(first, second) || first.Total != 20 {
		t.Errorf("the processes read different results, or a total of %d", first.Total)
	}
	seen := make(map[core.ItemID]bool)
	for _, result := range first.Results {
		if seen[result.Item] || result.State != core.ItemCompleted || result.Text != "e1\ne2\ne3\ne4\ne5" || result.Score != "signed score-"+string(result.Item) {
			t.Errorf("result %+v, listed before: %v", result, seen[result.Item])
		}
		seen[result.Item] = true
	}
	if body, err := two.ItemBody(t.Context(), noKey, "j", "j-3"); err != nil || string(body) != "j-3" {
		t.Errorf("item body %q, %v, want %q", body, err, "j-3")
	}
	if _, err := one.Results(t.Context(), noKey, "other", 0, 0); !errkind.Is(err, errkind.UnknownRequest) {
		t.Errorf("unknown job: %v, want %s", err, errkind.UnknownRequest)
	}
}

// TestNewCoordinatorResumesFromCheckpoint stops the coordinator's process while it
// runs items with long outputs. The next coordinator must not generate them again
// from the start.
func TestNewCoordinatorResumesFromCheckpoint(t *testing.T) {
	s := newEnvironment(t)
	s.eventInterval, s.eventCount = 20*time.Millisecond, 200
	one := s.waitReady(s.start("vm-1"))
	if err := one.Submit(t.Context(), newJob("j", 2)); err != nil {
		t.Fatal(err)
	}
	s.eventually("checkpoint of both items", func() bool {
		checkpoint, err := one.loadNewestCheckpoint(context.Background(), engineService)
		return err == nil && len(checkpoint.Texts) == 2
	})
	one.Stop()
	two := s.waitReady(s.start("vm-2"))
	s.eventually("all results", func() bool { return len(s.readResults(two, "j").Results) == 2 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, starts := range s.runStarts {
		if len(starts) != 2 || starts[1] < minCheckpointEvents {
			t.Errorf("item %s ran from events %v, want a second run that resumes", id, starts)
		}
	}
}

func TestEndingJobCancelsItsRuns(t *testing.T) {
	s := newEnvironment(t)
	s.eventInterval, s.eventCount = 50*time.Millisecond, 1000
	one, two := s.waitReady(s.start("vm-1")), s.waitReady(s.start("vm-2"))
	if err := one.Submit(t.Context(), newJob("j", 10)); err != nil {
		t.Fatal(err)
	}
	running := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.activeRuns
	}
	s.eventually("10 runs", func() bool { return running() == 10 })
	for range 2 {
		if err := two.EndJob(t.Context(), noKey, "j"); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("all runs canceled", func() bool { return running() == 0 })
	if page := s.readResults(two, "j"); page.Total != 10 {
		t.Errorf("ended job has a total of %d, want 10", page.Total)
	}
}

func TestRefusedJobDoesNotRun(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Refuse, Table: core.TableJob, Count: 1})
	if err := service.Submit(t.Context(), newJob("refused", 1)); !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("commit refused by the store: %v, want %s", err, errkind.StoreUnavailable)
	}
	s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.DropAfter, Table: core.TableJob, Count: 1})
	if err := service.Submit(t.Context(), newJob("lost", 1)); err != nil {
		t.Errorf("reply of an applied commit lost: %v", err)
	}
	s.eventually("result of the job with the lost reply", func() bool { return len(s.readResults(service, "lost").Results) == 1 })
	if _, err := service.Results(t.Context(), noKey, "refused", 0, 0); !errkind.Is(err, errkind.UnknownRequest) {
		t.Errorf("results of a refused job: %v, want %s", err, errkind.UnknownRequest)
	}
}

// TestLostRepliesKeepResultPositions loses replies to transactions that store
// results. A repeated transaction must not move a result to another position.
func TestLostRepliesKeepResultPositions(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	for _, event := range []faults.Event{faults.DropAfter, faults.DropBefore, faults.DropAfter} {
		s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: event, Table: core.TableResult, Count: 1})
	}
	if err := service.Submit(t.Context(), newJob("j", 30)); err != nil {
		t.Fatal(err)
	}
	var before []core.ItemResult
	s.eventually("all results", func() bool {
		now := s.readResults(service, "j").Results
		for i := range before {
			if now[i].Item != before[i].Item {
				t.Fatalf("position %d changed from item %s to %s", i, before[i].Item, now[i].Item)
			}
		}
		before = now
		return len(now) == 30
	})
}

// TestJobsOfAnyIDAreListed guards against a job's id that makes its results' keys longer
// than the store accepts, after which no result of the service was listed, and against one
// whose results lie between those of another job.
func TestJobsOfAnyIDAreListed(t *testing.T) {
	const maxKeyBytes = 200 // of the users' platform, "The platform's metadata store"
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	jobs := []core.JobID{core.JobID(strings.Repeat("x", 190)), "a/00000000", "a"}
	for i, id := range jobs {
		job := newJob(id, 3)
		for n := range job.Items {
			job.Items[n].ID = core.ItemID(fmt.Sprint(i, "-", n))
		}
		if err := service.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
	}
	for i, id := range jobs {
		s.eventually("all results", func() bool { return len(s.readResults(service, id).Results) >= 3 })
		results := s.readResults(service, id).Results
		for _, result := range results {
			if !strings.HasPrefix(string(result.Item), fmt.Sprint(i, "-")) {
				t.Errorf("job %.20s lists item %s of another job", id, result.Item)
			}
		}
		if err := service.EndJob(t.Context(), noKey, id); err != nil {
			t.Errorf("end of job %.20s: %v", id, err)
		}
	}
	for _, table := range []core.TableName{core.TableJob, core.TableResult, core.TableSettled} {
		rows, err := s.tables.Scan(t.Context(), table, workPartition, "", 1000)
		if err != nil || len(rows) == 0 {
			t.Errorf("%d rows of %s, %v", len(rows), table, err)
		}
		for _, row := range rows {
			if len(row.Key.ID) > maxKeyBytes {
				t.Errorf("key of %d bytes in %s", len(row.Key.ID), table)
			}
		}
	}
}

// TestJobWithoutIDIsRefused guards against jobs that replace each other.
func TestJobWithoutIDIsRefused(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	if err := service.Submit(t.Context(), newJob("", 1)); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("%v, want %s", err, errkind.BadRequest)
	}
}

// TestLongResultsAreStoredAsObjects stores results that exceed the size of a row.
func TestLongResultsAreStoredAsObjects(t *testing.T) {
	s := newEnvironment(t)
	s.eventCount = 400
	service := s.waitReady(s.start("vm-1"))
	if err := service.Submit(t.Context(), newJob("j", 2)); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == 2 })
	if text := s.readResults(service, "j").Results[0].Text; len(text) <= 1000 {
		t.Errorf("result text has %d bytes, want more than 1000", len(text))
	}
}

// TestRowsOfResultsAreBounded guards against a result that is short but for what a server or
// a caller named, whose row the store refuses for good: no later result was listed.
func TestRowsOfResultsAreBounded(t *testing.T) {
	s := newEnvironment(t)
	service := s.create("vm-1")
	limit := service.options.MaxResultBytes
	long := strings.Repeat("x", limit+1)
	for what, result := range map[string]core.ItemResult{
		"score":    {Item: "i", State: core.ItemCompleted, Text: "t", Score: long},
		"versions": {Item: "i", State: core.ItemCompleted, Text: "t", Versions: make([]core.WeightVersion, limit)},
		"id":       {Item: core.ItemID(long), State: core.ItemCompleted, Text: "t"},
		"in all":   {Item: "i", State: core.ItemCompleted, Text: long[:limit/2], Score: long[:limit/2]},
	} {
		record, err := service.resultRecord(t.Context(), job.PositionedResult{Job: "j", Result: result})
		if err != nil || record.Overflow == "" || record.Result.Score != "" || record.Result.Versions != nil {
			t.Errorf("%s: the row holds the result (object %q, %v)", what, record.Overflow, err)
		}
		if len(record.Overflow) > 200 {
			t.Errorf("%s: the object's name has %d bytes", what, len(record.Overflow))
		}
	}
}

// TestEngineThatHoldsTheVersionIsOrderedLater has engines whose registrations lag: they
// hold the first published version and answer the order for it without counting it. The
// next version must still be loaded.
func TestEngineThatHoldsTheVersionIsOrderedLater(t *testing.T) {
	s := newEnvironment(t)
	s.holdsVersion = func(_ core.VM, order core.Order) bool { return order.Version == 2 }
	s.waitReady(s.start("vm-1"))
	for _, version := range []core.WeightVersion{2, 3} {
		s.mu.Lock()
		s.published.Versions = []core.ModelVersion{{Model: "m", Version: version}}
		s.mu.Unlock()
		s.eventually(fmt.Sprint("version ", version, " on all engines"), func() bool { return s.allLoaded(version) })
	}
}

// TestOneCoordinatorOrdersPublishedVersion publishes a version to two processes. Only
// the coordinator may send orders, one per engine.
func TestOneCoordinatorOrdersPublishedVersion(t *testing.T) {
	s := newEnvironment(t)
	s.waitReady(s.start("vm-1"))
	s.waitReady(s.start("vm-2"))
	s.mu.Lock()
	s.published.Versions = []core.ModelVersion{{Model: "m", Version: 2}}
	s.mu.Unlock()
	s.eventually("version 2 on all engines", func() bool { return s.allLoaded(2) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.orders) != 3 {
		t.Errorf("%d orders, want one for each of 3 engines", len(s.orders))
	}
	for _, order := range s.orders {
		if order.Holder != s.orders[0].Holder || order.Fence != s.orders[0].Fence {
			t.Errorf("orders from two lease holders: %+v and %+v", s.orders[0], order)
		}
	}
}

// TestJobCompletesDespiteRefusingEngine runs a job while one engine refuses all runs.
func TestJobCompletesDespiteRefusingEngine(t *testing.T) {
	s := newEnvironment(t)
	s.refusesRuns = func(server core.VM) bool { return server.ID == "engine-1" }
	service := s.waitReady(s.start("vm-1"))
	if err := service.Submit(t.Context(), newJob("j", 20)); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == 20 })
}

// TestShutdownWaitsForReadsOfResults shuts a process down while a read waits for the
// first result of a job.
func TestShutdownWaitsForReadsOfResults(t *testing.T) {
	s := newEnvironment(t)
	s.eventInterval = time.Minute
	service := s.waitReady(s.start("vm-1"))
	if err := service.Submit(t.Context(), newJob("j", 1)); err != nil {
		t.Fatal(err)
	}
	const wait = 1500 * time.Millisecond // longer than the process accepts requests
	read := make(chan error, 1)
	go func() {
		_, err := service.Results(t.Context(), noKey, "j", 0, wait)
		read <- err
	}()
	s.eventually("the read is in flight", func() bool { return service.State().InFlight > 0 })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	service.Shutdown(ctx)
	select {
	case err := <-read:
		if err != nil {
			t.Errorf("read during the shutdown: %v", err)
		}
	case <-time.After(100 * time.Millisecond):
		t.Error("the shutdown ended before the read was answered")
	}
	if _, err := service.Results(t.Context(), noKey, "j", 0, 0); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("read after the shutdown: %v, want %s", err, errkind.ShuttingDown)
	}
}

// TestShutdownWaitsForRequestsInFlight shuts a process down during a request.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	started := make(chan struct{})
	s.mu.Lock()
	s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
		close(started)
		time.Sleep(900 * time.Millisecond)
		return core.RelayResponse{Status: 200}, nil
	}
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		_, err := service.Forward(context.Background(), core.RelayRequest{ID: "r-1", Host: host, Target: "/lookup/x"})
		ended <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	service.Shutdown(ctx)
	if err := <-ended; err != nil {
		t.Errorf("request in flight during the shutdown: %v", err)
	}
	if service.Ready() {
		t.Error("process is ready after its shutdown")
	}
	if _, err := forward(t, service, "/lookup/x"); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("request after the shutdown: %v, want %s", err, errkind.ShuttingDown)
	}
}

// TestLostOrderIsRetried loses the first order to each engine before it is accepted.
// The coordinator must notice this and not wait for the load timeout.
func TestLostOrderIsRetried(t *testing.T) {
	s := newEnvironment(t)
	ordered := make(map[core.ServerID]bool)
	s.losesOrder = func(server core.VM) bool {
		first := !ordered[server.ID]
		ordered[server.ID] = true
		return first
	}
	s.waitReady(s.start("vm-1"))
	began := time.Now()
	s.mu.Lock()
	s.published.Versions = []core.ModelVersion{{Model: "m", Version: 2}}
	s.mu.Unlock()
	s.eventually("version 2 on all engines", func() bool { return s.allLoaded(2) })
	if took := time.Since(began); took > loadTimeout {
		t.Errorf("all engines loaded version 2 after %v, want less than the load timeout of %v", took, loadTimeout)
	}
}

// TestEachResultIsStoredOnce completes many items at nearly the same time. A result in
// a pending transaction must not enter the next one.
func TestEachResultIsStoredOnce(t *testing.T) {
	s := newEnvironment(t)
	s.eventCount = 1
	service := s.waitReady(s.start("vm-1"))
	for _, id := range []core.JobID{"a", "b", "c"} {
		if err := service.Submit(t.Context(), newJob(id, 40)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []core.JobID{"a", "b", "c"} {
		s.eventually("all results of "+string(id), func() bool { return len(s.readResults(service, id).Results) == 40 })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, starts := range s.runStarts {
		if len(starts) != 1 {
			t.Errorf("item %s ran %d times", id, len(starts))
		}
	}
}

// TestCanceledRequestFreesItsServer cancels a request while a backend server processes
// it.
func TestCanceledRequestFreesItsServer(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.mu.Lock()
	s.hangingExchange = make(chan struct{}, 4)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := service.Forward(ctx, core.RelayRequest{ID: "r-1", Host: host, Target: "/lookup/x"})
		ended <- err
	}()
	<-s.hangingExchange
	cancel()
	const limit = 500 * time.Millisecond // within which the server must be free again
	select {
	case <-s.hangingExchange:
	case <-time.After(limit):
		t.Errorf("exchange continues %v after its request was canceled", limit)
	}
	if err := <-ended; !errkind.Is(err, errkind.Canceled) {
		t.Errorf("canceled request ended with %v, want %s", err, errkind.Canceled)
	}
}

// TestNewProcessStartsFromPeersEarlierAnswer starts a process in an outage with a
// peer's earlier answer. A later such answer without servers must not remove the
// servers that the process knows.
func TestNewProcessStartsFromPeersEarlierAnswer(t *testing.T) {
	s := newEnvironment(t)
	s.published.Stale = true
	service := s.waitReady(s.start("vm-1"))
	if _, err := forward(t, service, "/lookup/x"); err != nil {
		t.Errorf("request with a peer's routes and servers: %v", err)
	}
	s.mu.Lock()
	s.servers = nil
	s.mu.Unlock()
	time.Sleep(3 * watchInterval)
	if _, err := forward(t, service, "/lookup/x"); err != nil {
		t.Errorf("request after a stale answer without servers: %v", err)
	}
}

// TestCoordinatorKeepsLeaseWhenOthersReturn starts more processes than there are
// candidates, so that the lease holder is no longer a candidate. It must keep the
// lease.
func TestCoordinatorKeepsLeaseWhenOthersReturn(t *testing.T) {
	s := newEnvironment(t)
	first := s.waitReady(s.start("vm-0"))
	s.eventually("coordinator elected", func() bool {
		_, held := first.leases.Holding(coordinatorLease(engineService), time.Now())
		return held
	})
	holding, _ := first.leases.Holding(coordinatorLease(engineService), time.Now())
	for _, vm := range []core.VMID{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"} {
		s.waitReady(s.start(vm))
	}
	s.eventually("all members known", func() bool { return len(first.members.Live()) == 9 })
	if lease.IsCandidate(coordinatorLease(engineService), "vm-0", first.members.Live()) {
		t.Fatal("the lease holder is still a candidate; the test needs one that is not")
	}
	time.Sleep(2 * leaseTerm)
	if now, held := first.leases.Holding(coordinatorLease(engineService), time.Now()); !held || now.Fence != holding.Fence {
		t.Errorf("lease changed hands: held %v, fence %d, want %d", held, now.Fence, holding.Fence)
	}
}

// TestRestartedProcessReclaimsItsVMsLease stops the lease holder without a release and
// starts another process on its VM, which must not wait for the term to end.
func TestRestartedProcessReclaimsItsVMsLease(t *testing.T) {
	s := newEnvironment(t)
	name := coordinatorLease(engineService)
	holder := s.waitReady(s.start("vm-0"))
	s.eventually("coordinator elected", func() bool {
		_, held := holder.leases.Holding(name, time.Now())
		return held
	})
	holder.Stop()
	s.reclaim = 5 * time.Second
	restarted := s.waitReady(s.start("vm-0"))
	began := time.Now()
	s.eventually("lease reclaimed", func() bool {
		_, held := restarted.leases.Holding(name, time.Now())
		return held
	})
	if took := time.Since(began); took > leaseTerm {
		t.Errorf("lease reclaimed after %v, want less than the term of %v", took, leaseTerm)
	}
}

// TestResubmittedJobIsAcceptedWithoutMemory guards against a job that is refused although an
// earlier attempt was accepted, because its coordinator has no memory for another one.
func TestResubmittedJobIsAcceptedWithoutMemory(t *testing.T) {
	s := newEnvironment(t)
	s.refusesRuns = func(core.VM) bool { return true }
	service := s.create("vm-1")
	job := newJob("first", 100)
	body, err := service.ports.Bodies.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	service.jobStorage = tables.NewJobStorage(jobMemory(&job, body))
	service.Start()
	s.waitReady(service)
	s.eventually("the coordinator's lease", func() bool {
		_, held := service.leases.Holding(coordinatorLease(engineService), time.Now())
		return held
	})
	if err := service.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	s.eventually("the job to be open", func() bool { return len(service.jobs.Summaries()) == 1 })
	if err := service.Submit(t.Context(), job); err != nil {
		t.Errorf("second submission of an accepted job: %v", err)
	}
	other := newJob("other", 100)
	if err := service.Submit(t.Context(), other); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("a job that does not fit: %v, want %s", err, errkind.Overloaded)
	}
	if err := service.EndJob(t.Context(), noKey, "first"); err != nil {
		t.Fatal(err)
	}
	s.eventually("memory for the other job", func() bool { return service.Submit(t.Context(), other) == nil })
	s.eventually("the other job to be open", func() bool { return len(service.jobs.Summaries()) == 1 && service.jobs.Summaries()[0].Job == "other" })
}
