package relay

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/duty"
	"fescuespar/internal/core/usage"
)

// UsageState is the part of State about reports of usage.
type UsageState struct {
	Holder         core.VMID        `json:"holder"`            // last known holder of the duty, empty if this process does not follow its lease
	Reports        *usage.Summary   `json:"reports,omitempty"` // as known by the holder, nil in other processes
	Window         core.UsageWindow `json:"window"`            // current window, zero while true time is not known
	CountedThrough core.UsageWindow `json:"counted_through"`   // last window whose counts of this process are written
	Lost           uint64           `json:"lost"`              // requests that were counted here and will not be reported
	ClockDeviation time.Duration    `json:"clock_deviation"`   // of this VM's time of day from the agreed one, in nanoseconds
}

// usageState returns the state of the reports of usage, nil if usage is not reported.
func (s *Service) usageState() *UsageState {
	if s.duties.counts == nil {
		return nil
	}
	now := s.ports.Clock.Now()
	owner, _ := s.leases.Holder(duty.LeaseName)
	state := &UsageState{Holder: owner.Holder, Lost: s.duties.counts.Lost()}
	trueTime, known := s.duties.trueTime.Conversion(now)
	if !known {
		return state
	}
	state.Window = usage.WindowAt(trueTime(now), s.options.Duties.ReportWindow)
	state.CountedThrough = s.duties.counts.CountedThrough(now, trueTime)
	if measured, known := s.duties.trueTime.Measured(now); known {
		agreed, _ := s.duties.trueTime.Agreed()
		state.ClockDeviation = measured - agreed
	}
	if holding, held := s.leases.Holding(duty.LeaseName, now); held {
		s.duties.reports.With(holding.Fence, func(l *usage.Ledger) {
			summary := l.Summary(trueTime(now))
			state.Reports = &summary
		})
	}
	return state
}
