package relay

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
)

// Ready implements ports.Relay: a process is ready once it knows the routes
// and the backend servers, until it leaves.
func (s *Service) Ready() bool {
	_, readAt := s.registry.Entries()
	return s.servesNewWork() && s.routes.InForce() != nil && !readAt.IsZero()
}

// addresses returns the entry addresses for callers of a region. A process that
// has not read the members knows itself only.
func (s *Service) addresses(region core.RegionName) []string {
	found := announce.Addresses(s.members.Live(), region)
	if len(found) == 0 && s.servesNewWork() {
		return []string{s.options.Self.CallAddress}
	}
	return found
}
