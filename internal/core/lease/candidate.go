package lease

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// CandidatesPerLease is the number of entry processes that compete for each
// lease. It is fixed so that the reads of the table service do not grow with
// the fleet.
const CandidatesPerLease = 3

// CoordinatorLeaseName returns the name of the lease of a deployment's coordinator.
func CoordinatorLeaseName(deployment core.DeploymentName) string {
	return "deployment/" + string(deployment)
}

// IsCandidate reports whether a process is among the first CandidatesPerLease live
// processes in the order of the named lease, which is given by rendezvous hashing.
func IsCandidate(name string, self core.VMID, live []core.Member) bool {
	own, ahead := rendezvous.Rank(name, string(self)), 0
	for i := range live {
		if rendezvous.Rank(name, string(live[i].VM)) < own {
			ahead++
		}
		if ahead == CandidatesPerLease {
			return false
		}
	}
	return true
}
