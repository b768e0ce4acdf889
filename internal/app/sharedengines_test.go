package app_test

import (
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest"
)

const (
	notes        core.AdapterName    = "notes"
	notesModel   core.DeploymentName = "coach-notes"
	notesTrainer core.CallerName     = "notes-trainer"

	ordersLeaseName = "orders/coach-model" // the lease on orders to the model's engines
)

// sharedDeployments returns deployments in which two trainers share the engines
// of one model, which check fencing numbers.
func sharedDeployments() []core.Deployment {
	second := testDeployments[1]
	second.Name, second.Adapter = notesModel, notes
	rollout := *second.Rollout
	rollout.Trainer = notesTrainer
	second.Rollout = &rollout
	return []core.Deployment{testDeployments[0], testDeployments[1], second}
}

// TestTrainersShareEngines lets two trainers publish versions while the
// processes that give the orders are cut off in turn. Every engine must load
// each trainer's newest version although it obeys only the highest fencing
// number.
func TestTrainersShareEngines(t *testing.T) {
	engine := backendtest.NewEngine(backendtest.EngineOptions{Model: "coach-model", Version: 1, ExtraAdapters: 1})
	c := newClusterWith(t, clusterOptions{size: 4, timeout: testTimeout, deployments: sharedDeployments(), wrapPorts: func(p *app.Ports) {
		p.Engine = ports.Engine(engine)
	}})
	for version := core.WeightVersion(2); version <= 6; version++ {
		if version%2 == 0 {
			c.moveLease(ordersLeaseName)
		}
		c.publishWeights(coach, model, version)
		c.publishWeights(notesTrainer, notesModel, version+100)
		for _, id := range []core.ServerID{"engine-1", "engine-2", "engine-3"} {
			if err := engine.Server(id).WaitVersion(c.ctx, version); err != nil {
				t.Fatalf("%s did not serve version %d of the first trainer: %v", id, version, err)
			}
			if err := engine.Server(id).WaitAdapter(c.ctx, notes, version+100); err != nil {
				t.Fatalf("%s did not serve version %d of the second trainer: %v", id, version+100, err)
			}
		}
	}
}

// moveLease cuts the holder of a lease off until another service holds it.
func (c *cluster) moveLease(lease string) {
	c.t.Helper()
	_, address := c.leaseHolder(lease)
	c.network.setCut(address, true)
	c.leaseHolder(lease)
	c.network.setCut(address, false)
}

// publishWeights publishes a version, trying the services in turn until one
// succeeds.
func (c *cluster) publishWeights(trainer core.CallerName, name core.DeploymentName, version core.WeightVersion) {
	c.t.Helper()
	for number := 0; c.ctx.Err() == nil; number++ {
		err := c.services[number%len(c.services)].PublishWeights(c.ctx, trainer, name, version)
		if err == nil {
			return
		}
		if !errkind.AnswerTo(err).Retryable {
			c.t.Fatal(err)
		}
	}
}
