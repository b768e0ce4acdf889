package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/registration"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// watchTimeout bounds one read of published data. A hanging read must not delay
// the next one beyond the time within which a change must be in force.
const watchTimeout = time.Second

// readAndApply runs one read on the watch lane. If the read succeeds, the returned
// function runs on the worker pool.
func (s *Service) readAndApply(what string, read func(ctx context.Context) (apply func(), err error)) {
	err := s.lanes.watch.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		apply, err := read(ctx)
		if s.recordStoreResult(what, err); err == nil {
			s.pool.MustEnqueue(core.ClassControl, apply)
		}
	})
	if err != nil {
		s.log.Debug().Err(err).Str("what", what).Msg("read skipped")
	}
}

// recordStoreResult records whether a call to the platform succeeded, and logs the
// start and the end of an outage.
func (s *Service) recordStoreResult(what string, err error) {
	now := s.ports.Clock.Now()
	service := core.PlatformService(what)
	if err == nil {
		if first, outage := s.platform.MarkAvailable(service, now); first {
			s.log.Info().Str("what", what).Dur("away", outage).Msg(logs.PlatformAvailable)
		}
		return
	}
	s.metrics.StoreFailures.Inc(1)
	if first, lastAnswer := s.platform.MarkUnavailable(service, now); first {
		line := s.log.Warn().Str("what", what).Err(err)
		if !lastAnswer.IsZero() {
			line = line.Dur("belief_age", now.Sub(lastAnswer))
		}
		line.Msg(logs.PlatformUnavailable)
	}
}

// watchPublished reads the route table and the published weight versions, unless they
// were read for requests within the interval.
func (s *Service) watchPublished() {
	now := s.ports.Clock.Now()
	if s.accounts.BeginRegularRead(now, s.pollInterval()) {
		s.readPublished(now)
	}
}

// publishedDelay returns the time until the next regular read of published data.
func (s *Service) publishedDelay() time.Duration {
	return s.accounts.RegularReadDelay(s.ports.Clock.Now(), s.pollInterval())
}

// readPublished makes the read of published data that has begun at a time. A peer's earlier
// answer may be newer than what is in force here, but confirms nothing.
func (s *Service) readPublished(began time.Time) {
	err := s.lanes.published.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		published, err := s.ports.Registry.Published(ctx)
		if err == nil && published.Stale && s.routes.Current() != nil {
			err = errStale
		}
		if s.recordStoreResult("published", err); err != nil && !published.Stale {
			s.accounts.EndRead(began, false)
			return
		}
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.applyPublished(published)
			s.accounts.EndRead(began, !published.Stale)
		})
	})
	if err != nil {
		s.accounts.EndRead(began, false)
		s.log.Debug().Err(err).Msg("published data not read")
	}
}

func (s *Service) applyPublished(published core.Published) {
	if replaced, applied := s.routes.Apply(published.Table); applied {
		s.logRoutesInForce(replaced, published.Table)
		s.updateRouting()
	}
	for _, entry := range published.Versions {
		if s.weights.RecordPublished(core.DeploymentName(entry.Model), entry.Version, s.ports.Clock.Now()) {
			s.log.Info().Str("model", string(entry.Model)).Uint64("version", uint64(entry.Version)).Msg(logs.VersionNamed)
		}
	}
	s.coordinateServices()
}

// watchServers reads the registrations of backend servers.
func (s *Service) watchServers() {
	s.readAndApply("servers", func(ctx context.Context) (func(), error) {
		began := s.ports.Clock.Now()
		read, err := s.ports.Registry.Servers(ctx)
		// Lists of servers have no version, so that only a process without one uses a peer's.
		if _, readAt := s.registry.Entries(); err == nil && read.Stale && !readAt.IsZero() {
			err = errStale
		}
		if err != nil {
			s.registry.RecordReadFailure()
		}
		return func() { s.applyServers(read, began) }, err
	})
}

// errStale reports that only a peer's earlier answer was available.
var errStale = errkind.New(errkind.StoreUnavailable, "platform is unavailable; a peer returned an earlier answer")

func (s *Service) applyServers(read core.Registrations, began time.Time) {
	removed, changed := s.registry.Observe(&read, began)
	if !changed {
		s.software.ConfirmServers(began)
		return
	}
	s.observeSoftware()
	if read.Stale {
		s.registry.RecordReadFailure()
		s.log.Info().Int("servers", len(read.Entries)).Msg("backend servers loaded from a peer's earlier answer")
	}
	for _, id := range removed {
		s.log.Info().Str("server", string(id)).Msg(logs.ServerRemoved)
	}
	s.updateRouting()
	s.coordinateServices()
}

// noteServer records the state that a server reported in the response to a request sent at
// a time. A server that announced its shutdown gets nothing new from then on.
func (s *Service) noteServer(id core.ServerID, sent time.Time, notice core.ServerNotice) {
	if s.servers.RecordNotice(id, notice, sent, s.ports.Clock.Now()) {
		s.log.Info().Str("server", string(id)).Bool("limited", notice.Limited).Float64("per_second", notice.RateLimit).
			Time("sent", sent).Msg(logs.ServerLimit)
	}
	if !notice.Leaving || !s.registry.MarkLeaving(id, sent) {
		return
	}
	s.log.Info().Str("server", string(id)).Time("sent", sent).Msg(logs.ServerLeaving)
	s.updateRouting()
}

// updateRouting passes the registered servers to routing. Updates run one at a time, so
// that an older view never replaces a newer one.
func (s *Service) updateRouting() { s.routingUpdates.Do(s.applyServersToRouting) }

// applyServersToRouting passes the registered servers to routing, with the slots that
// the route table sets for their services.
func (s *Service) applyServersToRouting() {
	table := s.routes.Current()
	entries, readAt := s.registry.Entries()
	if table == nil || readAt.IsZero() {
		return
	}
	vms := make([]core.VM, 0, len(entries))
	plainSlots, slots := 0, make(map[string]int)
	for i := range entries {
		vm := entries[i].VM
		if slots := table.Services[vm.Service].Slots; slots > 0 {
			vm.Slots = slots
		}
		if vm.Kind == core.KindPlain {
			plainSlots += vm.Slots
		}
		if vm.State == core.VMLive {
			slots[vm.Service] += vm.Slots
		}
		vms = append(vms, vm)
	}
	s.plainSlots.Store(int64(plainSlots))
	s.servers.ApplyVMs(vms)
	now := s.ports.Clock.Now()
	s.servers.ApplyColdStarts(coldStarts(entries, now), now)
	s.slots.SetServices(slots, now)
	for i := range entries {
		if entries[i].VM.Kind == core.KindEngine {
			s.servers.ApplyStatus(engineStatus(&entries[i].ServerEntry), entries[i].Since)
		}
	}
}

// coldStarts returns the servers that are still slow after their start.
func coldStarts(entries []registration.Server, now time.Time) []routing.ColdStart {
	var starts []routing.ColdStart
	for i := range entries {
		if now.Before(entries[i].ColdUntil) {
			starts = append(starts, routing.ColdStart{Server: entries[i].VM.ID, StartedUnixMs: entries[i].StartedUnixMs, Until: entries[i].ColdUntil})
		}
	}
	return starts
}

// reportPaces logs the begin and end of servers' paces.
func (s *Service) reportPaces() {
	changes, paced := s.servers.PaceChanges()
	s.metrics.ServersPaced.Update(int64(paced))
	for _, change := range changes {
		if change.Began {
			s.metrics.PacesBegun.Inc(1)
			s.log.Info().Str("server", string(change.Server)).Str("why", string(change.Reason)).Float64("share", change.Share).Msg(logs.PaceBegan)
			continue
		}
		s.log.Info().Str("server", string(change.Server)).Str("why", string(change.Reason)).Float64("share", change.Share).
			Dur("lasted", change.Lasted).Msg(logs.PaceEnded)
	}
}

// sweepServers ejects unhealthy backend servers, restores recovered ones and logs
// both, the servers that are paced and the services that are short of slots.
func (s *Service) sweepServers() {
	defer s.reportPaces()
	s.reportShortages()
	s.metrics.ServersRejected.Update(s.servers.Rejections())
	ejected, restored := s.servers.Sweep(s.ports.Clock.Now())
	for _, found := range ejected {
		s.log.Warn().Str("server", string(found.Server)).Str("why", found.Why).Int("failures", found.Failures).
			Int("results", found.Results).Float64("success", found.Success).Float64("peers_success", found.Peers.Success).
			Dur("per_token", found.PerToken).Dur("peers_per_token", found.Peers.PerToken).Time("until", found.Until).
			Msg(logs.ServerEjected)
	}
	for _, id := range restored {
		s.log.Info().Str("server", string(id)).Msg(logs.ServerRestored)
	}
}

// engineStatus returns the weight versions in an engine's registration. One engine
// can hold several models, each with a version; they correspond to the adapters
// of this product's own engines.
func engineStatus(entry *core.ServerEntry) core.EngineStatus {
	status := core.EngineStatus{Server: entry.VM.ID, Model: core.ModelName(entry.VM.Service)}
	for _, loaded := range entry.Models {
		status.Versions = append(status.Versions, core.AdapterVersion{
			Adapter: core.AdapterName(loaded.Model), Version: loaded.Version,
		})
	}
	return status
}

// membersPrefix begins the IDs of announcement rows, which share one partition of
// the table service.
const membersPrefix = "members|"

// tablePageRows is the number of rows in one read of a table, which is the most that the
// table service returns.
const tablePageRows = 500

// watchMembers reads the announcements of the entry processes.
func (s *Service) watchMembers() {
	s.readAndApply("members", func(ctx context.Context) (func(), error) {
		rows, err := s.readMembers(ctx)
		return func() { s.applyMembers(rows) }, err
	})
}

// readMembers reads the announcements of all entry processes, page by page.
func (s *Service) readMembers(ctx context.Context) ([]core.Row, error) {
	var all []core.Row
	for after := ""; ; {
		rows, err := s.ports.Tables.Scan(ctx, core.TableMember, membersPrefix, after, tablePageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < tablePageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key.ID
	}
}

func (s *Service) applyMembers(rows []core.Row) {
	records := make(map[core.VMID]core.MemberRecord, len(rows))
	for _, row := range rows {
		if record, ok := row.Record.(core.MemberRecord); ok {
			records[core.VMID(row.Key.ID[len(membersPrefix):])] = record
		}
	}
	s.members.Observe(records, s.ports.Clock.Now())
	s.applyClockOffsets()
	s.servers.SetRateShares(s.members.RateShares(s.options.Self.VM))
	if s.acceptsNewWork() && s.members.HasDemandGrown(s.options.Self.VM, s.servers.Demand(s.ports.Clock.Now())) {
		s.sendAnnouncement()
	}
}

// announce writes this process's announcement and schedules the next one, until
// the process has stopped.
func (s *Service) announce() {
	phase, _ := s.lifecycle.Phase()
	if phase == tables.PhaseStopped {
		return
	}
	s.timers.After(s.sendAnnouncement(), core.ClassControl, s.announce)
}

// sendAnnouncement writes this process's announcement and returns the interval to the
// next one.
func (s *Service) sendAnnouncement() time.Duration {
	interval := announce.Interval(len(s.members.Live()))
	err := s.lanes.store.Go(func(ctx context.Context) { s.writeAnnouncement(ctx, interval) })
	if err != nil {
		s.log.Debug().Err(err).Msg("announcement skipped")
	}
	return interval
}

// writeAnnouncement writes this process's announcement row, with the interval to
// the next one. The latest write wins, so the commit has no condition.
func (s *Service) writeAnnouncement(ctx context.Context, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	self := s.options.Self
	record := core.MemberRecord{
		Incarnation: self.Incarnation, Zone: self.Zone, Region: self.Region, CallAddress: self.CallAddress,
		PeerAddress: self.PeerAddress, Power: self.Power,
		Beat: s.announcementCount.Add(1), Every: interval, Leaving: !s.acceptsNewWork(),
		Demand: s.servers.Demand(s.ports.Clock.Now()), Usage: s.announcedUsage(), Rooms: s.jobRooms(),
	}
	s.metrics.TableCommits.Inc(1)
	_, err := s.ports.Tables.Commit(ctx, core.Commit{
		Attempt: s.newAttemptID(),
		Writes:  []core.Write{{Key: core.RowKey{Table: core.TableMember, ID: membersPrefix + string(self.VM)}, Record: record}},
	})
	s.recordStoreResult("announcement", err)
}

// acceptsNewWork reports whether the process's shutdown has not begun.
func (s *Service) acceptsNewWork() bool {
	phase, _ := s.lifecycle.Phase()
	return phase == tables.PhaseServing
}

// PeerAddresses returns the peer addresses of the other entry processes: those
// in the same availability zone and those in other zones. If no other process is
// known, otherZones holds the seed addresses of the settings.
func (s *Service) PeerAddresses() (sameZone, otherZones []string) {
	for _, member := range s.members.Live() {
		switch {
		case member.VM == s.options.Self.VM || member.PeerAddress == "":
		case member.Zone == s.options.Self.Zone:
			sameZone = append(sameZone, member.PeerAddress)
		default:
			otherZones = append(otherZones, member.PeerAddress)
		}
	}
	if len(sameZone)+len(otherZones) == 0 {
		return nil, s.options.Seeds
	}
	return sameZone, otherZones
}
