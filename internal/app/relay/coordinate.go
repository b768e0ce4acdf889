package relay

import (
	"context"
	"strings"
	"time"

	"fescuespar/internal/app/tenure"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/route"
	"fescuespar/internal/errkind"
)

// coordinatorLease returns the name of the lease on running a service's jobs
// and giving its engines orders.
func coordinatorLease(service string) string { return workPart + "service/" + service }

// newTenure returns what follows this process's leases.
func (s *Service) newTenure() *tenure.Keeper {
	return &tenure.Keeper{
		Leases: s.leases, Pool: s.pool, Lane: s.lanes.leases, Store: &s.committer, Clock: s.ports.Clock,
		Timeout: commitTry, NewAttempt: s.newAttemptID,
		Acquired: func(name string, holding lease.Holding) {
			s.metrics.LeasesAcquired.Inc(1)
			s.log.Info().Str("lease", name).Uint64("fence", uint64(holding.Fence)).Msg(logs.LeaseAcquired)
			s.restoreTexts(strings.TrimPrefix(name, coordinatorLease("")))
		},
		Lost: func(name string) {
			s.metrics.LeasesLost.Inc(1)
			s.log.Info().Str("lease", name).Msg(logs.LeaseLost)
		},
	}
}

// coordinated returns the services that run jobs: those of engines.
func (s *Service) coordinated() []string {
	table := s.routes.InForce()
	if table == nil {
		return nil
	}
	var services []string
	for name, info := range table.Services {
		if info.Slots > 0 {
			services = append(services, name)
		}
	}
	return services
}

// tend follows the leases for which this process is a candidate, and does the
// work of those that it holds.
func (s *Service) tend() {
	wanted := make(map[string]bool)
	if s.servesNewWork() {
		live := s.members.Live()
		for _, service := range s.coordinated() {
			name := coordinatorLease(service)
			// A holder keeps its lease when processes that rank before it come
			// back, as in a rolling restart: each change of coordinator costs
			// seconds without orders.
			_, held := s.leases.Held(name, s.ports.Clock.Now())
			switch {
			case held || announce.IsCandidate(name, s.options.Self.VM, live):
				s.leases.Follow(name)
			case s.mayReclaim(len(live)):
				s.leases.Reclaim(name)
			default:
				continue
			}
			wanted[name] = true
		}
	}
	for _, name := range s.leases.Names() {
		if !wanted[name] && !s.leases.Forget(name) {
			s.leases.Leave(name)
		}
		s.tenure.Tend(name)
	}
	s.tendAll()
}

// reclaimMembers bounds the processes of which each looks for leases of its VM
// at a start of all.
const reclaimMembers = 100

// mayReclaim reports whether this process is to look at every lease, as an
// earlier process of its VM may have held it: after a restart, or an outage of
// the store in which all processes died.
func (s *Service) mayReclaim(members int) bool {
	return members <= reclaimMembers && s.ports.Clock.Now().Sub(s.started) < s.options.Reclaim
}

// tendAll does the work of the leases that this process holds.
func (s *Service) tendAll() {
	for _, service := range s.coordinated() {
		if _, held := s.leases.Held(coordinatorLease(service), s.ports.Clock.Now()); held {
			s.tendService(service)
			continue
		}
		s.checkLost(service)
	}
}

// checkLost drops a service's jobs once another process is known to hold its
// lease. While the platform is away nobody can take the lease, and the runs go
// on: their results are stored only if the lease is still this process's.
func (s *Service) checkLost(service string) {
	owner, known := s.leases.Owner(coordinatorLease(service))
	mine := owner.Holder == s.options.Self.VM && owner.Incarnation == s.options.Self.Incarnation
	if known && mine {
		s.runItems(service)
		return
	}
	var cancel []job.Work
	s.jobs.With(service, func(b *job.Book) { cancel = b.Clear() })
	s.runs.Cancel(cancel)
	if len(cancel) > 0 {
		s.log.Info().Str("service", service).Int("runs", len(cancel)).Msg("jobs left to another coordinator")
	}
}

func (s *Service) tendService(service string) {
	s.findJobs(service)
	s.saveTexts(service)
	s.orderVersions(service)
	s.moveSlow(service)
	s.runItems(service)
}

// findJobs looks for jobs of the service that are new or have ended.
func (s *Service) findJobs(service string) {
	if s.stored.Restoring(service) || !s.stored.BeginSearch(service) {
		return
	}
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		s.metrics.TableReads.Inc(1)
		rows, err := s.scanJobs(ctx)
		s.storeAnswered("jobs", err)
		s.pool.MustEnqueue(core.ClassRollout, func() {
			s.stored.EndSearch(service)
			if err == nil {
				s.applyJobs(service, rows)
			}
		})
	})
	if err != nil {
		s.stored.EndSearch(service)
	}
}

// jobsLimit bounds one read of jobs.
const jobsLimit = 500

func (s *Service) scanJobs(ctx context.Context) ([]core.Row, error) {
	var all []core.Row
	after := ""
	for {
		rows, err := s.ports.Tables.Scan(ctx, core.TableJob, jobPrefix, after, jobsLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < jobsLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key.ID
	}
}

func (s *Service) applyJobs(service string, rows []core.Row) {
	for _, row := range rows {
		record, ok := row.Record.(core.JobRecord)
		if !ok || record.Service != service {
			continue
		}
		id := core.JobID(row.Key.ID[len(jobPrefix):])
		open := false
		s.jobs.With(service, func(b *job.Book) { open = b.Has(id) })
		switch {
		case record.Ended && open:
			s.closeJob(service, id)
		case !record.Ended && !open && s.stored.BeginOpen(id):
			s.openJob(service, id)
		}
	}
}

func (s *Service) closeJob(service string, id core.JobID) {
	var cancel []job.Work
	s.jobs.With(service, func(b *job.Book) { cancel = b.Close(id) })
	s.runs.Cancel(cancel)
	s.metrics.JobsEnded.Inc(1)
	s.log.Info().Str("job", string(id)).Int("canceled", len(cancel)).Msg(logs.JobEnded)
}

// openTimeout bounds the reading of a job and its results.
const openTimeout = 5 * time.Second

// openJob reads a job with what is listed of it, and begins to run the rest.
func (s *Service) openJob(service string, id core.JobID) {
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		found, listed, err := s.loadListed(ctx, id)
		s.pool.MustEnqueue(core.ClassRollout, func() {
			s.stored.EndOpen(id)
			if err != nil {
				s.log.Warn().Err(err).Str("job", string(id)).Msg("job not read yet")
				return
			}
			s.startJob(service, found, listed)
		})
	})
	if err != nil {
		s.stored.EndOpen(id)
	}
}

func (s *Service) loadListed(ctx context.Context, id core.JobID) (core.Job, []core.ItemID, error) {
	found, err := s.loadJob(ctx, id)
	if err != nil {
		return core.Job{}, nil, err
	}
	var listed []core.ItemID
	for {
		results, err := s.readResults(ctx, id, len(listed))
		if err != nil || len(results) == 0 {
			return found, listed, err
		}
		for i := range results {
			listed = append(listed, results[i].Item)
		}
	}
}

func (s *Service) startJob(service string, found core.Job, listed []core.ItemID) {
	if _, held := s.leases.Held(coordinatorLease(service), s.ports.Clock.Now()); !held {
		return
	}
	policy := job.Policy{Attempts: 1}
	if taken, err := s.RouteOf(found.Host, found.Path); err == nil {
		policy = job.Policy{
			Attempts: max(1, taken.Attempts), ItemLife: taken.ItemLife,
			SingleVersion: taken.SingleVersion, Priority: taken.Priority,
		}
	}
	s.jobs.With(service, func(b *job.Book) { b.Open(found, listed, policy, s.ports.Clock.Now()) })
	s.log.Info().Str("job", string(found.ID)).Str("service", service).Int("items", len(found.Items)).
		Int("listed", len(listed)).Uint64("oldest_version", uint64(found.Oldest)).Msg(logs.JobOpened)
	s.runItems(service)
}

// itemService returns the service that runs a job's items now.
func (s *Service) itemService(start *job.Start) (string, error) {
	table := s.routes.InForce()
	if table == nil {
		return "", errkind.New(errkind.Starting, "no routes")
	}
	taken, found := route.Match(table, start.Host, start.Item.Path)
	if !found {
		return "", errkind.New(errkind.NotFound, "no route for the item's path")
	}
	return s.routes.Choose(taken), nil
}
