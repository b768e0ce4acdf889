package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/vmlist"
)

// updateVMList gets the newest VM list: in a large fleet from one of its
// readers, otherwise from the platform. During an outage the last list stays in
// use.
func (s *Service) updateVMList() {
	reader, digest, hasReader := s.vmList.SelectReader(s.options.Self, s.members.Live())
	if !hasReader {
		s.readVMList()
		return
	}
	err := s.lanes.peers.Go(func(ctx context.Context) {
		if !s.requestVMListChanges(ctx, reader, digest) {
			s.vmList.RecordReaderFailure()
			s.readVMList()
		}
	})
	if err != nil {
		s.readVMList()
	}
}

// requestVMListChanges requests and applies the changes that a reader knows. It
// returns whether the reader had a usable answer.
func (s *Service) requestVMListChanges(ctx context.Context, reader core.Member, digest uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, vmlist.ReaderTimeout(s.options.VMListInterval))
	defer cancel()
	requestedAt := s.ports.Clock.Now()
	changes, err := s.ports.Peers.VMListChanges(ctx, reader.PeerAddress, core.VMListChangesRequest{Digest: digest})
	if err != nil {
		return false
	}
	changed, ok := s.vmList.ApplyChanges(changes, digest, requestedAt, vmlist.MaxAge(s.options.VMListInterval))
	if ok {
		s.metrics.VMListUpdates.Inc(1)
		s.applyVMList(changed)
	}
	return ok
}

// readVMList reads the platform's VM list.
func (s *Service) readVMList() {
	s.startOnLane(s.lanes.table, func(ctx context.Context) {
		requestedAt := s.ports.Clock.Now()
		vms, err := s.ports.VMs.VMs(ctx)
		if err != nil {
			s.metrics.VMListFailures.Inc(1)
			return
		}
		s.metrics.VMListReads.Inc(1)
		s.applyVMList(s.vmList.ApplyList(vms, requestedAt))
	})
}

// applyVMList applies the newest list to the tables. Backend servers are
// updated only after a change.
func (s *Service) applyVMList(changed bool) {
	now := s.ports.Clock.Now()
	entries := s.vmList.Entries()
	s.members.ObserveVMs(now, entries)
	for changed {
		vms, version := s.vmList.VMs()
		s.servers.ApplyVMs(vms)
		s.servers.ApplyPolled(s.polls.ApplyVMs(vms))
		s.limits.RetainServers(vms)
		// Of concurrent calls, the last to apply sees whether a newer list was
		// applied before.
		changed = !s.vmList.IsNewest(version)
	}
	// Last, since this may start requests that waited for a limit share.
	s.applyEntryVMs(entries, now)
}

// applyEntryVMs updates the limits with the entry VMs of the platform's list
// and the live processes that the list lacks, since those use their shares too.
func (s *Service) applyEntryVMs(vms []core.VM, now time.Time) {
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
	s.limits.ApplyEntryVMs(entries, now)
}

// HandleVMListChanges returns the changes of the VM list to a peer.
func (s *Service) HandleVMListChanges(_ context.Context, request core.VMListChangesRequest) (core.VMListChanges, error) {
	return s.vmList.ChangesSince(request.Digest, s.ports.Clock.Now()), nil
}
