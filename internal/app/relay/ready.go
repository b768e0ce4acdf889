package relay

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
)

// Ready implements ports.Relay. A process is ready once routing has the backend
// servers, which needs the route table too, and until its shutdown begins.
func (s *Service) Ready() bool {
	return s.acceptsNewWork() && s.servers.HasList()
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
