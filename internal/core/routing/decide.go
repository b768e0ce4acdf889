package routing

import (
	"math/rand/v2"
	"slices"

	"fescuespar/internal/core"
)

// A filter reports whether a server may run the request.
type filter func(row *server, query *Query) bool

// filters are applied in order; a server must pass all of them.
var filters = []filter{serves, isLive, notExcluded, freshEnough}

func serves(row *server, query *Query) bool {
	return row.vm.Kind == query.Kind && row.vm.Service == query.Service
}

func isLive(row *server, _ *Query) bool { return row.vm.State == core.VMLive }

func notExcluded(row *server, query *Query) bool {
	return !slices.Contains(query.Exclude, row.vm.ID)
}

func freshEnough(row *server, query *Query) bool {
	return query.Version == 0 || row.status.Version >= query.Version
}

func passes(row *server, query *Query) bool {
	for _, f := range filters {
		if !f(row, query) {
			return false
		}
	}
	return true
}

// crossRegionCostTokens is what running in another region costs, expressed in
// tokens of load that it equals.
const crossRegionCostTokens = 4096

// cost rates a server; the smallest is best.
func cost(row *server, query *Query) int {
	total := row.inFlight + row.status.QueuedTokens
	if row.vm.Region != query.Region {
		total += crossRegionCostTokens
	}
	return total
}

// pick draws two servers and takes the cheaper one, so that many entry VMs with
// the same late reports do not all choose the server that looked idle.
func pick(fit []*server, query *Query, random *rand.Rand) *server {
	first := fit[random.IntN(len(fit))]
	second := fit[random.IntN(len(fit))]
	if cost(second, query) < cost(first, query) {
		return second
	}
	return first
}
