package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/lockrank"
)

// Weights holds the newest weight version of each deployment and how far it
// has been rolled over the engines.
type Weights struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	newest  map[core.DeploymentName]core.WeightVersion
	learned map[core.DeploymentName]time.Time // when the newest became known
	rolls   map[core.DeploymentName]*weights.Roll
	splits  map[string]*weights.Split // by service
}

// NewWeights returns a table that knows no version.
func NewWeights() *Weights {
	return &Weights{
		mu:      lockrank.New(lockrank.RankWeights),
		newest:  make(map[core.DeploymentName]core.WeightVersion),
		learned: make(map[core.DeploymentName]time.Time),
		rolls:   make(map[core.DeploymentName]*weights.Roll),
		splits:  make(map[string]*weights.Split),
	}
}

// Learn takes in a published version. It returns true when it is new.
func (t *Weights) Learn(name core.DeploymentName, version core.WeightVersion, now time.Time) bool {
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
// known, and how many engines' last order failed, of those ordered here.
func (t *Weights) Progress(name core.DeploymentName) (newest core.WeightVersion, learned time.Time, failing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if roll := t.rolls[name]; roll != nil {
		failing = roll.Failing()
	}
	return t.newest[name], t.learned[name], failing
}

// News returns the newest version of every deployment.
func (t *Weights) News() []core.WeightNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := make([]core.WeightNews, 0, len(t.newest))
	for name, version := range t.newest {
		news = append(news, core.WeightNews{Deployment: name, Version: version})
	}
	return news
}

// Roll chooses the engines that are to be ordered next to load a version.
func (t *Weights) Roll(name core.DeploymentName, engines []weights.Engine, version core.WeightVersion,
	policy weights.Policy, now time.Time) weights.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	roll := t.rolls[name]
	if roll == nil {
		roll = weights.NewRoll()
		t.rolls[name] = roll
	}
	return roll.Decide(engines, version, policy, now)
}

// Divide returns which engines of a service serve which model.
func (t *Weights) Divide(service string, engines []core.ServerID, demand map[core.ModelName]float64) map[core.ModelName][]core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.splits[service] == nil {
		t.splits[service] = weights.NewSplit()
	}
	return t.splits[service].Divide(engines, demand)
}

// OrderRefused notes that an engine did not accept an order, or that its reply
// was lost.
func (t *Weights) OrderRefused(name core.DeploymentName, server core.ServerID, version core.WeightVersion,
	policy weights.Policy, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if roll := t.rolls[name]; roll != nil {
		roll.Refused(server, version, policy, now)
	}
}

// WithdrawOrder takes back an order that was not sent.
func (t *Weights) WithdrawOrder(name core.DeploymentName, server core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if roll := t.rolls[name]; roll != nil {
		roll.Withdraw(server)
	}
}

// StopRolling forgets a deployment's orders, after its lease was lost.
func (t *Weights) StopRolling(name core.DeploymentName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rolls, name)
}
