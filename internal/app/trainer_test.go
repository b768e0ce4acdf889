package app_test

import (
	"fmt"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// trainer fetches batches from any entry process and checks the guarantees
// given to trainers.
type trainer struct {
	c           *cluster
	deliveredAt map[core.SampleID]core.Step
}

func newTrainer(c *cluster) *trainer {
	return &trainer{c: c, deliveredAt: make(map[core.SampleID]core.Step)}
}

// fetch requests a batch, trying the services in turn until one returns it.
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
	tr.c.t.Fatalf("timed out waiting for the batch of step %d", step)
	return core.Batch{}
}

// step publishes a version for the step, fetches its batch twice and checks it.
func (tr *trainer) step(step core.Step) {
	tr.c.t.Helper()
	tr.stepAt(step, core.WeightVersion(step))
}

// stepAt is step with the given version.
func (tr *trainer) stepAt(step core.Step, version core.WeightVersion) {
	tr.c.t.Helper()
	tr.publish(version)
	batch, again := tr.fetch(step, version), tr.fetch(step, version)
	if fmt.Sprint(batch) != fmt.Sprint(again) {
		tr.c.t.Errorf("step %d: the second fetch returned another batch", step)
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
	if before, ok := tr.deliveredAt[sample.ID]; ok {
		tr.c.t.Errorf("sample %s delivered at steps %d and %d", sample.ID, before, batch.Step)
	}
	tr.deliveredAt[sample.ID] = batch.Step
	if oldest := sample.OldestVersion(); oldest == 0 || oldest+2 < batch.Version {
		tr.c.t.Errorf("sample %s has tokens of weights %d for a trainer at version %d", sample.ID, oldest, batch.Version)
	}
	covered := 0
	for _, span := range sample.Spans {
		if span.From != covered {
			tr.c.t.Errorf("sample %s: spans %v are not contiguous", sample.ID, sample.Spans)
		}
		covered = span.To
	}
	if covered != len(sample.Tokens) || covered == 0 {
		tr.c.t.Errorf("sample %s: spans %v do not cover its %d tokens", sample.ID, sample.Spans, len(sample.Tokens))
	}
}

// TestStepsAreDeliveredOnceUnderFaults injects a fault before every step.
func TestStepsAreDeliveredOnceUnderFaults(t *testing.T) {
	const steps = 5
	stepFault := func(event faults.Event) func(*cluster) {
		return func(c *cluster) {
			c.tables.Inject(faults.Rule{Operation: faults.Commit, Event: event, Table: core.TableStep, Count: 1})
		}
	}
	cases := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"reply to the step's commit lost after its effect", stepFault(faults.DropAfter)},
		{"step's commit lost before its effect", stepFault(faults.DropBefore)},
		{"step's commit refused", stepFault(faults.Refuse)},
		{"reply to the body's put lost", func(c *cluster) {
			c.objects.Inject(faults.Rule{Operation: faults.ObjectWrite, Event: faults.DropAfter, Count: 1})
		}},
		{"reply to a lease's commit lost", func(c *cluster) {
			c.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.DropAfter, Table: core.TableLease, Count: 1})
		}},
		{"coordinator cut off and back", func(c *cluster) {
			_, address := c.coordinator()
			c.network.setCut(address, true)
			c.coordinator()
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
			if len(tr.deliveredAt) != steps*6 {
				t.Errorf("%d samples delivered, want %d", len(tr.deliveredAt), steps*6)
			}
		})
	}
}

// TestCutOffCoordinatorDeliversNoBatch keeps a coordinator cut off. It must not
// deliver a batch once its lease has expired, and its successor must.
func TestCutOffCoordinatorDeliversNoBatch(t *testing.T) {
	c := newCluster(t, 3)
	tr := newTrainer(c)
	tr.step(1)
	cutOff, address := c.coordinator()
	c.network.setCut(address, true)
	c.coordinator()
	request := core.BatchRequest{Deployment: model, Step: 2, Version: 2}
	if batch, err := cutOff.Batch(c.ctx, coach, request); err == nil {
		t.Errorf("a cut-off coordinator delivered a batch of %d groups", len(batch.Groups))
	}
	var others []*app.Service
	for _, s := range c.services {
		if s != cutOff {
			others = append(others, s)
		}
	}
	c.services = others
	tr.step(2)
	tr.step(3)
}

// TestTrainerRequestsAreChecked covers requests of a foreign trainer and for a
// skipped step.
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
			t.Errorf("caller %s requested step %d: got %v, want kind %s", test.trainer, test.step, err, test.want)
		}
	}
}
