package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// demandMemory is the time constant of the average of this process's requests.
	demandMemory = 2 * time.Second
	// minDemand, in requests a second, is the least that is reported.
	minDemand = 0.05
)

// demand is the average number of requests a second that this process sends, or would
// send without rate limits, to the servers of one pool.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time) {
	d.perSecond, d.at = d.value(now)+1/demandMemory.Seconds(), now
}

func (d *demand) value(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandMemory.Seconds())
}

// Demand returns the requests a second that this process sends, or would send without
// rate limits, to the servers of each service, sorted by service.
func (s *State) Demand(now time.Time) []core.ServiceDemand {
	var demands []core.ServiceDemand
	for _, pool := range s.poolsByCreation {
		if perSecond := pool.demand.value(now); perSecond >= minDemand {
			demands = append(demands, core.ServiceDemand{Service: pool.key.service, PerSecond: perSecond})
		}
	}
	slices.SortFunc(demands, func(a, b core.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}
