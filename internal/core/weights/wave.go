package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Bounds of the share of a zone's engines that may load at the same time.
const (
	minLoadingShare = 0.25 // at an idle weight of 1
	maxLoadingShare = 1.0  // at an idle weight of 0
)

// LoadingShare returns the share of each availability zone's engines that may
// load at the same time. A high idle weight gives small waves, which preserve
// capacity; a low one gives large waves, which replace old weights sooner. In
// either case the waves are large enough for all engines to load within the
// target.
func LoadingShare(policy Policy, loadTime time.Duration) float64 {
	share := maxLoadingShare - policy.IdleWeight*(maxLoadingShare-minLoadingShare)
	if loadTime <= 0 {
		return share
	}
	waves := math.Floor(policy.TargetTime.Seconds() / loadTime.Seconds())
	return max(share, 1/max(waves, 1))
}

// loadingCounts counts the engines that are loading, by zone and region.
type loadingCounts struct {
	enginesInZone   map[core.ZoneName]int
	loadingInZone   map[core.ZoneName]int
	loadingInRegion map[core.RegionName]int
	loadingTotal    int
}

func newLoadingCounts(engines []Engine) *loadingCounts {
	counts := &loadingCounts{
		enginesInZone:   make(map[core.ZoneName]int),
		loadingInZone:   make(map[core.ZoneName]int),
		loadingInRegion: make(map[core.RegionName]int),
	}
	for i := range engines {
		counts.enginesInZone[engines[i].Zone]++
	}
	return counts
}

func (l *loadingCounts) addLoading(engine *Engine) {
	l.loadingInZone[engine.Zone]++
	l.loadingInRegion[engine.Region]++
	l.loadingTotal++
}

// canStart reports whether another engine may start to load.
func (l *loadingCounts) canStart(engine *Engine, share float64, policy *Policy) bool {
	if policy.MaxLoading > 0 && l.loadingTotal >= policy.MaxLoading {
		return false
	}
	limit := max(1, int(math.Ceil(share*float64(l.enginesInZone[engine.Zone]))))
	if l.loadingInZone[engine.Zone] >= limit {
		return false
	}
	return policy.MaxLoadingPerRegion == 0 || l.loadingInRegion[engine.Region] < policy.MaxLoadingPerRegion
}

// selectOrders starts swaps on engines that are ready, those with the fewest
// tokens in flight first, as far as the limits of their zone and region allow.
func (r *VersionRollout) selectOrders(ready []*Engine, counts *loadingCounts, version core.WeightVersion, policy Policy, now time.Time) []core.ServerID {
	slices.SortFunc(ready, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Server, b.Server))
	})
	share := LoadingShare(policy, r.loadTime)
	var orders []core.ServerID
	for _, engine := range ready {
		if !counts.canStart(engine, share, &policy) {
			continue
		}
		counts.addLoading(engine)
		r.startSwap(engine.Server, version, policy, now)
		orders = append(orders, engine.Server)
	}
	return orders
}
