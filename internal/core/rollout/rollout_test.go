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

// lognormalSketch returns a sketch of values from a lognormal distribution.
func lognormalSketch(median, sigma float64, count int) *Sketch {
	random := rand.New(rand.NewPCG(testSeed, 1))
	sketch := &Sketch{}
	for range count {
		sketch.Add(median * math.Exp(sigma*random.NormFloat64()))
	}
	return sketch
}

func TestSketchQuantilesWithinRelativeError(t *testing.T) {
	sketch := &Sketch{}
	for i := range 400 {
		sketch.Add(float64(i + 1))
	}
	for _, q := range []float64{0.25, 0.5, 0.9} {
		// Newer values have more weight, so the expected quantile is weighted
		// too.
		want := math.Log2(1+q*(math.Exp2(400.0/halfLife)-1)) * halfLife
		if got := sketch.Quantile(q); math.Abs(got-want)/want > 0.1 {
			t.Errorf("quantile %v = %v, want %v within 10%%", q, got, want)
		}
	}
	if got := sketch.RemainingQuantile(1e6, 0.5); got != 1e6 {
		t.Errorf("remaining above all values = %v, want the value reached", got)
	}
}

func TestRemainderGrowsForHeavyTail(t *testing.T) {
	sketch := lognormalSketch(20, 1.2, 4000)
	if early, late := sketch.RemainingQuantile(1, 0.5), sketch.RemainingQuantile(100, 0.5); late <= early {
		t.Errorf("median remainder after 1 = %v, after 100 = %v; want it to grow for a heavy tail", early, late)
	}
}

func TestProvisionRespectsBoundAndIdleWeight(t *testing.T) {
	durations := lognormalSketch(40, 1, 1000)
	properties := gopter.NewProperties(testParameters())
	properties.Property("bounds and monotony", prop.ForAll(func(perStep int, bound uint64, work int, perVersion, weight float64) bool {
		demand := ProvisionInput{
			GroupsPerStep: perStep, Bound: bound, IdleWeight: weight, Durations: durations,
			StepWork: time.Duration(work) * time.Second, VersionsPerStep: perVersion,
		}
		plan := Provision(demand)
		fresh := float64(perStep) * float64(bound) / perVersion
		maxGroups := max(float64(perStep), min(fresh, float64(perStep*MaxStepsAhead)))
		demand.IdleWeight = 1
		eager := Provision(demand)
		return plan.Groups >= perStep && float64(plan.Groups) <= maxGroups && eager.Interval <= plan.Interval
	}, gen.IntRange(1, 64), gen.UInt64Range(0, 8), gen.IntRange(1, 300), gen.Float64Range(0.1, 2), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
}

func newTestHistory(usualRate float64) *History {
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
	timings := &TrainerTimings{}
	timings.VersionPublished(5, start)
	timings.VersionPublished(6, now.Add(-50*time.Second)) // the next version is expected in 500 s
	sample := func(index int, tokens int, rate float64, oldest core.WeightVersion) RunningSample {
		return RunningSample{
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
	verySlow := sample(3, 100, 0.01, 4)
	restarted := verySlow
	restarted.Restarts = maxRestarts
	restarted.Moves = MaxMoves
	tests := []struct {
		name      string
		running   []RunningSample
		usualRate float64
		want      []Action
	}{
		{"steady", []RunningSample{steady}, 20, nil},
		{"slow sample", []RunningSample{steady, slow}, 20, []Action{Move}},
		{"too old", []RunningSample{stale}, 20, []Action{Restart}},
		{"moved MaxMoves times", []RunningSample{moved}, 20, nil},
		{"just started", []RunningSample{fresh}, 20, nil},
		{"as slow as all others", []RunningSample{slow}, 1, nil},
		{"predicted to become too old", []RunningSample{verySlow}, 20, []Action{Restart}},
		{"restarted before", []RunningSample{restarted}, 20, nil},
		{"limited number of moves", []RunningSample{slow, slow, slow, slow, slow}, 20, []Action{Move}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			actions := ReviewSamples(test.running, newTestHistory(test.usualRate), timings, 2, 512, now)
			if len(actions) != len(test.want) {
				t.Fatalf("actions = %v, want %v", actions, test.want)
			}
			for i, step := range actions {
				if step.Action != test.want[i] {
					t.Errorf("action %d = %v, want %v", i, step.Action, test.want[i])
				}
			}
		})
	}
}

// TestStalledSampleMovesWithoutHistory covers the first step of a new
// coordinator: one sample's stream has stalled, and no sample has finished from
// which the usual rate could be derived.
func TestStalledSampleMovesWithoutHistory(t *testing.T) {
	policy := Policy{GroupsPerStep: 1, GroupSize: 2, MaxTokens: 12, StalenessBound: 1}
	now := time.Unix(0, 0)
	scheduler := NewScheduler(0)
	scheduler.Load(core.DeliveryRecord{}, []string{"p"})
	scheduler.VersionPublished(1, now)
	runs := scheduler.Start(policy, 2, now)
	stalled, queued := runs[0], runs[1]
	var moved []SampleRun
	for range 12 {
		now = now.Add(minReviewInterval)
		scheduler.Observe(stalled, Progress{Tokens: 4, Oldest: 1}, now)
		scheduler.Observe(queued, Progress{}, now) // waiting for a slot is not a stall
		moved = append(moved, scheduler.Review(policy, now).Move...)
	}
	if len(moved) != 1 || moved[0].Run != stalled.Run {
		t.Fatalf("moved %v, want run %d once: a sample that waits for a slot must not move, nor one that was just moved", moved, stalled.Run)
	}
}

func TestAwaitNewestDependsOnIdleWeight(t *testing.T) {
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
		{"mostly staleness", lag, 2, 0.2, time.Second, true},
		{"mostly idle time", lag, 3, 0.7, time.Second, false},
		{"idle time only", lag, 1, 1, time.Second, false},
		{"wide bound", lag, 12, 0.4, time.Second, false},
		{"swap much longer than a step", 240 * time.Second, 2, 0.2, time.Second, false},
		{"unknown lag", 0, 2, 0, time.Second, false},
		{"swap overdue", lag, 2, 0, maxSwapLagFactor*lag + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			timings := &TrainerTimings{StepWork: work, SwapLag: test.lag}
			timings.VersionPublished(1, published.Add(-time.Hour))
			if timings.ShouldAwaitNewest(test.bound, test.weight, published.Add(-time.Hour)) {
				t.Error("waits for the first known version")
			}
			timings.VersionPublished(2, published)
			if got := timings.ShouldAwaitNewest(test.bound, test.weight, published.Add(test.after)); got != test.want {
				t.Errorf("waits for the newest version: %v, want %v", got, test.want)
			}
			timings.VersionInUse(1, published.Add(test.after))
			if got := timings.ShouldAwaitNewest(test.bound, test.weight, published.Add(test.after)); got != test.want {
				t.Error("use of an older version changed the decision")
			}
			timings.VersionInUse(2, published.Add(test.after))
			if timings.ShouldAwaitNewest(test.bound, test.weight, published.Add(test.after)) {
				t.Error("waits for a version that is in use")
			}
		})
	}
}

func TestOneProbeAtATimeForNewWeights(t *testing.T) {
	policy := Policy{GroupsPerStep: 2, GroupSize: 4, MaxTokens: 10, StalenessBound: 1}
	now := time.Unix(1000, 0)
	scheduler := NewScheduler(0)
	scheduler.Load(core.DeliveryRecord{}, []string{"p"})
	scheduler.timings.StepWork, scheduler.timings.SwapLag = time.Minute, 6*time.Second
	scheduler.VersionPublished(1, now)
	scheduler.VersionPublished(2, now)
	for range 3 {
		probes := scheduler.Start(policy, 100, now)
		if len(probes) != 1 || probes[0].Oldest != 2 {
			t.Fatalf("started %+v, want one probe on version 2", probes)
		}
		scheduler.RetrySample(probes[0]) // no engine has the weights
	}
	probe := scheduler.Start(policy, 100, now)
	if rest := scheduler.Start(policy, 100, now.Add(8*time.Second)); len(probe) != 1 || len(rest) != 2*8-1 {
		t.Errorf("%d samples started after the probe, want the remaining samples of two steps", len(rest))
	}
	if scheduler.timings.SwapLag != 6500*time.Millisecond {
		t.Errorf("swap lag %s after 6 s and 8 s, want 6.5 s", scheduler.timings.SwapLag)
	}
}

func TestReplacedRunsAreIgnored(t *testing.T) {
	policy := Policy{GroupsPerStep: 1, GroupSize: 1, MaxTokens: 10, StalenessBound: 1}
	now := time.Unix(0, 0)
	scheduler := NewScheduler(0)
	scheduler.Load(core.DeliveryRecord{}, []string{"p"})
	scheduler.VersionPublished(1, now)
	first := scheduler.Start(policy, 1, now)[0]
	scheduler.Observe(first, Progress{Tokens: 3, Oldest: 1}, now)
	scheduler.VersionPublished(3, now)
	if actions := scheduler.Review(policy, now); len(actions.Cancel) != 1 || actions.Cancel[0].Run != first.Run {
		t.Fatalf("actions = %+v, want the stale run cancelled", actions)
	}
	second := scheduler.Start(policy, 1, now)[0]
	if second.ID != first.ID || second.Run == first.Run {
		t.Fatalf("second run %+v after %+v, want the same sample under a new run", second, first)
	}
	old := core.Sample{ID: first.ID, Spans: []core.Span{{To: 1, Version: 1}}}
	if scheduler.SampleGenerated(first, 1, now) || scheduler.FinishSample(first, old, now) {
		t.Error("a replaced run was accepted")
	}
	if !scheduler.SampleGenerated(second, 1, now) || !scheduler.FinishSample(second, core.Sample{Spans: []core.Span{{To: 1, Version: 3}}}, now) {
		t.Error("the current run was rejected")
	}
	if count := scheduler.ResetStaleGroups([]core.GroupID{second.ID.Group}, 5, 1); count != 1 || len(scheduler.CompleteGroups()) != 0 {
		t.Errorf("%d samples too old, complete groups %v; want one sample restarted", count, scheduler.CompleteGroups())
	}
}

// BenchmarkReviewAndStart measures one review and one search for pending
// samples at the size expected in two years for one trainer: 8,192 samples
// being generated.
func BenchmarkReviewAndStart(b *testing.B) {
	policy := Policy{GroupsPerStep: 1024, GroupSize: 8, MaxTokens: 4096, StalenessBound: 4, IdleWeight: 0.5}
	now := time.Unix(0, 0)
	scheduler := NewScheduler(0)
	scheduler.Load(core.DeliveryRecord{}, []string{"p"})
	scheduler.VersionPublished(1, now)
	scheduler.history = *newTestHistory(20)
	for _, work := range scheduler.Start(policy, 8192, now) {
		scheduler.Observe(work, Progress{Tokens: 100, Oldest: 1}, now.Add(5*time.Second))
	}
	now = now.Add(6 * time.Second)
	b.Run("review", func(b *testing.B) {
		for b.Loop() {
			scheduler.Review(policy, now)
		}
	})
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			scheduler.Start(policy, 8192, now)
		}
	})
}

func TestSummaryReportsTrainerWait(t *testing.T) {
	scheduler, requestedAt := NewScheduler(0), time.Unix(1000, 0)
	scheduler.Load(core.DeliveryRecord{LastStep: 4, LastVersion: 4}, nil)
	scheduler.StepRequested(4, requestedAt)
	if summary := scheduler.Summary(); !summary.WaitsSince.IsZero() {
		t.Errorf("summary %+v, want no wait for a step that was fetched again", summary)
	}
	scheduler.StepRequested(5, requestedAt.Add(time.Second))
	scheduler.StepRequested(5, requestedAt.Add(time.Minute))
	if summary := scheduler.Summary(); summary.Asked != 5 || !summary.WaitsSince.Equal(requestedAt.Add(time.Second)) {
		t.Errorf("summary %+v, want a wait for step 5 since its first request", summary)
	}
	scheduler.BatchDelivered(core.DeliveryRecord{LastStep: 5, LastVersion: 5}, requestedAt.Add(time.Hour))
	if summary := scheduler.Summary(); !summary.WaitsSince.IsZero() {
		t.Errorf("summary %+v, want no wait after the step was fixed", summary)
	}
}
