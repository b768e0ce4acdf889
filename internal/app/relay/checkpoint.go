package relay

import (
	"context"
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// Checkpoints of the partial outputs of running items. Without them a new
// coordinator would generate the outputs again from the start: the longest take
// some seconds, and a training step waits for them.
const (
	checkpointInterval     = time.Second
	minCheckpointEvents    = 16                     // events of the shortest output saved: about half a second of generation
	minHandoverEvents      = 1                      // of the last checkpoint of a process that shuts down
	handoverTimeout        = 500 * time.Millisecond // for the last checkpoint; a takeover after the lease's term takes three times as long
	maxCheckpointBytes     = 1 << 20                // size of one checkpoint
	checkpointWriteTimeout = 2 * time.Second        // the object store usually takes 25 ms, far longer under load
	checkpointReadTimeout  = 1 * time.Second        // jobs are not opened before the read ends
	checkpointListLimit    = 100                    // keys read from one listing
	checkpointNumberLimit  = 1_000_000_000          // a coordinator never writes this many checkpoints
)

func checkpointPrefix(service string) core.ObjectKey { return core.ObjectKey("texts-" + service + "-") }

// checkpointKey returns an object key under which newer checkpoints sort later:
// by the coordinator's fence, then by number.
func checkpointKey(service string, fence core.Fence, number uint64) core.ObjectKey {
	return core.ObjectKey(fmt.Sprintf("%s%010d-%010d", checkpointPrefix(service), fence, number%checkpointNumberLimit))
}

// saveCheckpoint stores a checkpoint of a service's partial outputs if one is due
// and then deletes the previous one.
func (s *Service) saveCheckpoint(service string) {
	holding, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now())
	number, previous, due := s.jobStorage.BeginCheckpoint(service, s.ports.Clock.Now(), checkpointInterval)
	if held && due {
		s.writeCheckpoint(service, checkpointKey(service, holding.Fence, number), previous, minCheckpointEvents, checkpointWriteTimeout, func() {})
	}
}

// prepareHandover stores the last checkpoint of a service that this process coordinates
// while it shuts down. It returns false until that has ended, and the lease must be kept
// until then: the next coordinator restores the newest checkpoint only once.
func (s *Service) prepareHandover(service string) bool {
	holding, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now())
	if !held {
		return true
	}
	begins, ended := s.jobStorage.BeginHandover(service)
	if begins {
		number, previous, _ := s.jobStorage.BeginCheckpoint(service, s.ports.Clock.Now(), 0)
		s.writeCheckpoint(service, checkpointKey(service, holding.Fence, number), previous, minHandoverEvents, handoverTimeout, func() {
			s.jobStorage.EndHandover(service)
			s.pool.MustEnqueue(core.ClassControl, s.updateLeases)
		})
	}
	return ended
}

// writeCheckpoint stores the outputs of a service that have at least the given number
// of events and then deletes the previous checkpoint. It calls done once the write has
// ended.
func (s *Service) writeCheckpoint(service string, key, previous core.ObjectKey, events int, timeout time.Duration, done func()) {
	var checkpoint core.Checkpoint
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		checkpoint = scheduler.Checkpoint(events, maxCheckpointBytes)
	})
	if len(checkpoint.Texts) == 0 {
		done()
		return
	}
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err := s.putCheckpoint(ctx, key, checkpoint)
		done()
		if err != nil {
			s.log.Debug().Err(err).Str("service", service).Msg("checkpoint not written")
			return
		}
		s.jobStorage.EndCheckpoint(service, key)
		if previous == "" {
			return
		}
		if err := s.ports.Objects.Delete(ctx, previous); err != nil {
			s.log.Debug().Err(err).Str("object", string(previous)).Msg("previous checkpoint not deleted")
		}
	})
	if err != nil {
		s.log.Debug().Err(err).Str("service", service).Msg("checkpoint write not queued")
		done()
	}
}

func (s *Service) putCheckpoint(ctx context.Context, key core.ObjectKey, checkpoint core.Checkpoint) error {
	body, err := s.ports.Bodies.EncodeCheckpoint(checkpoint)
	if err != nil {
		return err
	}
	return s.ports.Objects.Put(ctx, key, body)
}

// restoreCheckpoint reads the newest checkpoint of a service that this process
// has begun to coordinate. The service's jobs are opened after the read, also
// if it fails.
func (s *Service) restoreCheckpoint(service string) {
	s.jobStorage.BeginRestore(service)
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, checkpointReadTimeout)
		defer cancel()
		checkpoint, err := s.loadNewestCheckpoint(ctx, service)
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.Restore(checkpoint) })
			s.jobStorage.EndRestore(service)
			s.log.Info().Err(err).Str("service", service).Int("texts", len(checkpoint.Texts)).Msg("texts restored")
			s.pollJobs(service)
		})
	})
	if err != nil {
		s.jobStorage.EndRestore(service)
	}
}

func (s *Service) loadNewestCheckpoint(ctx context.Context, service string) (core.Checkpoint, error) {
	keys, err := s.ports.Objects.List(ctx, checkpointPrefix(service), "", checkpointListLimit)
	if err != nil || len(keys) == 0 {
		return core.Checkpoint{}, err
	}
	body, err := s.ports.Objects.Get(ctx, keys[len(keys)-1])
	if err != nil {
		return core.Checkpoint{}, err
	}
	return s.ports.Bodies.DecodeCheckpoint(body)
}
