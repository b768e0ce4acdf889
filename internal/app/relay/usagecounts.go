package relay

import (
	"context"
	"sync"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/usage"
)

// usageWriteTimeout bounds one write of counts. A store slowed down eighty times still
// answers within it.
const usageWriteTimeout = 2 * time.Second

// countsUsageOf reports whether requests of an account are counted. Requests without one
// belong to no account, or to a job.
func (s *Service) countsUsageOf(account core.AccountName) bool {
	return s.duties.counts != nil && account != ""
}

// countAttempt counts a request that is sent to a backend server now. The returned function
// records how the attempt ended.
func (s *Service) countAttempt(c *call) (ended func(core.RelayResponse, error)) {
	if c.class != core.ClassInteractive || !s.countsUsageOf(c.request.Account) {
		return func(core.RelayResponse, error) {}
	}
	attempt := s.duties.counts.Send(c.request.Account, s.ports.Clock.Now())
	return func(response core.RelayResponse, err error) {
		hasBegun := usage.HasBegun(err, response.SentAfter > 0)
		if hasBegun {
			s.metrics.UsageBegun.Inc(1)
		}
		s.duties.counts.End(attempt, hasBegun, response.SentAfter)
	}
}

// countFirstEvent returns a function that counts a streaming request when it is called
// first, which is at the first event of an attempt.
func (s *Service) countFirstEvent(account core.AccountName) func() {
	if !s.countsUsageOf(account) {
		return func() {}
	}
	return sync.OnceFunc(func() {
		s.metrics.UsageBegun.Inc(1)
		s.duties.counts.Begin(account, s.ports.Clock.Now())
	})
}

// usageWriteInterval returns the interval at which this process writes its counts.
func (s *Service) usageWriteInterval() time.Duration {
	return usage.WriteInterval(len(s.members.Live()))
}

// writeUsage writes the counts that have changed.
func (s *Service) writeUsage() { s.startUsageWrite(func() {}) }

// startUsageWrite starts a write of the counts that have changed and calls done when it has
// ended, also if there is nothing to write.
func (s *Service) startUsageWrite(done func()) {
	now := s.ports.Clock.Now()
	trueTime, known := s.duties.trueTime.Conversion(now)
	if !known {
		done()
		return
	}
	commit, counts, found := s.duties.counts.BeginWrite(now, trueTime, s.newAttemptID())
	s.metrics.UsageLost.Update(int64(s.duties.counts.Lost()))
	if !found {
		done()
		return
	}
	err := s.lanes.duties.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, usageWriteTimeout)
		defer cancel()
		s.duties.counts.EndWrite(s.commitCounts(ctx, commit, counts))
		done()
	})
	if err != nil {
		s.duties.counts.EndWrite(func(*usage.Counter) {})
		s.log.Debug().Err(err).Msg("usage counts not written yet")
		done()
	}
}

// commitCounts sends a commit of counts and returns the update of the counter. What is not
// known to be written is written again.
func (s *Service) commitCounts(ctx context.Context, commit core.Commit, counts []usage.Counts) func(*usage.Counter) {
	result, err := s.committer.Commit(ctx, commit)
	s.recordStoreResult("usage counts", err)
	if err == nil && result.Applied {
		s.metrics.UsageWrites.Inc(1)
		return func(c *usage.Counter) { c.Written(counts, result.Version) }
	}
	if err == nil {
		keys := make([]core.RowKey, len(commit.Writes))
		for i, write := range commit.Writes {
			keys[i] = write.Key
		}
		rows, err := s.committer.Read(ctx, keys...)
		if err == nil {
			return func(c *usage.Counter) { c.Conflict(counts, rows) }
		}
	}
	return func(*usage.Counter) {}
}

// flushUsage writes the counts that have changed and waits until it has ended or the
// context is done.
func (s *Service) flushUsage(ctx context.Context) {
	if s.duties.counts == nil {
		return
	}
	flushed := make(chan struct{})
	s.startUsageWrite(func() { close(flushed) })
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}
