package relay

import (
	"context"
	"slices"
	"strings"

	"fescuespar/internal/app/leasing"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/duty"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/route"
	"fescuespar/internal/errkind"
)

// coordinatorLease returns the name of a service's coordinator lease. Its holder
// runs the service's jobs and sends orders to its engines.
func coordinatorLease(service string) string { return workPartition + "service/" + service }

// newLeaseManager returns the lease manager that acquires and renews this process's
// leases.
func (s *Service) newLeaseManager() *leasing.Manager {
	return &leasing.Manager{
		Leases: s.leases, Pool: s.pool, Lane: s.lanes.leases, Committer: &s.committer, Clock: s.ports.Clock,
		CallTimeout: commitReplyTimeout, NewAttempt: s.newAttemptID,
		OnAcquired: func(name string, holding lease.Holding) {
			s.metrics.LeasesAcquired.Inc(1)
			s.log.Info().Str("lease", name).Uint64("fence", uint64(holding.Fence)).Msg(logs.LeaseAcquired)
			if name == duty.LeaseName {
				s.performDuties()
				return
			}
			service := strings.TrimPrefix(name, coordinatorLease(""))
			s.jobStorage.BeginTakeover(service)
			s.restoreCheckpoint(service)
		},
		OnLost: func(name string) {
			s.metrics.LeasesLost.Inc(1)
			s.log.Info().Str("lease", name).Msg(logs.LeaseLost)
		},
	}
}

// coordinatedServices returns the services that run jobs: those with engines.
func (s *Service) coordinatedServices() []string {
	table := s.routes.Current()
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

// leaseNames returns the names of the leases for which processes compete.
func (s *Service) leaseNames() []string {
	var names []string
	for _, service := range s.coordinatedServices() {
		names = append(names, coordinatorLease(service))
	}
	if s.options.hasDuties() {
		names = append(names, duty.LeaseName)
	}
	return names
}

// updateLeases advances the leases for which this process is a candidate,
// releases the others, and runs the coordinator work of those that it holds.
func (s *Service) updateLeases() {
	wanted := make(map[string]bool)
	if s.acceptsNewWork() {
		live := s.members.Live()
		for _, name := range s.leaseNames() {
			// A holder keeps its lease when candidates that rank before it
			// restart, as in a rolling restart: each change of coordinator
			// stops orders to engines for seconds.
			_, held := s.leases.Holding(name, s.ports.Clock.Now())
			switch {
			case held || announce.IsCandidate(name, s.options.Self.VM, live):
				s.leases.Follow(name)
			case s.canReclaimLeases(len(live)):
				s.leases.Reclaim(name)
			default:
				continue
			}
			wanted[name] = true
		}
	}
	for _, name := range s.leases.Names() {
		if !wanted[name] && !s.leases.Forget(name) && s.canRelease(name) {
			s.leases.Release(name)
		}
		s.leaseManager.Advance(name)
	}
	s.coordinateServices()
}

// canRelease reports whether a lease may be released now. A process that shuts down first
// stores the texts of the services that it coordinates.
func (s *Service) canRelease(name string) bool {
	return s.acceptsNewWork() || s.prepareHandover(strings.TrimPrefix(name, coordinatorLease("")))
}

// maxReclaimMembers is the largest number of entry processes with which each of
// them reads every lease after its start.
const maxReclaimMembers = 100

// canReclaimLeases reports whether this process reads every lease because an
// earlier process on its VM may have held it: after a restart, or after a store
// outage in which all processes died.
func (s *Service) canReclaimLeases(members int) bool {
	return members <= maxReclaimMembers && s.ports.Clock.Now().Sub(s.started) < s.options.ReclaimPeriod
}

// coordinateServices runs the coordinator work of each service whose lease this
// process holds.
func (s *Service) coordinateServices() {
	for _, service := range s.coordinatedServices() {
		if _, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now()); held {
			s.coordinateService(service)
			continue
		}
		s.checkLeaseLost(service)
	}
}

// checkLeaseLost cancels a service's runs and closes its jobs once another
// process is known to hold the lease. While the platform is unavailable no
// process can acquire the lease, so the runs continue: their results are stored
// only if this process still holds the lease.
func (s *Service) checkLeaseLost(service string) {
	owner, known := s.leases.Holder(coordinatorLease(service))
	isOwner := owner.Holder == s.options.Self.VM && owner.Incarnation == s.options.Self.Incarnation
	if known && isOwner {
		s.startDueWork(service)
		return
	}
	if canceled := s.dropJobs(service); canceled > 0 {
		s.log.Info().Str("service", service).Int("runs", canceled).Msg("jobs left to another coordinator")
	}
}

// dropJobs closes a service's jobs, cancels their runs and returns the number of runs.
func (s *Service) dropJobs(service string) int {
	var closed []core.JobID
	var canceled []job.RunID
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		closed = scheduler.IDs()
		canceled = scheduler.Clear()
	})
	s.jobStorage.ReleaseMemory(closed...)
	s.runs.Cancel(canceled)
	return len(canceled)
}

// coordinateService runs the coordinator work of one service.
func (s *Service) coordinateService(service string) {
	s.pollJobs(service)
	s.saveCheckpoint(service)
	s.orderVersions(service)
	s.moveSlowRuns(service)
	s.startDueWork(service)
}

// pollJobs reads the service's jobs, opens new ones and closes ended ones.
func (s *Service) pollJobs(service string) {
	if s.jobStorage.Restoring(service) || !s.jobStorage.BeginSearch(service) {
		return
	}
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		s.metrics.TableReads.Inc(1)
		rows, err := s.scanJobs(ctx)
		s.recordStoreResult("jobs", err)
		s.pool.MustEnqueue(core.ClassRollout, func() {
			s.jobStorage.EndSearch(service)
			if err == nil {
				s.applyJobs(service, rows)
			}
		})
	})
	if err != nil {
		s.jobStorage.EndSearch(service)
	}
}

// jobScanLimit is the number of rows in one read of jobs.
const jobScanLimit = 500

func (s *Service) scanJobs(ctx context.Context) ([]core.Row, error) {
	var all []core.Row
	after := ""
	for {
		rows, err := s.ports.Tables.Scan(ctx, core.TableJob, jobPrefix, after, jobScanLimit)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < jobScanLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key.ID
	}
}

func (s *Service) applyJobs(service string, rows []core.Row) {
	rows = slices.DeleteFunc(rows, func(row core.Row) bool {
		record, ok := row.Record.(core.JobRecord)
		return !ok || record.Service != service
	})
	job.SortByLosses(rows)
	var ids []core.JobID
	for _, row := range rows {
		ids = append(ids, core.JobID(row.Key.ID[len(jobPrefix):]))
	}
	s.jobStorage.FoundJobs(service, ids)
	for i, row := range rows {
		record, id := row.Record.(core.JobRecord), ids[i]
		open := false
		s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { open = scheduler.IsOpen(id) })
		switch {
		case record.Ended && open:
			s.closeJob(service, id)
		case record.Losses > 0 && open && s.jobStorage.IsOpeningSettled(service, id, s.ports.Clock.Now()):
			s.clearLosses(id)
		case !record.Ended && !open && s.jobStorage.BeginJobRead(id):
			s.tryOpenJob(service, id, &record)
		}
	}
}

// tryOpenJob begins to open a job whose read has begun, if it may be opened now.
func (s *Service) tryOpenJob(service string, id core.JobID, record *core.JobRecord) {
	if !s.reserveForRead(id, record) {
		s.jobStorage.EndJobRead(id)
		return
	}
	mayOpen, counts := s.jobStorage.MayOpen(service, id, record.Losses, s.ports.Clock.Now())
	if mayOpen {
		s.openJob(service, &jobRead{id: id, countsLoss: counts})
		return
	}
	if job.IsSetAside(record.Losses) {
		s.metrics.JobsSetAside.Inc(1)
		s.waitingJobLog.Error().Str("job", string(id)).Int("losses", record.Losses).Msg(logs.JobSetAside)
	}
	s.abandonJobRead(id)
}

func (s *Service) closeJob(service string, id core.JobID) {
	var canceled []job.RunID
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { canceled = scheduler.Close(id) })
	s.jobStorage.ReleaseMemory(id)
	s.runs.Cancel(canceled)
	s.metrics.JobsEnded.Inc(1)
	s.log.Info().Str("job", string(id)).Int("canceled", len(canceled)).Msg(logs.JobEnded)
}

// itemService returns the service that the current route table selects for an
// item.
func (s *Service) itemService(start *job.RunStart) (string, error) {
	table := s.routes.Current()
	if table == nil {
		return "", errStarting()
	}
	matched, found := route.Match(table, start.Host, start.Item.Path)
	if !found {
		return "", errkind.New(errkind.NotFound, "no route for %s%s of item %s", start.Host, start.Item.Path, start.Item.ID)
	}
	return s.routes.Choose(matched), nil
}
