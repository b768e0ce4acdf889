package app_test

import (
	"fmt"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// trainer fetches batches as a trainer does, from any entry process, and checks
// what trainers are promised.
type trainer struct {
	c    *cluster
	seen map[core.SampleID]core.Step
}

func newTrainer(c *cluster) *trainer { return &trainer{c: c, seen: make(map[core.SampleID]core.Step)} }

// fetch asks one service after the other until one gives the batch.
func (tr *trainer) fetch(step core.Step, version core.WeightVersion) core.Batch {
	tr.c.t.Helper()
	request := core.BatchRequest{Deployment: model, Step: step, Version: version}
	for number := 0; tr.c.ctx.Err() == nil; number++ {
		batch, err := tr.c.services[number%len(tr.c.services)].Batch(tr.c.ctx, coach, request)
		if err == nil {
			return batch
		}
		if !errkind.AnswerTo(err).Retryable {
			tr.c.t.Fatalf("step %d: %v", step, err)
		}
	}
	tr.c.t.Fatalf("no batch for step %d", step)
	return core.Batch{}
}

// step publishes a version for the step, fetches its batch twice and checks it.
func (tr *trainer) step(step core.Step) {
	tr.c.t.Helper()
	tr.stepAt(step, core.WeightVersion(step))
}

// stepAt is a step at the given version.
func (tr *trainer) stepAt(step core.Step, version core.WeightVersion) {
	tr.c.t.Helper()
	tr.publish(version)
	batch, again := tr.fetch(step, version), tr.fetch(step, version)
	if fmt.Sprint(batch) != fmt.Sprint(again) {
		tr.c.t.Errorf("step %d: fetching again gave another batch", step)
	}
	for g := range batch.Groups {
		for i := range batch.Groups[g].Samples {
			tr.check(&batch, &batch.Groups[g].Samples[i])
		}
	}
}

func (tr *trainer) publish(version core.WeightVersion) {
	tr.c.t.Helper()
	tr.c.publishWeights(coach, model, version)
}

func (tr *trainer) check(batch *core.Batch, sample *core.Sample) {
	tr.c.t.Helper()
	if before, ok := tr.seen[sample.ID]; ok {
		tr.c.t.Errorf("sample %s delivered at steps %d and %d", sample.ID, before, batch.Step)
	}
	tr.seen[sample.ID] = batch.Step
	if oldest := sample.OldestVersion(); oldest == 0 || oldest+2 < batch.Version {
		tr.c.t.Errorf("sample %s of weights %d for a trainer at %d", sample.ID, oldest, batch.Version)
	}
	covered := 0
	for _, span := range sample.Spans {
		if span.From != covered {
			tr.c.t.Errorf("sample %s: spans %v", sample.ID, sample.Spans)
		}
		covered = span.To
	}
	if covered != len(sample.Tokens) || covered == 0 {
		tr.c.t.Errorf("sample %s: spans %v for %d tokens", sample.ID, sample.Spans, len(sample.Tokens))
	}
}

// TestStepsAreDeliveredOnceUnderFaults injects a fault before every step.
func TestStepsAreDeliveredOnceUnderFaults(t *testing.T) {
	const steps = 5
	stepFault := func(event faults.Event) func(*cluster) {
		return func(c *cluster) {
			c.tables.Inject(faults.Order{Operation: faults.Commit, Event: event, Table: core.TableStep, Count: 1})
		}
	}
	cases := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"none", func(*cluster) {}},
		{"reply to the step's commit lost after its effect", stepFault(faults.DropAfter)},
		{"step's commit lost before its effect", stepFault(faults.DropBefore)},
		{"step's commit refused", stepFault(faults.Refuse)},
		{"reply to the body's put lost", func(c *cluster) {
			c.objects.Inject(faults.Order{Operation: faults.ObjectWrite, Event: faults.DropAfter, Count: 1})
		}},
		{"reply to a lease's commit lost", func(c *cluster) {
			c.tables.Inject(faults.Order{Operation: faults.Commit, Event: faults.DropAfter, Table: core.TableLease, Count: 1})
		}},
		{"coordinator cut off and back", func(c *cluster) {
			_, address := c.owner()
			c.network.setCut(address, true)
			c.owner()
			c.network.setCut(address, false)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3)
			tr := newTrainer(c)
			for step := range core.Step(steps) {
				test.fault(c)
				tr.step(step + 1)
			}
			if len(tr.seen) != steps*6 {
				t.Errorf("%d samples delivered, want %d", len(tr.seen), steps*6)
			}
		})
	}
}

// TestCutOffCoordinatorFixesNothing keeps a coordinator cut off: it may not
// answer as the coordinator once its lease has lapsed, and its successor may.
func TestCutOffCoordinatorFixesNothing(t *testing.T) {
	c := newCluster(t, 3)
	tr := newTrainer(c)
	tr.step(1)
	former, address := c.owner()
	c.network.setCut(address, true)
	c.owner()
	request := core.BatchRequest{Deployment: model, Step: 2, Version: 2}
	if batch, err := former.Batch(c.ctx, coach, request); err == nil {
		t.Errorf("a cut-off coordinator gave a batch of %d groups", len(batch.Groups))
	}
	var rest []*app.Service
	for _, s := range c.services {
		if s != former {
			rest = append(rest, s)
		}
	}
	c.services = rest
	tr.step(2)
	tr.step(3)
}

// TestTrainerRequestsAreChecked covers a foreign trainer and a skipped step.
func TestTrainerRequestsAreChecked(t *testing.T) {
	c := newCluster(t, 1)
	newTrainer(c).step(1)
	for _, test := range []struct {
		trainer core.CallerName
		step    core.Step
		want    errkind.Kind
	}{{"stranger", 2, errkind.Forbidden}, {coach, 3, errkind.StepConflict}} {
		request := core.BatchRequest{Deployment: model, Step: test.step, Version: 2}
		if _, err := c.services[0].Batch(c.ctx, test.trainer, request); !errkind.Is(err, test.want) {
			t.Errorf("%s asking for step %d: %v, want %s", test.trainer, test.step, err, test.want)
		}
	}
}
