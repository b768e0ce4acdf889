// Package route decides which route and which service a request takes.
package route

import (
	"math/rand/v2"
	"strings"

	"fescuespar/internal/core"
)

// Match returns the route of the host with the longest prefix of the path.
func Match(table *core.RouteTable, host, path string) (*core.Route, bool) {
	var found *core.Route
	for i := range table.Routes {
		candidate := &table.Routes[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if found == nil || len(candidate.Prefix) > len(found.Prefix) {
			found = candidate
		}
	}
	return found, found != nil
}

// ServesHost reports whether any route has the host.
func ServesHost(table *core.RouteTable, host string) bool {
	for i := range table.Routes {
		if table.Routes[i].Host == host {
			return true
		}
	}
	return false
}

// Choose draws one of the route's services by their weights. It returns ""
// for a route without services.
func Choose(route *core.Route, random *rand.Rand) string {
	total := 0
	for _, service := range route.Services {
		total += max(0, service.Weight)
	}
	if total == 0 {
		return ""
	}
	at := random.IntN(total)
	for _, service := range route.Services {
		at -= max(0, service.Weight)
		if at < 0 {
			return service.Service
		}
	}
	return ""
}

// Heaviest returns the service with the largest weight, the first one named of
// equal ones, or "".
func Heaviest(route *core.Route) string {
	best := core.WeightedService{Weight: -1}
	for _, service := range route.Services {
		if service.Weight > best.Weight {
			best = service
		}
	}
	return best.Service
}
