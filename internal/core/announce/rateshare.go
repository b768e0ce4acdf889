package announce

import (
	"slices"

	"fescuespar/internal/core"
)

// Parts of a rate limit that are shared equally. The rest is shared by demand.
const (
	// reserveRateShare is for all processes, so that one without recent requests can
	// send some.
	reserveRateShare = 0.05
	// activeRateShare is for the processes with any demand, so that one of little demand
	// can send more.
	activeRateShare = 0.2
)

// Demand has grown if it is demandGrowth times and minGrowth requests a second more than
// what was announced.
const (
	demandGrowth = 2
	minGrowth    = 1
)

// RateShares returns a process's share of the rate limits that servers of a service advertise,
// for each service to which any process sends requests, and its share of those of other
// services. The shares of all processes that read the same rows sum to one.
//
// The load is one process that scores the samples of a whole service beside others that
// forward some lookups each, and the job of scoring passing on between them.
func (v *View) RateShares(self core.VMID) (shares map[string]float64, others float64) {
	processes := 0
	active := make(map[string]int) // processes with demand, by service
	total, own := make(map[string]float64), make(map[string]float64)
	for id, known := range v.rows {
		if known.isExpired() {
			continue
		}
		processes++
		for _, demand := range known.record.Demand {
			active[demand.Service]++
			total[demand.Service] += demand.PerSecond
			if id == self {
				own[demand.Service] = demand.PerSecond
			}
		}
	}
	others = 1 / float64(max(1, processes))
	shares = make(map[string]float64, len(total))
	for service, perSecond := range total {
		shares[service] = reserveRateShare * others
		if own[service] > 0 {
			byDemand := (1 - reserveRateShare - activeRateShare) * own[service] / perSecond
			shares[service] += activeRateShare/float64(active[service]) + byDemand
		}
	}
	return shares, others
}

// HasDemandGrown reports whether a process's demand has grown so much since it was
// announced that the next announcement should not wait.
func (v *View) HasDemandGrown(self core.VMID, now []core.ServiceDemand) bool {
	known := v.rows[self]
	if known == nil {
		return false
	}
	announced := make(map[string]float64)
	for _, demand := range known.record.Demand {
		announced[demand.Service] = demand.PerSecond
	}
	return slices.ContainsFunc(now, func(d core.ServiceDemand) bool {
		return d.PerSecond > demandGrowth*announced[d.Service]+minGrowth
	})
}
