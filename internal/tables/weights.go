package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/lockrank"
)

// Weights holds the newest weight version of each deployment and the progress of
// its rolling update over the engines.
type Weights struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	newest   map[core.DeploymentName]core.WeightVersion
	learned  map[core.DeploymentName]time.Time // when the newest version became known
	rollouts map[core.DeploymentName]*weights.VersionRollout
	splits   map[string]*weights.EngineSplit // by service
}

// NewWeights returns a table without versions.
func NewWeights() *Weights {
	return &Weights{
		mu:       lockrank.New(lockrank.RankWeights),
		newest:   make(map[core.DeploymentName]core.WeightVersion),
		learned:  make(map[core.DeploymentName]time.Time),
		rollouts: make(map[core.DeploymentName]*weights.VersionRollout),
		splits:   make(map[string]*weights.EngineSplit),
	}
}

// RecordPublished records a published version. It returns true if it is newer
// than the known one.
func (t *Weights) RecordPublished(name core.DeploymentName, version core.WeightVersion, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.newest[name] {
		return false
	}
	t.newest[name] = version
	t.learned[name] = now
	return true
}

// Newest returns the newest known version of a deployment, or zero.
func (t *Weights) Newest(name core.DeploymentName) core.WeightVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest[name]
}

// Progress returns the newest known version of a deployment, when it became
// known, and for how many engines the last order that this process sent failed.
func (t *Weights) Progress(name core.DeploymentName) (newest core.WeightVersion, learned time.Time, failing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rollout := t.rollouts[name]; rollout != nil {
		failing = rollout.FailingCount()
	}
	return t.newest[name], t.learned[name], failing
}

// NewestVersions returns the newest known version of every deployment, unsorted.
func (t *Weights) NewestVersions() []core.WeightUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make([]core.WeightUpdate, 0, len(t.newest))
	for name, version := range t.newest {
		versions = append(versions, core.WeightUpdate{Deployment: name, Version: version})
	}
	return versions
}

// SelectEngines selects the engines to order next to load a version.
func (t *Weights) SelectEngines(name core.DeploymentName, engines []weights.Engine, version core.WeightVersion,
	policy weights.Policy, now time.Time) weights.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	rollout := t.rollouts[name]
	if rollout == nil {
		rollout = weights.NewVersionRollout()
		t.rollouts[name] = rollout
	}
	return rollout.Decide(engines, version, policy, now)
}

// AssignModels assigns the engines of a service to models by demand and returns the
// engines of each model.
func (t *Weights) AssignModels(service string, engines []core.ServerID, demand map[core.ModelName]float64) map[core.ModelName][]core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.splits[service] == nil {
		t.splits[service] = weights.NewEngineSplit()
	}
	return t.splits[service].Divide(engines, demand)
}

// OrderRefused records that an engine did not accept an order, or that its reply
// was lost.
func (t *Weights) OrderRefused(name core.DeploymentName, server core.ServerID, version core.WeightVersion,
	policy weights.Policy, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rollout := t.rollouts[name]; rollout != nil {
		rollout.OrderFailed(server, version, policy, now)
	}
}

// WithdrawOrder removes an order that was not sent.
func (t *Weights) WithdrawOrder(name core.DeploymentName, server core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rollout := t.rollouts[name]; rollout != nil {
		rollout.CancelOrder(server)
	}
}

// StopUpdate drops a deployment's rolling update after its lease was lost.
func (t *Weights) StopUpdate(name core.DeploymentName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rollouts, name)
}
