package relay

import (
	"context"
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// Checkpoints of running texts. The longest texts take some seconds, which a
// change of coordinator would cost again, and a step waits for them.
const (
	saveEvery       = time.Second
	saveLeaving     = 250 * time.Millisecond // of a process that is about to hand its jobs on
	saveEvents      = 16                     // of a text that is worth keeping, about half a second of an engine
	saveBytes       = 1 << 20                // of one checkpoint
	saveTimeout     = 2 * time.Second        // the object store takes 25 ms, and much longer when it is slow
	restoreTimeout  = 1 * time.Second        // jobs wait for it
	checkpointLimit = 100                    // read of one list
	checkpointSaves = 1_000_000_000          // more than one coordinator ever makes
)

func checkpointPrefix(service string) core.ObjectKey { return core.ObjectKey("texts-" + service + "-") }

// checkpointKey names a checkpoint so that newer ones sort later: by the fence
// of the coordinator and then by number.
func checkpointKey(service string, fence core.Fence, number uint64) core.ObjectKey {
	return core.ObjectKey(fmt.Sprintf("%s%010d-%010d", checkpointPrefix(service), fence, number%checkpointSaves))
}

// saveTexts stores a checkpoint of a service's texts now and then, and drops
// the one before.
func (s *Service) saveTexts(service string) {
	holding, held := s.leases.Held(coordinatorLease(service), s.ports.Clock.Now())
	every := saveEvery
	if !s.servesNewWork() {
		every = saveLeaving
	}
	number, before, due := s.stored.BeginSave(service, s.ports.Clock.Now(), every)
	if !held || !due {
		return
	}
	var checkpoint core.Checkpoint
	s.jobs.With(service, func(b *job.Book) { checkpoint = b.Checkpoint(saveEvents, saveBytes) })
	if len(checkpoint.Texts) == 0 {
		return
	}
	key := checkpointKey(service, holding.Fence, number)
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		if err := s.putTexts(ctx, key, checkpoint); err != nil {
			s.log.Debug().Err(err).Str("service", service).Msg("texts not saved")
			return
		}
		s.stored.Saved(service, key)
		if before == "" {
			return
		}
		if err := s.ports.Objects.Delete(ctx, before); err != nil {
			s.log.Debug().Err(err).Str("object", string(before)).Msg("old texts not dropped")
		}
	})
	if err != nil {
		s.log.Debug().Err(err).Str("service", service).Msg("texts not saved")
	}
}

func (s *Service) putTexts(ctx context.Context, key core.ObjectKey, checkpoint core.Checkpoint) error {
	body, err := s.ports.Bodies.EncodeCheckpoint(checkpoint)
	if err != nil {
		return err
	}
	return s.ports.Objects.Put(ctx, key, body)
}

// restoreTexts reads the newest checkpoint of a service that this process has
// begun to coordinate. Its jobs are opened after that, whatever came of it.
func (s *Service) restoreTexts(service string) {
	s.stored.BeginRestore(service)
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
		defer cancel()
		checkpoint, err := s.newestTexts(ctx, service)
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.jobs.With(service, func(b *job.Book) { b.Restore(checkpoint) })
			s.stored.EndRestore(service)
			s.log.Info().Err(err).Str("service", service).Int("texts", len(checkpoint.Texts)).Msg("texts restored")
			s.findJobs(service)
		})
	})
	if err != nil {
		s.stored.EndRestore(service)
	}
}

func (s *Service) newestTexts(ctx context.Context, service string) (core.Checkpoint, error) {
	keys, err := s.ports.Objects.List(ctx, checkpointPrefix(service), "", checkpointLimit)
	if err != nil || len(keys) == 0 {
		return core.Checkpoint{}, err
	}
	body, err := s.ports.Objects.Get(ctx, keys[len(keys)-1])
	if err != nil {
		return core.Checkpoint{}, err
	}
	return s.ports.Bodies.DecodeCheckpoint(body)
}
