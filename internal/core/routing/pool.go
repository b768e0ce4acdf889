package routing

import (
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// serviceKey names a pool.
type serviceKey struct {
	kind    core.ServerKind
	service string
}

// pool is the servers that run one service, with what was measured of them.
type pool struct {
	key      serviceKey
	regions  []*regionIndex
	detector *outlier.Pool
	size     int
	newest   []core.AdapterVersion // newest version ever reported of each adapter

	recent [recentServers]*server // last used by this process

	speed           speed
	tokensPerStream float64 // smoothed over this process's requests
	reportedStreams float64 // smoothed streams in a report
	ownStreams      float64 // smoothed streams of this process at the report's time
}

// poolSmoothing is the weight of the newest value in a pool's averages.
const poolSmoothing = 0.05

func newPool(key serviceKey, policy *Policy) *pool {
	return &pool{key: key, speed: speed{base: 1 / policy.Speed}, detector: outlier.NewPool(policy.Outlier)}
}

// region returns the index of a region, or nil.
func (p *pool) region(name core.RegionName) *regionIndex {
	for _, region := range p.regions {
		if region.name == name {
			return region
		}
	}
	return nil
}

// isOnlyIn reports whether no server of the pool is in another region.
func (p *pool) isOnlyIn(name core.RegionName) bool {
	return len(p.regions) == 1 && p.regions[0].name == name
}

// join adds a server.
func (p *pool) join(row *server) {
	region := p.region(row.vm.Region)
	if region == nil {
		region = &regionIndex{name: row.vm.Region}
		p.regions = append(p.regions, region)
	}
	row.pool, row.region = p, region
	region.size++
	p.detector.Add(&row.health)
	p.size++
}

// recentServers is how many of the servers last used are candidates of every
// decision, so that kept connections are used again.
const recentServers = 2

// used notes that a server was chosen.
func (p *pool) used(row *server) {
	if p.recent[0] != row {
		p.recent[0], p.recent[1] = row, p.recent[0]
	}
}

// leave removes a server.
func (p *pool) leave(row *server) {
	for i := range p.recent {
		if p.recent[i] == row {
			p.recent[i] = nil
		}
	}
	row.region.unplace(row)
	row.region.size--
	if row.region.size == 0 {
		p.regions = slices.DeleteFunc(p.regions, func(r *regionIndex) bool { return r == row.region })
	}
	p.detector.Remove(&row.health)
	p.size--
	row.pool, row.region = nil, nil
}

// see notes a version that an engine reported.
func (p *pool) see(adapter core.AdapterName, version core.WeightVersion) {
	for i := range p.newest {
		if p.newest[i].Adapter == adapter {
			p.newest[i].Version = max(p.newest[i].Version, version)
			return
		}
	}
	p.newest = append(p.newest, core.AdapterVersion{Adapter: adapter, Version: version})
}

// lag returns how many versions a version is behind the newest.
func (p *pool) lag(adapter core.AdapterName, version core.WeightVersion) uint64 {
	for i := range p.newest {
		if p.newest[i].Adapter == adapter && p.newest[i].Version > version {
			return uint64(p.newest[i].Version - version)
		}
	}
	return 0
}

func smooth(average *float64, value float64) {
	if *average == 0 {
		*average = value
		return
	}
	*average += poolSmoothing * (value - *average)
}

// measureShare compares a report with this process's own part of it.
func (p *pool) measureShare(reported, own int) {
	p.reportedStreams += poolSmoothing * (float64(reported) - p.reportedStreams)
	p.ownStreams += poolSmoothing * (float64(own) - p.ownStreams)
}

// peers returns how many times this process's own traffic the other processes
// send, at most what as many equal processes would.
func (p *pool) peers(processes int) float64 {
	most := float64(max(1, processes) - 1)
	if p.ownStreams <= 0 {
		return most
	}
	return min(most, max(0, p.reportedStreams/p.ownStreams-1))
}
