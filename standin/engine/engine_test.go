package engine

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
)

// newStopped returns an engine whose batch advances only when the test calls
// runStep.
func newStopped(t *testing.T, options Options) *Engine {
	t.Helper()
	options.StepInterval = time.Hour
	options.Model = "model"
	e := New(options)
	t.Cleanup(e.Close)
	return e
}

func accept(t *testing.T, e *Engine, id, prompt string, priority, maxTokens int) *stream {
	t.Helper()
	s, refused := e.acceptStream(enginehttp.GenerateBody{
		Stream: id, Model: "model", Prompt: prompt, Priority: priority, MaxTokens: maxTokens,
	})
	if refused != nil {
		t.Fatal(refused.Message)
	}
	return s
}

func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	e := newStopped(t, Options{MaxRunning: 1})
	accept(t, e, "running", "", 0, 1)
	e.runStep()
	accept(t, e, "late low", "", 1, 1)
	accept(t, e, "first high", "", 9, 1)
	accept(t, e, "second high", "", 9, 1)
	var order []string
	for range 3 {
		before := slices.Clone(e.queued)
		e.runStep()
		for _, s := range before {
			if !slices.Contains(e.queued, s) {
				order = append(order, s.request.Stream)
			}
		}
	}
	want := []string{"first high", "second high", "late low"}
	if !slices.Equal(order, want) {
		t.Errorf("order = %q, want %q", order, want)
	}
}

func TestCacheHitShortensPrefill(t *testing.T) {
	prompt := string(make([]byte, 4*core.PrefixBlockBytes))
	e := newStopped(t, Options{PrefillBytes: core.PrefixBlockBytes, CacheBlocks: 4})
	steps := func(id string) int {
		s := accept(t, e, id, prompt, 0, 1)
		count := 0
		for ; !s.isDone(); count++ {
			e.runStep()
		}
		return count
	}
	if first, second := steps("a"), steps("b"); first != 4 || second != 1 {
		t.Errorf("%d and %d steps until completion, want 4 and 1", first, second)
	}
}

func TestCacheEvictsLRUAndReportsLateWithGaps(t *testing.T) {
	block := func(letter byte) string {
		raw := make([]byte, core.PrefixBlockBytes)
		for i := range raw {
			raw[i] = letter
		}
		return string(raw)
	}
	start := time.Unix(0, 0)
	c := newPrefixCache(Options{CacheBlocks: 2, EventDelay: time.Second, EventGap: 3})
	for _, letter := range []byte("abac") { // stores a, b and c; evicts b
		c.storePrompt(block(letter), start)
	}
	if hit := c.storePrompt(block('a'), start); hit != core.PrefixBlockBytes {
		t.Errorf("hit of %d bytes for a recently used block, want one block", hit)
	}
	if events, next := c.eventsSince(0, start); len(events) != 0 || next != 1 {
		t.Errorf("%d events and cursor %d before the events are due, want none and 1", len(events), next)
	}
	events, next := c.eventsSince(1, start.Add(time.Second))
	evicted := enginehttp.CacheEvent{PrefixHash: core.PrefixHashes(block('b'))[0], Evicted: true}
	if len(events) != 3 || events[2] != evicted || next != 5 {
		t.Errorf("events %v and cursor %d, want the eviction of b last, one gap and cursor 5", events, next)
	}
	if again, _ := c.eventsSince(next, start.Add(time.Second)); len(again) != 0 {
		t.Errorf("%d events after the last cursor, want none", len(again))
	}
}

func TestStatusReportLags(t *testing.T) {
	e := newStopped(t, Options{ReportInterval: time.Hour})
	accept(t, e, "a", "prompt", 0, 1)
	if got := e.statusSince(0); got.Queued != 0 {
		t.Errorf("status shows %d queued streams before the update, want 0", got.Queued)
	}
	e.updateReport()
	if got := e.statusSince(0); got.Queued != 1 || got.QueuedTokens != len("prompt") {
		t.Errorf("status = %+v, want one queued stream", got)
	}
}

func TestStreamContinuesWithoutReaderAndExpires(t *testing.T) {
	e := newStopped(t, Options{StreamRetention: time.Hour})
	s := accept(t, e, "a", "", 0, 3)
	e.removeReader(s)
	e.runStep()
	e.runStep()
	if s.producedCount() != 2 {
		t.Errorf("%d tokens generated without a reader, want 2", s.producedCount())
	}
	if _, refused := e.findStream("a", 0); refused != nil {
		t.Fatal("stream without a reader was removed before its expiry")
	}
	e.expireStream(s) // as by an expiry timer that fires after a new reader arrived
	if s.removed {
		t.Error("stream with a reader expired")
	}
	e.removeReader(s)
	e.expireStream(s)
	if _, refused := e.findStream("a", 0); refused == nil {
		t.Error("stream without a reader did not expire")
	}
}

func TestLastLoadWins(t *testing.T) {
	e := newStopped(t, Options{LoadTime: time.Hour})
	for version := core.WeightVersion(2); version <= 3; version++ {
		if refused, _ := e.handleOrder(enginehttp.OrderBody{Kind: core.OrderLoadVersion, Version: version}); refused != nil {
			t.Fatal(refused.Message)
		}
	}
	e.finishLoad(2, loadTarget{model: "model", version: 3}, nil)
	e.finishLoad(1, loadTarget{model: "model", version: 2}, nil)
	if e.version != 3 || e.counts.Swaps != 1 {
		t.Errorf("version %d after %d swaps, want 3 after 1", e.version, e.counts.Swaps)
	}
}

func TestLinesCarryVersionOfEachToken(t *testing.T) {
	e := newStopped(t, Options{Version: 1})
	s := accept(t, e, "a", "", 0, 4)
	e.runStep()
	e.finishLoad(0, loadTarget{model: "model", version: 2}, nil)
	e.runStep()
	e.runStep()
	var got []core.Span
	for _, line := range s.lines(0, 0) {
		got = append(got, core.Span{From: line.Offset, To: line.Offset + len(line.Tokens), Version: line.WeightVersion})
	}
	want := []core.Span{{From: 0, To: 1, Version: 1}, {From: 1, To: 3, Version: 2}}
	if !slices.Equal(got, want) {
		t.Errorf("spans %v, want %v", got, want)
	}
}
