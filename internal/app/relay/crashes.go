package relay

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/rendezvous"
	"fescuespar/internal/errkind"
	"fescuespar/internal/workers"
)

// Timing of the records of requests that crash backend servers.
const (
	// crashRecordWait bounds how long a retry waits until the server's death is
	// recorded. It covers a refused connection and two calls of the table service.
	crashRecordWait = 150 * time.Millisecond
	// crashClaimTimeout bounds the claim of a trial, for which a caller waits.
	crashClaimTimeout = 500 * time.Millisecond
	// crashStoreTimeout bounds the storing of one record. What is not stored by then is
	// tried again after the next read.
	crashStoreTimeout = 2 * time.Second
	// crashReadBackoff is the time without reads after one that failed. An outage then
	// gets little more load, and processes know of crashes soon after it.
	crashReadBackoff = 2 * time.Second
	// deathProbeTimeout is the time in which a live server accepts a connection.
	deathProbeTimeout = 400 * time.Millisecond
)

// maxCrashCommits bounds the attempts to store a record that others change.
const maxCrashCommits = 4

// crashPrefix begins the IDs of crash records, which share one partition of the table
// service.
const crashPrefix = "crashes|"

func crashKey(fingerprint uint64) core.RowKey {
	return core.RowKey{Table: core.TableCrash, ID: fmt.Sprintf("%s%016x", crashPrefix, fingerprint)}
}

// crashGuard is the state of one request for the recognition of requests that crash
// backend servers. Its methods are called by one step at a time.
type crashGuard struct {
	isExempt    bool // the request is never held: an item of a job depends on it
	fingerprint uint64
	isTrial     bool // the attempt in progress is a trial
	hasEvents   bool // the attempt in progress has brought events of a stream
}

func newCrashGuard(r *core.RelayRequest) crashGuard {
	return crashGuard{fingerprint: crash.Fingerprint(r.Body, r.Method, r.Host, r.Target)}
}

// guardAttempt calls proceed, on a worker of the pool, with nil if the request may be
// sent now. Errors: Quarantined.
func (s *Service) guardAttempt(g *crashGuard, proceed func(error)) {
	if g.isExempt {
		proceed(nil)
		return
	}
	switch s.crashes.Verdict(g.fingerprint, s.ports.Clock.Now()) {
	case crash.Run:
		proceed(nil)
	case crash.Refuse:
		proceed(errQuarantined())
	default:
		s.beginTrial(g, proceed)
	}
}

func errQuarantined() error {
	return errkind.New(errkind.Quarantined, "servers died while they ran this request; it may run again later")
}

// beginTrial claims the trial of a request in the table service, so that no other
// process begins one.
func (s *Service) beginTrial(g *crashGuard, proceed func(error)) {
	err := s.lanes.crashes.Go(func(ctx context.Context) {
		g.isTrial = s.claimTrial(ctx, g.fingerprint)
		s.pool.MustEnqueue(core.ClassInteractive, func() {
			if !g.isTrial {
				proceed(errQuarantined())
				return
			}
			s.log.Info().Str("fingerprint", formatFingerprint(g.fingerprint)).Msg("trial of a request under which servers died")
			proceed(nil)
		})
	})
	if err != nil {
		proceed(errQuarantined())
	}
}

// claimTrial returns false if the trial was not claimed, or it is not known.
func (s *Service) claimTrial(ctx context.Context, fingerprint uint64) bool {
	record, version, mayBegin := s.crashes.Trial(fingerprint, s.ports.Clock.Now())
	if !mayBegin {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashClaimTimeout)
	defer cancel()
	result, err := s.commitCrashRecord(ctx, fingerprint, record, version)
	if err != nil {
		s.recordStoreResult("crash records", err)
		s.crashes.EndTrial(fingerprint, s.ports.Clock.Now()) // the claim may have been stored
		return false
	}
	if result.Applied {
		s.crashes.ApplyStored(fingerprint, record, result.Version, s.ports.Clock.Now())
	}
	return result.Applied
}

// recordAttempt records how an attempt on a server ended and then calls next, on a
// worker of the pool. If the request may be sent again, next waits for the record of the
// server's death for at most crashRecordWait.
//
// A 5xx response, whose status is given, does not clear the request: the server may have
// given it up before the point at which others died.
func (s *Service) recordAttempt(g *crashGuard, server core.VM, status int, err error, mayRetry bool, next workers.Step) {
	switch {
	case g.isExempt:
		next()
	case err == nil && status < 500:
		s.clearCrashRecord(g)
		next()
	case errkind.Is(err, errkind.ServerFailed) && mayRetry:
		var once sync.Once
		proceed := func() { once.Do(func() { s.pool.MustEnqueue(core.ClassInteractive, next) }) }
		stop := s.timers.After(crashRecordWait, core.ClassInteractive, proceed)
		s.checkDeath(g, server, func() {
			stop()
			proceed()
		})
	case errkind.Is(err, errkind.ServerFailed), errkind.Is(err, errkind.Timeout):
		s.checkDeath(g, server, func() {})
		next()
	default:
		s.endTrial(g)
		next()
	}
}

// checkDeath records a server's death if it no longer accepts connections, and then
// calls done.
func (s *Service) checkDeath(g *crashGuard, server core.VM, done func()) {
	endsTrial := g.isTrial
	g.isTrial = false
	fingerprint, hasEvents := g.fingerprint, g.hasEvents && !endsTrial
	err := s.lanes.crashes.Go(func(ctx context.Context) {
		defer done()
		probe, cancel := context.WithTimeout(ctx, deathProbeTimeout)
		defer cancel()
		now := s.ports.Clock.Now()
		if s.ports.Backend.Probe(probe, server) != nil && ctx.Err() == nil {
			s.recordDeath(fingerprint, server.ID, endsTrial, hasEvents, now)
		}
		if endsTrial {
			s.crashes.EndTrial(fingerprint, now)
		}
		s.storeCrashRecord(ctx, fingerprint)
	})
	if err != nil {
		s.log.Info().Err(err).Str("server", string(server.ID)).Msg("not checked whether a server died")
		if endsTrial {
			s.crashes.EndTrial(fingerprint, s.ports.Clock.Now())
		}
		done()
	}
}

func (s *Service) recordDeath(fingerprint uint64, server core.ServerID, isTrial, hasEvents bool, now time.Time) {
	instance := s.registry.InstanceOf(server)
	deaths, recorded := 0, false
	if hasEvents {
		deaths, recorded = s.crashes.RecordExcusedDeath(fingerprint, instance, now)
	} else {
		deaths, recorded = s.crashes.RecordDeath(fingerprint, instance, isTrial, now)
	}
	s.metrics.ServerDeaths.Inc(1)
	s.log.Warn().Str("fingerprint", formatFingerprint(fingerprint)).Str("server", string(server)).
		Int("deaths", deaths).Bool("recorded", recorded).Bool("sent_events", hasEvents).Msg(logs.ServerDied)
}

// endTrial ends a trial that says nothing about its request.
func (s *Service) endTrial(g *crashGuard) {
	if !g.isTrial {
		return
	}
	g.isTrial = false
	s.crashes.EndTrial(g.fingerprint, s.ports.Clock.Now())
	s.goStoreCrashRecord(g.fingerprint)
}

// clearCrashRecord removes the record of a request that a server has answered.
func (s *Service) clearCrashRecord(g *crashGuard) {
	g.isTrial = false
	if s.crashes.IsEmpty() {
		return
	}
	fingerprint := g.fingerprint
	version := s.crashes.Remove(fingerprint)
	if version == 0 {
		return
	}
	s.log.Info().Str("fingerprint", formatFingerprint(fingerprint)).Msg("request under which servers died was answered")
	s.removeCrashRow(fingerprint, version)
}

// removeCrashRow removes a row unless it has changed.
func (s *Service) removeCrashRow(fingerprint uint64, version core.RowVersion) {
	err := s.lanes.crashes.Go(func(ctx context.Context) {
		_, err := s.commitCrashRecord(ctx, fingerprint, nil, version)
		s.recordStoreResult("crash records", err)
	})
	if err != nil {
		s.log.Info().Err(err).Str("fingerprint", formatFingerprint(fingerprint)).Msg("crash record not removed")
	}
}

func (s *Service) goStoreCrashRecord(fingerprint uint64) {
	err := s.lanes.crashes.Go(func(ctx context.Context) { s.storeCrashRecord(ctx, fingerprint) })
	if err != nil {
		s.log.Info().Err(err).Str("fingerprint", formatFingerprint(fingerprint)).Msg("crash record not stored yet")
	}
}

// storeCrashRecord stores what this process has added to a record. If that fails, it is
// tried again after the next read. It blocks and runs on a lane.
func (s *Service) storeCrashRecord(ctx context.Context, fingerprint uint64) {
	ctx, cancel := context.WithTimeout(ctx, crashStoreTimeout)
	defer cancel()
	for range maxCrashCommits {
		record, version, found := s.crashes.Unstored(fingerprint)
		if !found {
			return
		}
		result, err := s.commitCrashRecord(ctx, fingerprint, record, version)
		s.recordStoreResult("crash records", err)
		if err != nil {
			return
		}
		if result.Applied {
			s.crashes.ApplyStored(fingerprint, record, result.Version, s.ports.Clock.Now())
			return
		}
		rows, err := s.committer.Read(ctx, crashKey(fingerprint))
		if err != nil {
			return
		}
		s.crashes.ApplyRow(fingerprint, rows[0], s.ports.Clock.Now())
	}
}

// commitCrashRecord replaces the row of a version; a nil record deletes it.
func (s *Service) commitCrashRecord(ctx context.Context, fingerprint uint64, record core.Record, version core.RowVersion) (core.CommitResult, error) {
	key := crashKey(fingerprint)
	return s.committer.Commit(ctx, core.Commit{
		Attempt:    s.newAttemptID(),
		Conditions: []core.Condition{{Key: key, Version: version}},
		Writes:     []core.Write{{Key: key, Record: record}},
	})
}

// watchCrashes reads the crash records of all processes, stores what this process could
// not store before, and removes expired records.
func (s *Service) watchCrashes() {
	if s.ports.Clock.Now().UnixNano() < s.crashReadNotBefore.Load() || !s.crashesRead.CompareAndSwap(false, true) {
		return // the last read has failed or not ended
	}
	err := s.lanes.crashes.Go(func(ctx context.Context) {
		defer s.crashesRead.Store(false)
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		began := s.ports.Clock.Now()
		rows, err := s.readCrashRecords(ctx)
		s.recordStoreResult("crash records", err)
		if err != nil {
			s.crashReadNotBefore.Store(s.ports.Clock.Now().Add(crashReadBackoff).UnixNano())
			return
		}
		s.pool.MustEnqueue(core.ClassControl, func() { s.applyCrashRecords(rows, began) })
	})
	if err != nil {
		s.crashesRead.Store(false)
		s.log.Debug().Err(err).Msg("crash records not read")
	}
}

func (s *Service) readCrashRecords(ctx context.Context) (map[uint64]core.Row, error) {
	found := make(map[uint64]core.Row)
	for after := ""; ; {
		rows, err := s.ports.Tables.Scan(ctx, core.TableCrash, crashPrefix, after, tablePageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			fingerprint, err := strconv.ParseUint(strings.TrimPrefix(row.Key.ID, crashPrefix), 16, 64)
			if err != nil {
				s.log.Warn().Err(err).Str("row", row.Key.ID).Msg("crash record without a fingerprint ignored")
				continue
			}
			found[fingerprint] = row
		}
		if len(rows) < tablePageRows {
			return found, nil
		}
		after = rows[len(rows)-1].Key.ID
	}
}

func (s *Service) applyCrashRecords(rows map[uint64]core.Row, began time.Time) {
	now := s.ports.Clock.Now()
	unstored, expired := s.crashes.ApplyAll(rows, began, now)
	for _, fingerprint := range unstored {
		s.goStoreCrashRecord(fingerprint)
	}
	for _, fingerprint := range expired {
		if !s.removesExpired(fingerprint) {
			continue
		}
		if version := s.crashes.Remove(fingerprint); version != 0 {
			s.removeCrashRow(fingerprint, version)
		}
	}
}

// removesExpired reports whether this process is the one that removes a record when it
// expires.
func (s *Service) removesExpired(fingerprint uint64) bool {
	key, self := formatFingerprint(fingerprint), s.options.Self.VM
	own := rendezvous.Rank(key, string(self))
	return !slices.ContainsFunc(s.members.Live(), func(m core.Member) bool {
		return m.VM != self && rendezvous.Rank(key, string(m.VM)) < own
	})
}

func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
