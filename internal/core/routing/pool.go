package routing

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// serviceKey identifies a pool.
type serviceKey struct {
	kind    core.ServerKind
	service string
}

// pool is the set of servers that run one service, with their measured speed
// and load.
type pool struct {
	key            serviceKey
	regions        []*regionIndex
	detector       *outlier.Pool
	serverCount    int
	limitedCount   int // servers that advertise a rate limit
	paced          pacedServers
	bytesInFlight  int // of this process's requests
	demand         demand
	newestVersions []core.AdapterVersion // newest version ever reported for each adapter

	recentlyUsed [recentlyUsedCount]*server // by this process, most recent first

	speed           speed
	tokensPerStream float64 // exponential moving average over this process's requests
	reportedStreams float64 // moving average of the streams in a report
	ownStreams      float64 // moving average of this process's streams when a report was measured
}

// smoothingFactor is the weight of the newest value in a pool's moving averages.
const smoothingFactor = 0.05

func newPool(key serviceKey, policy *Policy) *pool {
	return &pool{key: key, speed: speed{base: 1 / policy.InitialTokensPerSecond}, detector: outlier.NewPool(policy.Outlier)}
}

// region returns the index of the named region, or nil.
func (p *pool) region(name core.RegionName) *regionIndex {
	for _, region := range p.regions {
		if region.name == name {
			return region
		}
	}
	return nil
}

// isOnlyIn reports whether all servers of the pool are in the named region.
func (p *pool) isOnlyIn(name core.RegionName) bool {
	return len(p.regions) == 1 && p.regions[0].name == name
}

// addServer adds a server to the pool and creates its region's index if needed.
func (p *pool) addServer(srv *server) {
	region := p.region(srv.vm.Region)
	if region == nil {
		region = &regionIndex{name: srv.vm.Region}
		p.regions = append(p.regions, region)
	}
	srv.pool, srv.region = p, region
	region.serverCount++
	p.detector.Add(&srv.health)
	p.serverCount++
	if srv.rateLimit.isActive {
		p.limitedCount++
	}
	if srv.pace.IsActive() {
		p.addPaced(srv)
	}
	p.bytesInFlight += srv.bytesInFlight
}

// addPaced adds a paced server, if it is not there yet.
func (p *pool) addPaced(srv *server) {
	p.paced.computedAt = time.Time{}
	if !slices.Contains(p.paced.servers, srv) {
		p.paced.servers = append(p.paced.servers, srv)
	}
}

func (p *pool) removePaced(srv *server) {
	p.paced.computedAt = time.Time{}
	p.paced.servers = slices.DeleteFunc(p.paced.servers, func(other *server) bool { return other == srv })
}

// recentlyUsedCount is how many recently used servers are candidates of every
// decision, so that idle connections are reused.
const recentlyUsedCount = 2

// recordUse records that a server was chosen.
func (p *pool) recordUse(srv *server) {
	if p.recentlyUsed[0] != srv {
		p.recentlyUsed[0], p.recentlyUsed[1] = srv, p.recentlyUsed[0]
	}
}

// removeServer removes a server from the pool and its indexes.
func (p *pool) removeServer(srv *server) {
	for i := range p.recentlyUsed {
		if p.recentlyUsed[i] == srv {
			p.recentlyUsed[i] = nil
		}
	}
	srv.region.removeFromIndex(srv)
	srv.region.serverCount--
	if srv.rateLimit.isActive {
		p.limitedCount--
	}
	if srv.region.serverCount == 0 {
		p.regions = slices.DeleteFunc(p.regions, func(r *regionIndex) bool { return r == srv.region })
	}
	p.removePaced(srv)
	p.bytesInFlight -= srv.bytesInFlight
	p.detector.Remove(&srv.health)
	p.serverCount--
	srv.pool, srv.region = nil, nil
}

// recordVersion records a version that an engine reported.
func (p *pool) recordVersion(adapter core.AdapterName, version core.WeightVersion) {
	for i := range p.newestVersions {
		if p.newestVersions[i].Adapter == adapter {
			p.newestVersions[i].Version = max(p.newestVersions[i].Version, version)
			return
		}
	}
	p.newestVersions = append(p.newestVersions, core.AdapterVersion{Adapter: adapter, Version: version})
}

// versionLag returns how many versions a version is behind the newest one of
// its adapter.
func (p *pool) versionLag(adapter core.AdapterName, version core.WeightVersion) uint64 {
	for i := range p.newestVersions {
		if p.newestVersions[i].Adapter == adapter && p.newestVersions[i].Version > version {
			return uint64(p.newestVersions[i].Version - version)
		}
	}
	return 0
}

// smooth updates a moving average; the first value initializes it.
func smooth(average *float64, value float64) {
	if *average == 0 {
		*average = value
		return
	}
	*average += smoothingFactor * (value - *average)
}

// updateStreamAverages adds a report's streams and this process's part of them
// to the moving averages.
func (p *pool) updateStreamAverages(reported, own int) {
	p.reportedStreams += smoothingFactor * (float64(reported) - p.reportedStreams)
	p.ownStreams += smoothingFactor * (float64(own) - p.ownStreams)
}

// peerRatio returns the estimated traffic of the other processes as a multiple
// of this process's traffic, at most the number of other processes.
func (p *pool) peerRatio(processes int) float64 {
	upperBound := float64(max(1, processes) - 1)
	if p.ownStreams <= 0 {
		return upperBound
	}
	return min(upperBound, max(0, p.reportedStreams/p.ownStreams-1))
}
