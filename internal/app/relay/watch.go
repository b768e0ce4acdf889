package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// watchTimeout bounds one read of what others publish: a read that hangs must
// not delay the next one beyond the time in which a change must be in force.
const watchTimeout = time.Second

// onWatch runs one read on its lane and hands its outcome to a step.
func (s *Service) onWatch(what string, read func(ctx context.Context) (apply func(), err error)) {
	err := s.lanes.watch.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		apply, err := read(ctx)
		if s.storeAnswered(what, err); err == nil {
			s.pool.MustEnqueue(core.ClassControl, apply)
		}
	})
	if err != nil {
		s.log.Debug().Err(err).Str("what", what).Msg("read passed over")
	}
}

// storeAnswered notes whether the platform answered, and logs the changes.
func (s *Service) storeAnswered(what string, err error) {
	now := s.ports.Clock.Now()
	service := core.PlatformService(what)
	if err == nil {
		if first, away := s.platform.Recovered(service, now); first {
			s.log.Info().Str("what", what).Dur("away", away).Msg(logs.StoreBack)
		}
		return
	}
	s.metrics.StoreFailures.Inc(1)
	if first, answered := s.platform.Lost(service, now); first {
		line := s.log.Warn().Str("what", what).Err(err)
		if !answered.IsZero() {
			line = line.Dur("belief_age", now.Sub(answered))
		}
		line.Msg(logs.StoreLost)
	}
}

// watchPublished reads routes and weight versions.
func (s *Service) watchPublished() {
	s.onWatch("published", func(ctx context.Context) (func(), error) {
		published, err := s.ports.Registry.Published(ctx)
		if err == nil && published.Old && s.routes.InForce() != nil {
			err = errOld
		}
		return func() { s.applyPublished(published) }, err
	})
}

func (s *Service) applyPublished(published core.Published) {
	if s.routes.Apply(published.Table) {
		s.log.Info().Uint64("version", published.Table.Version).Int("routes", len(published.Table.Routes)).
			Msg(logs.RoutesInForce)
		s.listServers()
	}
	for _, named := range published.Versions {
		if s.weights.Learn(core.DeploymentName(named.Model), named.Version, s.ports.Clock.Now()) {
			s.log.Info().Str("model", string(named.Model)).Uint64("version", uint64(named.Version)).Msg(logs.VersionNamed)
		}
	}
	s.tendAll()
}

// watchServers reads the registrations of backend servers.
func (s *Service) watchServers() {
	s.onWatch("servers", func(ctx context.Context) (func(), error) {
		began := s.ports.Clock.Now()
		read, err := s.ports.Registry.Servers(ctx)
		if _, readAt := s.registry.Entries(); err == nil && read.Old && !readAt.IsZero() {
			err = errOld
		}
		if err != nil {
			s.registry.Failed()
		}
		return func() { s.applyServers(read, began) }, err
	})
}

// errOld says that only what a peer read before an outage could be read. A
// process that knows nothing begins with that; any other one knows as much.
var errOld = errkind.New(errkind.StoreUnavailable, "the platform is away; a peer remembers an earlier answer")

func (s *Service) applyServers(read core.Registrations, began time.Time) {
	gone, changed := s.registry.Observe(&read, began)
	if !changed {
		return
	}
	if read.Old {
		s.registry.Failed()
		s.log.Info().Int("servers", len(read.Entries)).Msg("backend servers as a peer remembers them")
	}
	for _, id := range gone {
		s.log.Info().Str("server", string(id)).Msg(logs.ServerGone)
	}
	s.listServers()
	s.tendAll()
}

// listServers gives routing the believed servers with what the route table
// says of their services.
func (s *Service) listServers() {
	table := s.routes.InForce()
	entries, readAt := s.registry.Entries()
	if table == nil || readAt.IsZero() {
		return
	}
	vms := make([]core.VM, 0, len(entries))
	plain := 0
	for i := range entries {
		vm := entries[i].VM
		if slots := table.Services[vm.Service].Slots; slots > 0 {
			vm.Slots = slots
		}
		if vm.Kind == core.KindPlain {
			plain += vm.Slots
		}
		vms = append(vms, vm)
	}
	s.plain.Store(int64(plain))
	s.servers.ApplyVMs(vms)
	for i := range entries {
		if entries[i].VM.Kind == core.KindEngine {
			s.servers.ApplyStatus(statusOf(&entries[i].ServerEntry), entries[i].Since)
		}
	}
}

// sweepServers ejects and returns backend servers, and logs which.
func (s *Service) sweepServers() {
	ejected, back := s.servers.Sweep(s.ports.Clock.Now())
	for _, found := range ejected {
		s.log.Warn().Str("server", string(found.Server)).Str("why", found.Why).Int("failures", found.Failures).
			Int("results", found.Results).Float64("success", found.Success).Float64("peers_success", found.Peers.Success).
			Dur("per_token", found.PerToken).Dur("peers_per_token", found.Peers.PerToken).Time("until", found.Until).
			Msg(logs.ServerEjected)
	}
	for _, id := range back {
		s.log.Info().Str("server", string(id)).Msg(logs.ServerBack)
	}
}

// statusOf returns what a registration tells of an engine's weights. A model's
// weights are what the product's own engines call an adapter: what one engine
// holds several of, each with a version.
func statusOf(entry *core.ServerEntry) core.EngineStatus {
	status := core.EngineStatus{Server: entry.VM.ID, Model: core.ModelName(entry.VM.Service)}
	for _, held := range entry.Models {
		status.Versions = append(status.Versions, core.AdapterVersion{
			Adapter: core.AdapterName(held.Model), Version: held.Version,
		})
	}
	return status
}

// membersPrefix holds the announcements in one part of the table service.
const membersPrefix = "members|"

// membersLimit bounds one read of the members.
const membersLimit = 500

// watchMembers reads the announcements of the entry processes.
func (s *Service) watchMembers() {
	s.onWatch("members", func(ctx context.Context) (func(), error) {
		rows, err := s.ports.Tables.Scan(ctx, core.TableMember, membersPrefix, "", membersLimit)
		return func() { s.applyMembers(rows) }, err
	})
}

func (s *Service) applyMembers(rows []core.Row) {
	records := make(map[core.VMID]core.MemberRecord, len(rows))
	for _, row := range rows {
		if record, ok := row.Record.(core.MemberRecord); ok {
			records[core.VMID(row.Key.ID[len(membersPrefix):])] = record
		}
	}
	s.members.Observe(records, s.ports.Clock.Now())
}

// announce rewrites this process's row, again and again until it has stopped.
func (s *Service) announce() {
	phase, _ := s.lifecycle.Phase()
	if phase == tables.PhaseStopped {
		return
	}
	every := announce.Every(len(s.members.Live()))
	err := s.lanes.store.Go(func(ctx context.Context) { s.writeMember(ctx, every) })
	if err != nil {
		s.log.Debug().Err(err).Msg("announcement passed over")
	}
	s.timers.After(every, core.ClassControl, s.announce)
}

// writeMember writes this process's row. The newest write counts, so that it
// needs no condition.
func (s *Service) writeMember(ctx context.Context, every time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	self := s.options.Self
	record := core.MemberRecord{
		Incarnation: self.Incarnation, Zone: self.Zone, Region: self.Region, CallAddress: self.CallAddress,
		PeerAddress: self.PeerAddress, Power: self.Power,
		Beat: s.beats.Add(1), Every: every, Leaving: !s.servesNewWork(),
	}
	s.metrics.TableCommits.Inc(1)
	_, err := s.ports.Tables.Commit(ctx, core.Commit{
		Attempt: s.newAttemptID(),
		Writes:  []core.Write{{Key: core.RowKey{Table: core.TableMember, ID: membersPrefix + string(self.VM)}, Record: record}},
	})
	s.storeAnswered("announcement", err)
}

func (s *Service) servesNewWork() bool {
	phase, _ := s.lifecycle.Phase()
	return phase == tables.PhaseServing
}

// PeerAddresses returns the addresses of the other entry processes, those in
// the same availability zone apart.
func (s *Service) PeerAddresses() (near, far []string) {
	for _, member := range s.members.Live() {
		switch {
		case member.VM == s.options.Self.VM || member.PeerAddress == "":
		case member.Zone == s.options.Self.Zone:
			near = append(near, member.PeerAddress)
		default:
			far = append(far, member.PeerAddress)
		}
	}
	if len(near)+len(far) == 0 {
		return nil, s.options.Seeds
	}
	return near, far
}
