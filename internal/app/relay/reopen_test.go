package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

// TestTakeoverReadsNoListedResults guards against a successor that reads every result with
// its text before it runs the other items: with 300 long results it never finished.
func TestTakeoverReadsNoListedResults(t *testing.T) {
	const listed, remaining = 40, 10
	s := newEnvironment(t)
	ends := func(id core.RequestID) bool {
		var number int
		_, _ = fmt.Sscanf(string(id), "j-%d", &number)
		return number < listed
	}
	s.stream = func(_ core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
		for id := 1; id <= 100 && ends(request.ID); id++ { // longer than a row
			if err := sink.Event(core.Event{ID: id, Data: "0123456789", Version: 1}); err != nil {
				return core.RelayResponse{}, err
			}
		}
		if !ends(request.ID) {
			return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "not yet")
		}
		return core.RelayResponse{}, nil
	}
	one := s.waitReady(s.start("vm-1"))
	if err := one.Submit(t.Context(), newJob("j", listed+remaining)); err != nil {
		t.Fatal(err)
	}
	s.eventually("most results", func() bool { return len(s.readResults(one, "j").Results) == listed })
	one.Stop()
	runsOf := func() (ofListed, ofOthers int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, starts := range s.runStarts {
			if ends(id) {
				ofListed += len(starts)
			} else {
				ofOthers += len(starts)
			}
		}
		return ofListed, ofOthers
	}
	objectReads := s.objects.Counters().Gets
	listedBefore, othersBefore := runsOf()
	s.start("vm-2")
	s.eventually("the other items run", func() bool {
		_, others := runsOf()
		return others >= othersBefore+remaining
	})
	const neededReads = 2 // the job's body and a checkpoint
	if reads := s.objects.Counters().Gets - objectReads; reads > neededReads {
		t.Errorf("the successor read %d objects, want at most %d", reads, neededReads)
	}
	if after, _ := runsOf(); after != listedBefore {
		t.Errorf("%d runs of listed items, want %d as before", after, listedBefore)
	}
}

// TestJobReadGoesOnWhereItStopped guards against a read of a job that begins again after a
// failure: the same part of it is read each time, and the job never opens. The results are
// those of an earlier release, which names no items outside of the objects.
func TestJobReadGoesOnWhereItStopped(t *testing.T) {
	const results, missing = 130, 110 // two pages; the object that can't be read at first
	s := newEnvironment(t)
	service := s.create("vm-1")
	submitted := newJob("j", results)
	body, err := service.ports.Bodies.EncodeJob(submitted)
	if err != nil {
		t.Fatal(err)
	}
	put := func(key core.ObjectKey, body []byte) {
		if err := s.objects.Put(t.Context(), key, body); err != nil {
			t.Fatal(err)
		}
	}
	put(jobBodyKey("", "j"), body)
	writes := []core.Write{{Key: jobKey("j"), Record: core.JobRecord{Service: engineService, Items: results, Body: jobBodyKey("", "j")}}}
	objects := make(map[core.ObjectKey][]byte)
	for n := range results {
		key := core.ObjectKey(fmt.Sprint("result-", n))
		if objects[key], err = service.ports.Bodies.EncodeResult(core.ItemResult{Item: submitted.Items[n].ID, State: core.ItemCompleted}); err != nil {
			t.Fatal(err)
		}
		if n != missing {
			put(key, objects[key])
		}
		writes = append(writes, core.Write{Key: resultKey("j", n), Record: core.ResultRecord{Overflow: key}})
	}
	if _, err := s.tables.Commit(t.Context(), core.Commit{Attempt: "a", Writes: writes}); err != nil {
		t.Fatal(err)
	}
	read := &jobRead{id: "j"}
	before := s.objects.Counters().Gets
	if err := service.continueJobRead(t.Context(), read); err == nil {
		t.Fatal("no error for an object that can't be read")
	}
	put(core.ObjectKey(fmt.Sprint("result-", missing)), objects[core.ObjectKey(fmt.Sprint("result-", missing))])
	if err := service.continueJobRead(t.Context(), read); err != nil {
		t.Fatal(err)
	}
	if len(read.listed) != results || read.listed[missing] != submitted.Items[missing].ID {
		t.Errorf("%d items listed, want %d in order", len(read.listed), results)
	}
	if reads, want := s.objects.Counters().Gets-before, uint64(1+results+1); reads != want {
		t.Errorf("%d objects read, want %d: the job, each result and the failed read", reads, want)
	}
}

// TestLateObjectKeepsResultsBeforeIt guards against a slow object store for which no result
// is listed at all: the long results of a transaction were stored again from the first.
func TestLateObjectKeepsResultsBeforeIt(t *testing.T) {
	const latency, timeout = 100 * time.Millisecond, 450 * time.Millisecond
	s := newEnvironment(t)
	service := s.create("vm-1")
	s.objects.Inject(faults.Rule{Operation: faults.ObjectWrite, Event: faults.Delay, Delay: latency})
	var results []job.PositionedResult
	for n := range 10 {
		results = append(results, job.PositionedResult{Job: "j", Position: n, Index: n, Result: core.ItemResult{
			Item: core.ItemID(fmt.Sprint("j-", n)), State: core.ItemCompleted, Text: strings.Repeat("t", 2000),
		}})
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var commit core.Commit
	included, err := service.addResultWrites(ctx, engineService, results, &commit)
	if err != nil || included == 0 || included == len(results) || len(commit.Writes) != included || len(commit.Conditions) != included {
		t.Errorf("%d results included, %d writes, %d conditions, %v", included, len(commit.Writes), len(commit.Conditions), err)
	}
}
