package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// usageStoreTimeout bounds the reading of counts and the commit of reports.
const usageStoreTimeout = 3 * time.Second

// reportUsage fixes the reports that are due and sends the next one. This process holds
// the lease.
func (s *Service) reportUsage(holding lease.Holding) {
	now := s.ports.Clock.Now()
	trueTime, known := s.duties.trueTime.Conversion(now)
	if !known {
		return
	}
	through, isKnown, readableSince := s.members.CountedThrough(now)
	progress := usage.Progress{
		CountedThrough: through, IsKnown: isKnown, ReadableSince: trueTime(readableSince), WriteInterval: s.usageWriteInterval(),
	}
	switch work, through := s.duties.reports.Begin(holding.Fence, trueTime(now), progress); work {
	case tables.LoadReports:
		s.workOnReports(func(ctx context.Context) func(*usage.Ledger) {
			return s.loadReports(ctx, trueTime(s.started), trueTime(now))
		})
	case tables.SettleUsage:
		s.workOnReports(func(ctx context.Context) func(*usage.Ledger) { return s.settleUsage(ctx, holding, through) })
	}
	s.sendNextReport(holding.Fence, trueTime(now))
}

// workOnReports runs work on the rows of reports on a lane. It returns the update of the
// ledger.
func (s *Service) workOnReports(work func(context.Context) func(*usage.Ledger)) {
	err := s.lanes.duties.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
		defer cancel()
		s.duties.reports.End(work(ctx))
		s.pool.MustEnqueue(core.ClassControl, s.performDuties)
	})
	if err != nil {
		s.duties.reports.End(func(*usage.Ledger) {})
		s.log.Debug().Err(err).Msg("usage reports not worked on yet")
	}
}

// loadReports reads what an earlier holder has fixed. The row of SettledKey is read first:
// a report that is fixed in between is then read as well.
func (s *Service) loadReports(ctx context.Context, started, now time.Time) func(*usage.Ledger) {
	settled, err := s.committer.Read(ctx, usage.SettledKey)
	var reports []core.Row
	if err == nil {
		reports, err = s.scanAll(ctx, core.TableReport, usage.ReportsPrefix)
	}
	s.recordStoreResult("usage reports", err)
	if err != nil {
		return func(*usage.Ledger) {}
	}
	return func(l *usage.Ledger) {
		skipped := l.Load(settled[0], reports, started, now)
		s.log.Info().Any("usage", l.Summary(now)).Int("skipped", skipped).Msg("usage reports taken over")
	}
}

// settleUsage fixes the reports of the windows up to the given one.
func (s *Service) settleUsage(ctx context.Context, holding lease.Holding, through core.UsageWindow) func(*usage.Ledger) {
	counts, err := s.scanAll(ctx, core.TableUsage, usage.CountsPrefix)
	s.recordStoreResult("usage reports", err)
	if err != nil {
		return func(*usage.Ledger) {}
	}
	var settlement usage.Settlement
	isLoaded := s.duties.reports.With(holding.Fence, func(l *usage.Ledger) {
		settlement = l.Settle(through, counts, holding.Guard, s.newAttemptID())
	})
	if !isLoaded {
		return func(*usage.Ledger) {}
	}
	result, err := s.committer.Commit(ctx, settlement.Commit)
	s.recordStoreResult("usage reports", err)
	switch {
	case errkind.Is(err, errkind.StoreUnavailable):
		return func(*usage.Ledger) {}
	case err != nil: // the reports may be fixed
		s.log.Warn().Err(err).Msg("usage reports are read again")
		return (*usage.Ledger).Unload
	case !result.Applied:
		s.log.Info().Int("changed", len(result.Failed)).Msg("usage counts or reports have changed; reading them again")
		return func(l *usage.Ledger) { l.CommitFailed(result.Failed) }
	}
	s.logSettled(&settlement)
	return func(l *usage.Ledger) { l.Settled(settlement, result.Version) }
}

func (s *Service) logSettled(settlement *usage.Settlement) {
	s.metrics.UsageSettled.Inc(int64(len(settlement.Reports)))
	s.metrics.UsageLateRows.Inc(int64(settlement.Late))
	for _, report := range settlement.Reports {
		s.log.Info().Uint64("window", uint64(report.Window)).Int("accounts", len(report.Counts)).
			Uint64("requests", report.Total()).Int("late_rows", settlement.Late).Msg(logs.UsageSettled)
	}
}

// scanAll reads all rows of a table whose ids start with a prefix, page by page.
func (s *Service) scanAll(ctx context.Context, table core.TableName, prefix string) ([]core.Row, error) {
	var all []core.Row
	for after := ""; ; {
		rows, err := s.ports.Tables.Scan(ctx, table, prefix, after, tablePageRows)
		s.metrics.TableReads.Inc(int64(len(rows)))
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

// sendNextReport sends the report that is due next, if there is any. now is true time.
func (s *Service) sendNextReport(fence core.Fence, now time.Time) {
	var report core.UsageReport
	found := false
	s.duties.reports.With(fence, func(l *usage.Ledger) {
		report, found = l.NextReport(now)
		s.metrics.UsageOwed.Update(int64(l.Summary(now).Owed))
	})
	if !found {
		return
	}
	s.callPlatform(func(ctx context.Context, duty core.Duty) error {
		return s.ports.PlatformAPI.ReportUsage(ctx, duty, report)
	}, func(err error) { s.applyReportOutcome(fence, report, err) })
}

func (s *Service) applyReportOutcome(fence core.Fence, report core.UsageReport, err error) {
	if err != nil {
		if !errkind.Is(err, errkind.NotOwner) {
			s.log.Warn().Err(err).Uint64("window", uint64(report.Window)).Msg(logs.UsageRefused)
		}
		return
	}
	isFirst, isLate := false, false
	trueTime, known := s.duties.trueTime.Conversion(s.ports.Clock.Now())
	s.duties.reports.With(fence, func(l *usage.Ledger) {
		isFirst = l.Accepted(report.Window)
		isLate = known && l.IsLate(report.Window, trueTime(s.ports.Clock.Now()))
	})
	if !isFirst {
		return
	}
	s.metrics.UsageAccepted.Inc(1)
	line := s.log.Info()
	if isLate {
		s.metrics.UsageLate.Inc(1)
		line = s.log.Warn()
	}
	line.Uint64("window", uint64(report.Window)).Uint64("fence", uint64(fence)).Bool("late", isLate).Msg(logs.UsageAccepted)
	s.performDuties()
}
