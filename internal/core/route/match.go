// Package route selects the route of a request and the service that serves it.
package route

import (
	"math/rand/v2"
	"strings"

	"fescuespar/internal/core"
)

// Match returns the route of the host whose prefix is the longest match of the
// path, and whether there is one.
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

// ChooseService picks one of the route's services at random, in proportion to their
// weights. It returns "" if no service has a positive weight.
func ChooseService(route *core.Route, random *rand.Rand) string {
	total := 0
	for _, service := range route.Services {
		total += max(0, service.Weight)
	}
	if total == 0 {
		return ""
	}
	remaining := random.IntN(total)
	for _, service := range route.Services {
		remaining -= max(0, service.Weight)
		if remaining < 0 {
			return service.Service
		}
	}
	return ""
}

// HeaviestService returns the service with the largest weight, the first one of
// equal ones. It returns "" for a route without services.
func HeaviestService(route *core.Route) string {
	best := core.WeightedService{Weight: -1}
	for _, service := range route.Services {
		if service.Weight > best.Weight {
			best = service
		}
	}
	return best.Service
}
