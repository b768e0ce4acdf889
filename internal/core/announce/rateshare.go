package announce

import "fescuespar/internal/core"

// equalRateShare is the part of a rate limit that all processes share equally, so that a
// process without recent requests can send some.
const equalRateShare = 0.25

// RateShares returns a process's share of the rate limits that servers of a service name,
// for each service to which any process sends requests, and its share of those of other
// services. The shares of all processes that read the same rows sum to one.
//
// The load is one process that scores the samples of a whole service beside others that
// forward some lookups each, and the job of scoring passing on between them.
func (v *View) RateShares(self core.VMID) (shares map[string]float64, others float64) {
	processes := 0
	total, own := make(map[string]float64), make(map[string]float64)
	for id, known := range v.rows {
		if known.isExpired() {
			continue
		}
		processes++
		for _, demand := range known.record.Demand {
			total[demand.Service] += demand.PerSecond
			if id == self {
				own[demand.Service] = demand.PerSecond
			}
		}
	}
	others = 1 / float64(max(1, processes))
	shares = make(map[string]float64, len(total))
	for service, perSecond := range total {
		shares[service] = equalRateShare*others + (1-equalRateShare)*own[service]/perSecond
	}
	return shares, others
}
