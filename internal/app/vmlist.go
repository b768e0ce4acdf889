package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/vmlist"
)

// pollVMs learns the newest VM list: in a large fleet from one of its readers,
// otherwise from the platform. During an outage the last list stays in use.
func (s *Service) pollVMs() {
	reader, digest, ask := s.vmList.Source(s.options.Self, s.members.Live())
	if !ask {
		s.readVMs()
		return
	}
	err := s.lanes.peers.Go(func(ctx context.Context) {
		if !s.askVMs(ctx, reader, digest) {
			s.vmList.Failed()
			s.readVMs()
		}
	})
	if err != nil {
		s.readVMs()
	}
}

// askVMs takes a reader's news and returns whether that was of use.
func (s *Service) askVMs(ctx context.Context, reader core.Member, digest uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, vmlist.AskTimeout(s.options.VMListEvery))
	defer cancel()
	asked := s.ports.Clock.Now()
	news, err := s.ports.Peers.VMNews(ctx, reader.PeerAddress, core.VMNewsRequest{Digest: digest})
	if err != nil {
		return false
	}
	changed, ok := s.vmList.Take(news, digest, asked, vmlist.MaxAge(s.options.VMListEvery))
	if ok {
		s.metrics.VMListNews.Inc(1)
		s.applyVMs(changed)
	}
	return ok
}

// readVMs reads the platform's list.
func (s *Service) readVMs() {
	s.onLane(s.lanes.table, func(ctx context.Context) {
		asked := s.ports.Clock.Now()
		vms, err := s.ports.VMs.VMs(ctx)
		if err != nil {
			s.metrics.VMListFailures.Inc(1)
			return
		}
		s.metrics.VMListReads.Inc(1)
		s.applyVMs(s.vmList.Read(vms, asked))
	})
}

// applyVMs tells the tables the newest list; its backend servers only after a
// change.
func (s *Service) applyVMs(changed bool) {
	now := s.ports.Clock.Now()
	entries := s.vmList.Entries()
	s.members.ObserveVMs(now, entries)
	for changed {
		vms, version := s.vmList.VMs()
		s.servers.ApplyVMs(vms)
		s.servers.ApplyPolled(s.polls.ApplyVMs(vms))
		s.limits.RetainServers(vms)
		// Whoever applies last sees whether a newer list was applied before.
		changed = !s.vmList.IsNewest(version)
	}
	// Last, since requests that waited for a part of a limit start with it.
	s.listEntryVMs(entries, now)
}

// listEntryVMs tells the limits the entry VMs of the platform's list and the
// live processes that the list lacks, which use their parts all the same.
func (s *Service) listEntryVMs(vms []core.VM, now time.Time) {
	if len(vms) == 0 {
		return
	}
	entries := make([]core.VMID, 0, len(vms))
	for _, vm := range vms {
		entries = append(entries, core.VMID(vm.ID))
	}
	for _, member := range s.members.Live() {
		if member.VM != s.options.Self.VM {
			entries = append(entries, member.VM)
		}
	}
	s.limits.ApplyListed(entries, now)
}

// HandleVMNews tells a peer what changed in the VM list.
func (s *Service) HandleVMNews(_ context.Context, request core.VMNewsRequest) (core.VMNews, error) {
	return s.vmList.News(request.Digest, s.ports.Clock.Now()), nil
}
