package backendtest

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest/tokens"
)

// EngineSubject is an engine under test. It serves SuiteModel in SuiteVersion
// without an adapter, can load one adapter in addition, and has received no
// order.
type EngineSubject struct {
	Engine      ports.Engine
	Server      core.VM
	SetFaults   func(EngineFaults)
	Revive      func()
	Counts      func() EngineCounts
	WaitVersion func(context.Context, core.WeightVersion) error
	WaitLoaded  func(context.Context) error // until no load is pending
	WaitAdapter func(context.Context, core.AdapterName, core.WeightVersion) error
}

// The model and version of an EngineSubject.
const (
	SuiteModel   core.ModelName     = "model"
	SuiteVersion core.WeightVersion = 1
)

// suiteTimeout is the deadline of cases that are expected to end by themselves.
const suiteTimeout = 20 * time.Second

// shortDeadline is the deadline of cases that are expected to reach it.
const shortDeadline = 50 * time.Millisecond

// RunEngine runs the contract tests of ports.Engine. Each case gets a new
// subject, whose engine checks fencing numbers if checksFencing is set and
// ignores them otherwise.
func RunEngine(t *testing.T, newSubject func(t *testing.T, checksFencing bool) EngineSubject) {
	t.Run("streams", func(t *testing.T) { runStreams(t, newSubject) })
	t.Run("resume", func(t *testing.T) { runResume(t, newSubject) })
	t.Run("orders", func(t *testing.T) { runOrders(t, newSubject) })
	t.Run("fencing", func(t *testing.T) { runFencing(t, newSubject) })
	t.Run("swap in mid-stream", func(t *testing.T) { runSwap(t, newSubject) })
	t.Run("adapters", func(t *testing.T) { runAdapters(t, newSubject) })
	t.Run("status", func(t *testing.T) { runStatus(t, newSubject) })
	t.Run("crash", func(t *testing.T) { runCrash(t, newSubject) })
}

type newEngineSubject = func(t *testing.T, checksFencing bool) EngineSubject

func suiteRequest(stream string) core.GenerateRequest {
	return core.GenerateRequest{Stream: stream, Model: SuiteModel, Prompt: "How old is the donkey?", MaxTokens: 24, Seed: 7}
}

func suiteContext(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// collector records the chunks that its sink gets and checks that their offsets
// are contiguous.
type collector struct {
	t        *testing.T
	tokens   []string
	versions []core.WeightVersion
	fail     error  // returned for every chunk
	onFirst  func() // called after the first chunk
}

func (c *collector) sink(chunk core.Chunk) error {
	if chunk.Offset != len(c.tokens) {
		c.t.Errorf("chunk at offset %d, want offset %d", chunk.Offset, len(c.tokens))
	}
	first := len(c.versions) == 0
	c.tokens = append(c.tokens, chunk.Tokens...)
	for range chunk.Tokens {
		c.versions = append(c.versions, chunk.Version)
	}
	if first && c.onFirst != nil {
		c.onFirst()
	}
	return c.fail
}

// checkComplete checks that the collector has the complete answer.
func (c *collector) checkComplete(request core.GenerateRequest, end core.StreamEnd) {
	c.t.Helper()
	want := tokens.Answer(request.Prompt, request.Seed, request.MaxTokens)
	_, finish := tokens.Length(request.Prompt, request.Seed, request.MaxTokens)
	if !slices.Equal(c.tokens, want) {
		c.t.Errorf("tokens = %q, want %q", c.tokens, want)
	}
	if end != (core.StreamEnd{Finish: finish, Tokens: len(want)}) {
		c.t.Errorf("end = %+v, want %s after %d tokens", end, finish, len(want))
	}
}

// wantKind fails the test at once if the error is not of the kind; an empty kind
// means no error.
func wantKind(t *testing.T, what string, err error, want errkind.Kind) {
	t.Helper()
	if want == "" && err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if want != "" && !errkind.Is(err, want) {
		t.Fatalf("%s: error %v, want kind %s", what, err, want)
	}
}

var errSink = errors.New("sink refused the chunk")

func runStreams(t *testing.T, newSubject newEngineSubject) {
	cases := []struct {
		name     string
		faults   EngineFaults
		change   func(*core.GenerateRequest)
		deadline time.Duration
		sink     error
		want     errkind.Kind // empty for a complete answer
		runs     int          // streams that the engine accepted
	}{
		{name: "complete answer, ends by length", runs: 1},
		{name: "complete answer, ends by itself", change: func(r *core.GenerateRequest) { r.MaxTokens = tokens.MaxLength + 1 }, runs: 1},
		{name: "continues a prefix", change: func(r *core.GenerateRequest) { r.Prefix = tokens.Answer(r.Prompt, r.Seed, 5) }, runs: 1},
		{name: "prefix is the complete answer", change: func(r *core.GenerateRequest) { r.Prefix = tokens.Answer(r.Prompt, r.Seed, r.MaxTokens) }, runs: 1},
		{name: "delayed answer", faults: EngineFaults{DelayMillis: 5}, runs: 1},
		{name: "refused", faults: EngineFaults{Refuse: true}, want: errkind.ServerRefused},
		{name: "other model", change: func(r *core.GenerateRequest) { r.Model = "other" }, want: errkind.ServerRefused},
		{name: "cut before the end mark", faults: EngineFaults{CutAfter: 3}, want: errkind.ServerFailed, runs: 1},
		{name: "cut after the last token", faults: EngineFaults{CutAfter: 24}, want: errkind.ServerFailed, runs: 1},
		{name: "crash", faults: EngineFaults{CrashMarker: "donkey"}, want: errkind.ServerFailed, runs: 1},
		{name: "frozen until the deadline", faults: EngineFaults{Freeze: true}, deadline: shortDeadline, want: errkind.Timeout},
		{name: "held until the deadline", faults: EngineFaults{HoldAfter: 3}, deadline: shortDeadline, want: errkind.Timeout, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t, true)
			s.SetFaults(c.faults)
			request := suiteRequest("a")
			if c.change != nil {
				c.change(&request)
			}
			limit := suiteTimeout
			if c.deadline > 0 {
				limit = c.deadline
			}
			got := &collector{t: t, tokens: slices.Clone(request.Prefix)}
			end, err := s.Engine.Generate(suiteContext(t, limit), s.Server, request, got.sink)
			wantKind(t, "Generate", err, c.want)
			if c.want == "" {
				got.checkComplete(request, end)
			}
			if runs := s.Counts().Streams; runs != c.runs {
				t.Errorf("engine accepted %d streams, want %d", runs, c.runs)
			}
		})
	}
}

func runResume(t *testing.T, newSubject newEngineSubject) {
	cases := []struct {
		name   string
		faults EngineFaults
		fail   error // of Generate's sink
		cancel bool  // cancel the context of Generate after the first chunk
		want   errkind.Kind
	}{
		{name: "after a cut", faults: EngineFaults{CutAfter: 3}, want: errkind.ServerFailed},
		{name: "after the sink stopped the stream", fail: errSink, want: errkind.Internal},
		{name: "after the context was canceled", cancel: true, want: errkind.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t, true)
			s.SetFaults(c.faults)
			ctx, cancel := context.WithCancel(suiteContext(t, suiteTimeout))
			defer cancel()
			got := &collector{t: t, fail: c.fail}
			if c.cancel {
				got.onFirst = func() { cancel() }
			}
			request := suiteRequest("a")
			request.MaxTokens = tokens.MaxLength + 1
			_, err := s.Engine.Generate(ctx, s.Server, request, got.sink)
			wantKind(t, "Generate", err, c.want)
			if c.fail != nil && !errors.Is(err, c.fail) {
				t.Errorf("error %v, want the sink's error %v", err, c.fail)
			}
			got.fail = nil
			end, err := s.Engine.Resume(suiteContext(t, suiteTimeout), s.Server, "a", len(got.tokens), got.sink)
			wantKind(t, "Resume", err, "")
			got.checkComplete(request, end)
			if runs := s.Counts().Streams; runs != 1 {
				t.Errorf("engine accepted %d streams, want 1", runs)
			}
		})
	}
	t.Run("canceled and unknown streams", func(t *testing.T) {
		s := newSubject(t, true)
		s.SetFaults(EngineFaults{HoldAfter: 3})
		ctx := suiteContext(t, suiteTimeout)
		got := &collector{t: t}
		got.onFirst = func() {
			wantKind(t, "Cancel", s.Engine.Cancel(ctx, s.Server, "a"), "")
		}
		_, err := s.Engine.Generate(ctx, s.Server, suiteRequest("a"), got.sink)
		wantKind(t, "Generate", err, errkind.ServerFailed)
		_, err = s.Engine.Resume(ctx, s.Server, "a", len(got.tokens), got.sink)
		wantKind(t, "Resume", err, errkind.UnknownRequest)
		wantKind(t, "Cancel of an unknown stream", s.Engine.Cancel(ctx, s.Server, "none"), "")
	})
}

func runOrders(t *testing.T, newSubject newEngineSubject) {
	cases := []struct {
		name     string
		faults   EngineFaults
		kind     core.OrderKind
		want     errkind.Kind
		executed int
		swaps    int
	}{
		{"obeyed", EngineFaults{}, core.OrderLoadVersion, "", 1, 1},
		{"role", EngineFaults{}, core.OrderSetRole, "", 1, 0},
		{"refused", EngineFaults{Refuse: true}, core.OrderLoadVersion, errkind.ServerRefused, 0, 0},
		{"reply lost after the effect", EngineFaults{DropOrderReply: true}, core.OrderLoadVersion, errkind.OutcomeUnknown, 1, 1},
		{"no answer in time", EngineFaults{Freeze: true}, core.OrderLoadVersion, errkind.OutcomeUnknown, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t, true)
			s.SetFaults(c.faults)
			limit := suiteTimeout
			if c.faults.Freeze {
				limit = shortDeadline
			}
			order := core.Order{Kind: c.kind, Version: 2, Role: "decode", Fence: 1}
			wantKind(t, "Order", s.Engine.Order(suiteContext(t, limit), s.Server, order), c.want)
			if c.swaps > 0 {
				wantKind(t, "WaitVersion", s.WaitVersion(suiteContext(t, suiteTimeout), 2), "")
			}
			if got := s.Counts(); got.Orders != c.executed || got.Swaps != c.swaps {
				t.Errorf("%d orders and %d swaps, want %d and %d", got.Orders, got.Swaps, c.executed, c.swaps)
			}
		})
	}
	t.Run("failed load does not change the version", func(t *testing.T) {
		s := newSubject(t, true)
		ctx := suiteContext(t, suiteTimeout)
		s.SetFaults(EngineFaults{FailNextSwap: true})
		wantKind(t, "Order", s.Engine.Order(ctx, s.Server, core.Order{Kind: core.OrderLoadVersion, Version: 2, Fence: 1}), "")
		wantKind(t, "WaitLoaded", s.WaitLoaded(ctx), "")
		status, err := s.Engine.Status(ctx, s.Server, 0)
		wantKind(t, "Status", err, "")
		if swaps := s.Counts().Swaps; swaps != 0 || status.Version != SuiteVersion {
			t.Errorf("%d swaps and version %d after a failed load, want 0 and %d", swaps, status.Version, SuiteVersion)
		}
	})
}

func runFencing(t *testing.T, newSubject newEngineSubject) {
	cases := []struct {
		name   string
		checks bool
		fence  core.Fence
		want   errkind.Kind
		final  core.WeightVersion
	}{
		{"checked, old number", true, 4, errkind.Fenced, 2},
		{"checked, same number", true, 5, "", 3},
		{"checked, new number", true, 6, "", 3},
		{"ignored, old number", false, 4, "", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t, c.checks)
			ctx := suiteContext(t, suiteTimeout)
			first := core.Order{Kind: core.OrderLoadVersion, Version: 2, Fence: 5}
			wantKind(t, "first order", s.Engine.Order(ctx, s.Server, first), "")
			wantKind(t, "WaitVersion", s.WaitVersion(ctx, 2), "")
			second := core.Order{Kind: core.OrderLoadVersion, Version: 3, Fence: c.fence}
			wantKind(t, "second order", s.Engine.Order(ctx, s.Server, second), c.want)
			wantKind(t, "WaitVersion", s.WaitVersion(ctx, c.final), "")
		})
	}
}

// runAdapters loads an additional adapter, which must not change the version of
// the model without adapter, and then one more adapter than the engine can load.
func runAdapters(t *testing.T, newSubject newEngineSubject) {
	s := newSubject(t, true)
	ctx := suiteContext(t, suiteTimeout)
	order := core.Order{Kind: core.OrderLoadVersion, Adapter: "notes", Version: 5, Fence: 1}
	wantKind(t, "Order", s.Engine.Order(ctx, s.Server, order), "")
	wantKind(t, "WaitAdapter", s.WaitAdapter(ctx, "notes", 5), "")
	order.Adapter = "letters"
	wantKind(t, "order for one more adapter", s.Engine.Order(ctx, s.Server, order), errkind.ServerRefused)
	status, err := s.Engine.Status(ctx, s.Server, 0)
	wantKind(t, "Status", err, "")
	for adapter, version := range map[core.AdapterName]core.WeightVersion{"": SuiteVersion, "notes": 5} {
		loaded, ok := status.Holds(adapter)
		if !ok || loaded.Version != version {
			t.Errorf("status reports adapter %q as %+v, want version %d", adapter, loaded, version)
		}
		got := &collector{t: t}
		request := suiteRequest("stream of " + string(adapter))
		request.Adapter = adapter
		end, err := s.Engine.Generate(ctx, s.Server, request, got.sink)
		wantKind(t, "Generate", err, "")
		got.checkComplete(request, end)
		if slices.ContainsFunc(got.versions, func(v core.WeightVersion) bool { return v != version }) {
			t.Errorf("adapter %q: versions of the tokens %v, want only %d", adapter, got.versions, version)
		}
	}
	if _, ok := status.Holds("letters"); ok {
		t.Error("status reports the refused adapter as loaded")
	}
}

// runSwap pauses a stream at a token, swaps the weights and resumes the stream.
func runSwap(t *testing.T, newSubject newEngineSubject) {
	const hold = 4
	s := newSubject(t, true)
	ctx := suiteContext(t, suiteTimeout)
	s.SetFaults(EngineFaults{HoldAfter: hold})
	got := &collector{t: t}
	request := suiteRequest("a")
	end, err := s.Engine.Generate(ctx, s.Server, request, func(chunk core.Chunk) error {
		err := got.sink(chunk)
		if len(got.tokens) != hold {
			return err
		}
		wantKind(t, "Order", s.Engine.Order(ctx, s.Server, core.Order{Kind: core.OrderLoadVersion, Version: 2, Fence: 1}), "")
		wantKind(t, "WaitVersion", s.WaitVersion(ctx, 2), "")
		s.SetFaults(EngineFaults{})
		return err
	})
	wantKind(t, "Generate", err, "")
	got.checkComplete(request, end)
	for i, version := range got.versions {
		want := SuiteVersion
		if i >= hold {
			want = 2
		}
		if version != want {
			t.Fatalf("token %d was generated with version %d, want %d", i, version, want)
		}
	}
}

func runStatus(t *testing.T, newSubject newEngineSubject) {
	s := newSubject(t, true)
	ctx := suiteContext(t, suiteTimeout)
	status, err := s.Engine.Status(ctx, s.Server, 0)
	wantKind(t, "Status", err, "")
	if status.Server != s.Server.ID || status.Model != SuiteModel || status.Version != SuiteVersion || status.Loading != 0 {
		t.Errorf("status of a new engine = %+v", status)
	}
	if status.NextEvent != 1 || len(status.CacheEvents) != 0 {
		t.Errorf("new engine reports %d events and cursor %d, want 0 and 1", len(status.CacheEvents), status.NextEvent)
	}
	s.SetFaults(EngineFaults{Freeze: true})
	_, err = s.Engine.Status(suiteContext(t, shortDeadline), s.Server, 0)
	wantKind(t, "Status of a frozen engine", err, errkind.Timeout)
}

func runCrash(t *testing.T, newSubject newEngineSubject) {
	s := newSubject(t, true)
	ctx := suiteContext(t, suiteTimeout)
	s.SetFaults(EngineFaults{CrashMarker: "donkey"})
	got := &collector{t: t}
	request := suiteRequest("a")
	_, err := s.Engine.Generate(ctx, s.Server, request, got.sink)
	wantKind(t, "Generate that crashes", err, errkind.ServerFailed)
	_, err = s.Engine.Generate(ctx, s.Server, suiteRequest("b"), got.sink)
	wantKind(t, "Generate at a crashed engine", err, errkind.ServerRefused)
	s.SetFaults(EngineFaults{})
	s.Revive()
	_, err = s.Engine.Resume(ctx, s.Server, "a", 0, got.sink)
	wantKind(t, "Resume of a lost stream", err, errkind.UnknownRequest)
	got.tokens = nil
	end, err := s.Engine.Generate(ctx, s.Server, suiteRequest("c"), got.sink)
	wantKind(t, "Generate after Revive", err, "")
	got.checkComplete(request, end)
}
