package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
)

const testSeed = 20260301

func testParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 200
	return parameters
}

// heavyTail returns a sketch of lognormal values.
func heavyTail(median, sigma float64, count int) *Sketch {
	random := rand.New(rand.NewPCG(testSeed, 1))
	sketch := &Sketch{}
	for range count {
		sketch.Add(median * math.Exp(sigma*random.NormFloat64()))
	}
	return sketch
}

func TestSketchKeepsQuantilesWithinItsError(t *testing.T) {
	sketch := &Sketch{}
	for i := range 400 {
		sketch.Add(float64(i + 1))
	}
	for _, q := range []float64{0.25, 0.5, 0.9} {
		// Newer values count more, so the exact quantile is that of the weights.
		want := math.Log2(1+q*(math.Exp2(400.0/halfLife)-1)) * halfLife
		if got := sketch.Quantile(q); math.Abs(got-want)/want > 0.1 {
			t.Errorf("quantile %v = %v, want %v within 10%%", q, got, want)
		}
	}
	if got := sketch.Remaining(1e6, 0.5); got != 1e6 {
		t.Errorf("remaining beyond all values = %v, want the value reached", got)
	}
}

func TestLongerRunsHaveLongerRests(t *testing.T) {
	sketch := heavyTail(20, 1.2, 4000)
	if early, late := sketch.Remaining(1, 0.5), sketch.Remaining(100, 0.5); late <= early {
		t.Errorf("median rest after 1 = %v, after 100 = %v; a heavy tail grows", early, late)
	}
}

func TestProvisionStaysWithinTheBoundAndFollowsTheIdleWeight(t *testing.T) {
	durations := heavyTail(40, 1, 1000)
	properties := gopter.NewProperties(testParameters())
	properties.Property("bounds and monotony", prop.ForAll(func(perStep int, bound uint64, work int, perVersion, weight float64) bool {
		demand := Demand{
			GroupsPerStep: perStep, Bound: bound, IdleWeight: weight, Durations: durations,
			Work: time.Duration(work) * time.Second, VersionsPerStep: perVersion,
		}
		plan := Provision(demand)
		fresh := float64(perStep) * float64(bound) / perVersion
		most := max(float64(perStep), min(fresh, float64(perStep*MaxStepsAhead)))
		demand.IdleWeight = 1
		eager := Provision(demand)
		return plan.Groups >= perStep && float64(plan.Groups) <= most && eager.Interval <= plan.Interval
	}, gen.IntRange(1, 64), gen.UInt64Range(0, 8), gen.IntRange(1, 300), gen.Float64Range(0.1, 2), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
}

func observed(usualRate float64) *History {
	history := &History{}
	for i := range 100 {
		history.Tokens.Add(float64(50 + 3*i))
		history.Rates.Add(usualRate)
	}
	return history
}

func TestReview(t *testing.T) {
	start := time.Unix(0, 0)
	now := start.Add(10 * time.Minute)
	pace := &Pace{}
	pace.Published(5, start)
	pace.Published(6, now.Add(-50*time.Second)) // next one expected in 500 s
	sample := func(index int, tokens int, rate float64, oldest core.WeightVersion) Running {
		return Running{
			ID:      core.SampleID{Group: core.GroupID{Step: 1}, Index: index},
			Elapsed: 20 * time.Second, Tokens: tokens, Rate: rate, Oldest: oldest, Scale: 1,
		}
	}
	steady := sample(0, 100, 20, 6)
	slow := sample(1, 20, 1, 6)
	stale := sample(2, 100, 20, 3)
	moved := slow
	moved.Moves = MaxMoves
	fresh := slow
	fresh.Elapsed = time.Second
	creeping := sample(3, 100, 0.01, 4)
	rerun := creeping
	rerun.Reruns = maxReruns
	rerun.Moves = MaxMoves
	tests := []struct {
		name    string
		running []Running
		usual   float64
		want    []Action
	}{
		{"steady", []Running{steady}, 20, nil},
		{"slow one moves", []Running{steady, slow}, 20, []Action{Move}},
		{"too old", []Running{stale}, 20, []Action{Rerun}},
		{"moved often enough", []Running{moved}, 20, nil},
		{"only just started", []Running{fresh}, 20, nil},
		{"slow like all others", []Running{slow}, 1, nil},
		{"bound to become too old", []Running{creeping}, 20, []Action{Rerun}},
		{"run again before", []Running{rerun}, 20, nil},
		{"few move at a time", []Running{slow, slow, slow, slow, slow}, 20, []Action{Move}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			steps := Review(test.running, observed(test.usual), pace, 2, 512, now)
			if len(steps) != len(test.want) {
				t.Fatalf("steps = %v, want %v", steps, test.want)
			}
			for i, step := range steps {
				if step.Action != test.want[i] {
					t.Errorf("step %d = %v, want %v", i, step.Action, test.want[i])
				}
			}
		})
	}
}

// TestAStalledSampleMovesWithoutHistory replays the first step of a new
// coordinator: one sample's stream stands still, and no others have finished
// from which a usual rate could be told.
func TestAStalledSampleMovesWithoutHistory(t *testing.T) {
	policy := Policy{GroupsPerStep: 1, GroupSize: 2, MaxTokens: 12, Bound: 1}
	now := time.Unix(0, 0)
	book := NewBook(0)
	book.Load(core.DeliveryRecord{}, []string{"p"})
	book.Published(1, now)
	runs := book.Start(policy, 2, now)
	stalled, queued := runs[0], runs[1]
	var moved []Work
	for range 12 {
		now = now.Add(reviewEvery)
		book.Observe(stalled, Progress{Tokens: 4, Oldest: 1}, now)
		book.Observe(queued, Progress{}, now) // waits for a slot, which is no stall
		moved = append(moved, book.Review(policy, now).Move...)
	}
	if len(moved) != 1 || moved[0].Run != stalled.Run {
		t.Fatalf("moved %v, want run %d once: one that waits for a slot stays, and one that was moved gets its time", moved, stalled.Run)
	}
}

func TestSamplesAwaitNewWeightsByTheIdleWeight(t *testing.T) {
	published := time.Unix(1000, 0)
	const lag, work = 6 * time.Second, 24 * time.Second
	tests := []struct {
		name   string
		lag    time.Duration
		bound  uint64
		weight float64
		after  time.Duration
		want   bool
	}{
		{"staleness only", lag, 2, 0, time.Second, true},
		{"staleness more", lag, 2, 0.2, time.Second, true},
		{"idle time more", lag, 3, 0.7, time.Second, false},
		{"idle time only", lag, 1, 1, time.Second, false},
		{"a version matters less under a wide bound", lag, 12, 0.4, time.Second, false},
		{"a swap much longer than a step", 240 * time.Second, 2, 0.2, time.Second, false},
		{"lag not known", 0, 2, 0, time.Second, false},
		{"the swap takes too long", lag, 2, 0, swapPatience*lag + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pace := &Pace{Work: work, SwapLag: test.lag}
			pace.Published(1, published.Add(-time.Hour))
			if pace.AwaitsNewest(test.bound, test.weight, published.Add(-time.Hour)) {
				t.Error("awaits a version that was there before")
			}
			pace.Published(2, published)
			if got := pace.AwaitsNewest(test.bound, test.weight, published.Add(test.after)); got != test.want {
				t.Errorf("awaits: %v, want %v", got, test.want)
			}
			pace.Served(1, published.Add(test.after))
			if got := pace.AwaitsNewest(test.bound, test.weight, published.Add(test.after)); got != test.want {
				t.Error("an older version ended the wait")
			}
			pace.Served(2, published.Add(test.after))
			if pace.AwaitsNewest(test.bound, test.weight, published.Add(test.after)) {
				t.Error("still awaits a version in use")
			}
		})
	}
}

func TestOneProbeAtATimeLooksForNewWeights(t *testing.T) {
	policy := Policy{GroupsPerStep: 2, GroupSize: 4, MaxTokens: 10, Bound: 1}
	now := time.Unix(1000, 0)
	book := NewBook(0)
	book.Load(core.DeliveryRecord{}, []string{"p"})
	book.pace.Work, book.pace.SwapLag = time.Minute, 6*time.Second
	book.Published(1, now)
	book.Published(2, now)
	for range 3 {
		probes := book.Start(policy, 100, now)
		if len(probes) != 1 || probes[0].Oldest != 2 {
			t.Fatalf("started %+v, want one sample on weights 2", probes)
		}
		book.Retry(probes[0]) // no engine has them
	}
	probe := book.Start(policy, 100, now)
	if rest := book.Start(policy, 100, now.Add(8*time.Second)); len(probe) != 1 || len(rest) != 2*8-1 {
		t.Errorf("%d started after the probe ran, want the other samples of two steps", len(rest))
	}
	if book.pace.SwapLag != 6500*time.Millisecond {
		t.Errorf("lag %s after 6 s and 8 s, want 6.5 s", book.pace.SwapLag)
	}
}

func TestBookIgnoresRunsThatWereReplaced(t *testing.T) {
	policy := Policy{GroupsPerStep: 1, GroupSize: 1, MaxTokens: 10, Bound: 1}
	now := time.Unix(0, 0)
	book := NewBook(0)
	book.Load(core.DeliveryRecord{}, []string{"p"})
	book.Published(1, now)
	first := book.Start(policy, 1, now)[0]
	book.Observe(first, Progress{Tokens: 3, Oldest: 1}, now)
	book.Published(3, now)
	if orders := book.Review(policy, now); len(orders.Cancel) != 1 || orders.Cancel[0].Run != first.Run {
		t.Fatalf("orders = %+v, want the stale run ended", orders)
	}
	second := book.Start(policy, 1, now)[0]
	if second.ID != first.ID || second.Run == first.Run {
		t.Fatalf("second run %+v after %+v, want the same sample under a new run", second, first)
	}
	old := core.Sample{ID: first.ID, Spans: []core.Span{{To: 1, Version: 1}}}
	if book.Generated(first, 1, now) || book.Finish(first, old, now) {
		t.Error("a replaced run was taken")
	}
	if !book.Generated(second, 1, now) || !book.Finish(second, core.Sample{Spans: []core.Span{{To: 1, Version: 3}}}, now) {
		t.Error("the current run was refused")
	}
	if count := book.TooOld([]core.GroupID{second.ID.Group}, 5, 1); count != 1 || len(book.Finished()) != 0 {
		t.Errorf("%d samples too old, finished %v; want the one run again", count, book.Finished())
	}
}

// BenchmarkBook gives the cost of one review and of one look for work at the
// two-year size of one trainer: 8,192 samples being generated.
func BenchmarkBook(b *testing.B) {
	policy := Policy{GroupsPerStep: 1024, GroupSize: 8, MaxTokens: 4096, Bound: 4, IdleWeight: 0.5}
	now := time.Unix(0, 0)
	book := NewBook(0)
	book.Load(core.DeliveryRecord{}, []string{"p"})
	book.Published(1, now)
	book.history = *observed(20)
	for _, work := range book.Start(policy, 8192, now) {
		book.Observe(work, Progress{Tokens: 100, Oldest: 1}, now.Add(5*time.Second))
	}
	now = now.Add(6 * time.Second)
	b.Run("review", func(b *testing.B) {
		for b.Loop() {
			book.Review(policy, now)
		}
	})
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			book.Start(policy, 8192, now)
		}
	})
}

func TestSummaryTellsSinceWhenTheTrainerWaits(t *testing.T) {
	book, asked := NewBook(0), time.Unix(1000, 0)
	book.Load(core.DeliveryRecord{LastStep: 4, LastVersion: 4}, nil)
	book.Asked(4, asked)
	if summary := book.Summary(); !summary.WaitsSince.IsZero() {
		t.Errorf("a step that was fetched again counts as a wait: %+v", summary)
	}
	book.Asked(5, asked.Add(time.Second))
	book.Asked(5, asked.Add(time.Minute))
	if summary := book.Summary(); summary.Asked != 5 || !summary.WaitsSince.Equal(asked.Add(time.Second)) {
		t.Errorf("%+v, want a wait for step 5 since it was asked for first", summary)
	}
	book.Delivered(core.DeliveryRecord{LastStep: 5, LastVersion: 5}, asked.Add(time.Hour))
	if summary := book.Summary(); !summary.WaitsSince.IsZero() {
		t.Errorf("a step that was fixed counts as a wait: %+v", summary)
	}
}
