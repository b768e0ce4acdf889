package lease

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// Candidates is how many entry processes follow each lease, so that the reads
// at the table service do not grow with the number of processes.
const Candidates = 3

// Name returns the name of the lease of a deployment's coordinator.
func Name(deployment core.DeploymentName) string { return "deployment/" + string(deployment) }

// IsCandidate reports whether a process is among the first Candidates of the
// live ones in the named lease's own order of all processes (rendezvous hashing).
func IsCandidate(name string, self core.VMID, live []core.Member) bool {
	own, ahead := rendezvous.Rank(name, string(self)), 0
	for i := range live {
		if rendezvous.Rank(name, string(live[i].VM)) < own {
			ahead++
		}
		if ahead == Candidates {
			return false
		}
	}
	return true
}
