package relay

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
)

// Ready implements ports.Relay. A process is ready once it has read the route table
// and the backend servers, and until its shutdown begins.
func (s *Service) Ready() bool {
	_, readAt := s.registry.Entries()
	return s.acceptsNewWork() && s.routes.Current() != nil && !readAt.IsZero()
}

// entryAddresses returns the entry addresses for callers of a region. Before the
// first read of the members it returns only this process's address.
func (s *Service) entryAddresses(region core.RegionName) []string {
	found := announce.Addresses(s.members.Live(), s.options.Self.VM, region)
	if len(found) == 0 && s.acceptsNewWork() {
		return []string{s.options.Self.CallAddress}
	}
	return found
}
