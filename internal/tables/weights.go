package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

type orderRow struct {
	version core.WeightVersion
	until   time.Time // when the order counts as failed
}

// Weights holds the newest weight version of each deployment and the orders
// to load one that are under way.
type Weights struct {
	// mu guards all fields below.
	mu     lockrank.Mutex
	newest map[core.DeploymentName]core.WeightVersion
	orders map[core.ServerID]orderRow
}

// NewWeights returns a table that knows no version.
func NewWeights() *Weights {
	return &Weights{
		mu:     lockrank.New(lockrank.RankWeights),
		newest: make(map[core.DeploymentName]core.WeightVersion),
		orders: make(map[core.ServerID]orderRow),
	}
}

// Learn takes in a published version. It returns true when it is new.
func (t *Weights) Learn(name core.DeploymentName, version core.WeightVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.newest[name] {
		return false
	}
	t.newest[name] = version
	return true
}

// Newest returns the newest known version of a deployment, or zero.
func (t *Weights) Newest(name core.DeploymentName) core.WeightVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest[name]
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

// BeginOrder notes an order to load a version. It returns false while one for
// that version or a later one is under way.
func (t *Weights) BeginOrder(server core.ServerID, version core.WeightVersion, now, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	order, ok := t.orders[server]
	if ok && order.version >= version && now.Before(order.until) {
		return false
	}
	t.orders[server] = orderRow{version: version, until: until}
	return true
}

// EndOrder forgets an order that was refused, so that it can be given again.
func (t *Weights) EndOrder(server core.ServerID, version core.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.orders[server].version == version {
		delete(t.orders, server)
	}
}
