package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Bounds of the share of a zone's engines that swap at one time.
const (
	smallestShare = 0.25 // at an idle weight of 1
	largestShare  = 1.0  // at an idle weight of 0
)

// Share returns the share of each availability zone's engines that may load at
// one time. A high idle weight asks for small waves, so that capacity stays; a
// low one for large waves, so that old weights are gone sooner. Either way the
// waves must be few enough for all engines to have loaded within the target.
func Share(policy Policy, loadTime time.Duration) float64 {
	share := largestShare - policy.IdleWeight*(largestShare-smallestShare)
	if loadTime <= 0 {
		return share
	}
	waves := math.Floor(policy.Target.Seconds() / loadTime.Seconds())
	return max(share, 1/max(waves, 1))
}

// regionLoad counts the engines that load.
type regionLoad struct {
	zones    map[core.ZoneName]int // engines in all
	loading  map[core.ZoneName]int
	inRegion map[core.RegionName]int // engines loading
	all      int                     // engines loading
}

func newRegionLoad(engines []Engine) *regionLoad {
	load := &regionLoad{
		zones:    make(map[core.ZoneName]int),
		loading:  make(map[core.ZoneName]int),
		inRegion: make(map[core.RegionName]int),
	}
	for i := range engines {
		load.zones[engines[i].Zone]++
	}
	return load
}

func (l *regionLoad) start(engine *Engine) {
	l.loading[engine.Zone]++
	l.inRegion[engine.Region]++
	l.all++
}

// room reports whether another engine may begin to load.
func (l *regionLoad) room(engine *Engine, share float64, policy *Policy) bool {
	if policy.AtOnce > 0 && l.all >= policy.AtOnce {
		return false
	}
	most := max(1, int(math.Ceil(share*float64(l.zones[engine.Zone]))))
	if l.loading[engine.Zone] >= most {
		return false
	}
	return policy.PerRegion == 0 || l.inRegion[engine.Region] < policy.PerRegion
}

// order begins swaps of engines that are ready, those with the least work in
// flight first, while their zone and region have room.
func (r *Roll) order(ready []*Engine, load *regionLoad, version core.WeightVersion, policy Policy, now time.Time) []core.ServerID {
	slices.SortFunc(ready, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Server, b.Server))
	})
	share := Share(policy, r.loadTime)
	var orders []core.ServerID
	for _, engine := range ready {
		if !load.room(engine, share, &policy) {
			continue
		}
		load.start(engine)
		r.begin(engine.Server, version, policy, now)
		orders = append(orders, engine.Server)
	}
	return orders
}
