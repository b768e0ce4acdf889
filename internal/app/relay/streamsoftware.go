package relay

import (
	"context"
	"slices"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/software"
	"fescuespar/internal/errkind"
)

const (
	// softwareCallTimeout bounds what a stream waits for the table service. Within it the
	// reply to a commit may be lost once.
	softwareCallTimeout = 2 * time.Second
	// maxSoftwareCommits bounds the attempts to change a service's record that other
	// processes change too.
	maxSoftwareCommits = 4
	softwarePrefix     = "software|"
)

func softwareKey(service string) core.RowKey {
	return core.RowKey{Table: core.TableSoftware, ID: softwarePrefix + service}
}

// recordStream makes sure that a process which never saw a stream can tell its software,
// before its first event is passed on. It returns nil if nothing has to be stored for that,
// else a channel that gets the outcome.
func (s *Service) recordStream(ctx context.Context, st *eventStream) <-chan error {
	now := s.ports.Clock.Now()
	record, refresh, known := s.software.Record(st.service, now)
	if refresh {
		s.refreshSoftware(st.service)
	}
	recorded := make(chan error, 1)
	switch {
	case known && !software.NeedsRow(record, st.software, len(st.route.Services)):
		return nil
	case known && record.Mixed:
		s.storeStream(st, recorded)
		return recorded
	}
	err := s.lanes.software.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, ctx, now.Add(softwareCallTimeout))
		defer cancel()
		record, err := s.beginVersion(ctx, st.service, st.software)
		if err != nil || !software.NeedsRow(record, st.software, len(st.route.Services)) {
			recorded <- err
			return
		}
		s.storeStream(st, recorded)
	})
	if err != nil {
		recorded <- err
	}
	return recorded
}

// beginVersion stores what a service's record must tell before a stream of a version begins,
// and returns the record. It blocks and runs on a lane.
func (s *Service) beginVersion(ctx context.Context, service string, version core.SoftwareVersion) (core.SoftwareRecord, error) {
	for range maxSoftwareCommits {
		began := s.ports.Clock.Now()
		rows, err := s.committer.Read(ctx, softwareKey(service))
		s.recordStoreResult("software", err)
		if err != nil {
			return core.SoftwareRecord{}, err
		}
		stored, found := rows[0].Record.(core.SoftwareRecord)
		next, changed := software.Begin(stored, found, version)
		if changed {
			applied, err := s.commitSoftware(ctx, service, next, rows[0].Version)
			if err != nil {
				return core.SoftwareRecord{}, err
			}
			if !applied {
				continue
			}
		}
		s.software.SetRecord(service, next, began)
		return next, nil
	}
	return core.SoftwareRecord{}, errkind.New(errkind.StoreUnavailable, "other processes changed the software record of %s %d times in a row", service, maxSoftwareCommits)
}

// commitSoftware replaces a service's record of a version.
func (s *Service) commitSoftware(ctx context.Context, service string, next core.SoftwareRecord, version core.RowVersion) (applied bool, err error) {
	result, err := s.committer.Commit(ctx, core.Commit{
		Attempt:    s.newAttemptID(),
		Conditions: []core.Condition{{Key: softwareKey(service), Version: version}},
		Writes:     []core.Write{{Key: softwareKey(service), Record: next}},
	})
	s.recordStoreResult("software", err)
	if err == nil && result.Applied {
		s.log.Info().Str("service", service).Str("base", string(next.Base)).Bool("mixed", next.Mixed).Msg(logs.SoftwareChanged)
	}
	return result.Applied, err
}

// refreshSoftware reads a service's record again.
func (s *Service) refreshSoftware(service string) {
	err := s.lanes.software.Go(func(lane context.Context) {
		ctx, cancel := context.WithTimeout(lane, softwareCallTimeout)
		defer cancel()
		began := s.ports.Clock.Now()
		rows, err := s.committer.Read(ctx, softwareKey(service))
		s.recordStoreResult("software", err)
		if err != nil {
			s.software.RefreshFailed(service)
			return
		}
		record, found := rows[0].Record.(core.SoftwareRecord)
		if !found {
			s.software.RefreshFailed(service)
			return
		}
		s.software.SetRecord(service, record, began)
	})
	if err != nil {
		s.software.RefreshFailed(service)
		s.log.Debug().Err(err).Str("service", service).Msg("software record not read again")
	}
}

// findSoftware sets the software of a stream that the caller resumes, and the service that
// began it. Errors: SoftwareUnknown, StoreUnavailable, NoServer if no server of it is left
// or the route no longer leads to the service.
func (s *Service) findSoftware(st *eventStream) error {
	found := make(chan error, 1)
	until := s.ports.Clock.Now().Add(softwareCallTimeout)
	err := s.lanes.resumptions.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, st.ctx, until)
		defer cancel()
		found <- s.readSoftware(ctx, st)
	})
	if err == nil {
		err = <-found
	}
	if err != nil {
		s.metrics.StreamsRefused.Inc(1)
		s.log.Info().Err(err).Str("request", string(st.request.ID)).Str("resumes", string(st.request.Resumes)).Int("after", st.request.After).Msg(logs.StreamNotResumed)
	}
	return err
}

// readSoftware does the work of findSoftware. It blocks and runs on a lane.
func (s *Service) readSoftware(ctx context.Context, st *eventStream) error {
	rows, err := s.readForStream(ctx, softwareKey(st.service))
	if err != nil {
		return err
	}
	record, found := rows[0].Record.(core.SoftwareRecord)
	services, hasName := len(st.route.Services), st.request.Resumes != ""
	st.software = software.OfStream(record, found, hasName, services)
	if hasName && (record.Mixed || services > 1) {
		stream, found, err := s.readStream(ctx, st.request.Account, st.request.Resumes)
		if err != nil {
			return err
		}
		if found {
			st.service, st.software = stream.Service, stream.Software
		}
	}
	isRouted := slices.ContainsFunc(st.route.Services, func(w core.WeightedService) bool { return w.Service == st.service && w.Weight > 0 })
	switch {
	case st.software == "":
		return errkind.New(errkind.SoftwareUnknown, "the software that began the stream of attempt %q is not known", st.request.Resumes)
	case !isRouted || !s.servers.ServesSoftware(s.serverKind(st.service), st.service, st.software):
		return errkind.New(errkind.NoServer, "no server of %s with software %q is left to continue the stream of attempt %q", st.service, st.software, st.request.Resumes)
	}
	return nil
}

// readStream reads the row of a stream, of which it is not known what process wrote it.
func (s *Service) readStream(ctx context.Context, account core.AccountName, id core.RequestID) (stream core.StreamRecord, found bool, err error) {
	for _, partition := range software.Partitions() {
		rows, err := s.readForStream(ctx, core.RowKey{Table: core.TableStream, ID: partition + software.RowName(account, id)})
		if err != nil {
			return core.StreamRecord{}, false, err
		}
		if stream, found = rows[0].Record.(core.StreamRecord); found {
			return stream, true, nil
		}
	}
	return core.StreamRecord{}, false, nil
}

// readForStream reads a row for a stream that is resumed, within this process's share of the
// reads. It refuses at once what would have to wait longer than its context.
func (s *Service) readForStream(ctx context.Context, key core.RowKey) ([]core.Row, error) {
	now := s.ports.Clock.Now()
	delay := s.software.ReserveRead(now, announce.StreamReadInterval(len(s.members.Live()), s.options.StoreReadsPerSecond))
	if deadline, bounded := ctx.Deadline(); bounded && delay >= deadline.Sub(now) || !commits.Sleep(ctx, delay) {
		return nil, errkind.New(errkind.StoreUnavailable, "too many streams are resumed, the next read may begin in %v", delay)
	}
	rows, err := s.committer.Read(ctx, key)
	s.recordStoreResult("software", err)
	return rows, err
}

// observeSoftware applies the versions of the registered servers as read at a time.
func (s *Service) observeSoftware() {
	entries, readAt := s.registry.Entries()
	versions := make(map[string][]core.SoftwareVersion)
	for i := range entries {
		versions[entries[i].VM.Service] = append(versions[entries[i].VM.Service], entries[i].VM.Software)
	}
	s.software.ObserveServers(versions, readAt)
}
