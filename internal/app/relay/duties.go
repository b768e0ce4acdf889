package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/duty"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// DutyOptions are the calls that one entry process makes to the platform's interface for
// all of them. The zero value has none: no lease is followed and nothing is counted.
type DutyOptions struct {
	ReportsUsage   bool
	CallsPerSecond float64       // calls per second that the interface accepts from all processes
	ReportWindow   time.Duration // length of the windows in which usage is counted
	ReportDue      time.Duration // time after a window's end at which its report is due
}

// dutyInterval is the interval at which the holder looks for calls that are due. It is a
// small part of the seconds in which a report is due.
const dutyInterval = 200 * time.Millisecond

// duties is the state of a process for calls to the platform's interface.
type duties struct {
	calls    *tables.DutyCalls
	trueTime *tables.TrueTime
	counts   *tables.UsageCounts  // nil if usage is not reported
	reports  *tables.UsageReports // nil if usage is not reported
}

func newDuties(options *Options) duties {
	d := duties{trueTime: tables.NewTrueTime()}
	o := &options.Duties
	if options.hasDuties() {
		d.calls = tables.NewDutyCalls(o.CallsPerSecond)
	}
	if o.ReportsUsage {
		d.counts = tables.NewUsageCounts(usage.NewCounter(o.ReportWindow, o.ReportDue, options.Self.VM, options.Self.Incarnation))
		d.reports = tables.NewUsageReports(usage.NewLedger(o.ReportWindow, o.ReportDue))
	}
	return d
}

// hasDuties reports whether the deployment has any duty.
func (o *Options) hasDuties() bool { return o.Duties.ReportsUsage }

// dutyLeaseTiming returns the timing of the duty's lease. The platform compares fencing
// numbers, and a call of an earlier process on the same VM has a lower one: it must have
// ended too.
func dutyLeaseTiming(options *Options) lease.Timing {
	timing := leaseTiming(options)
	timing.OrdersByVM = false
	return timing
}

// startDuties starts the periodic work of the duties.
func (s *Service) startDuties() {
	if !s.options.hasDuties() {
		return
	}
	s.leases.UseTiming(duty.LeaseName, dutyLeaseTiming(&s.options))
	s.runPeriodically(constantInterval(dutyInterval), s.performDuties)
	if s.duties.counts != nil {
		s.runPeriodically(s.usageWriteInterval, s.writeUsage)
	}
}

// performDuties makes the calls that are due if this process holds the duty's lease.
func (s *Service) performDuties() {
	holding, held := s.leases.Holding(duty.LeaseName, s.ports.Clock.Now())
	if !held {
		s.metrics.DutyHeld.Update(0)
		s.metrics.UsageOwed.Update(0)
		return
	}
	s.metrics.DutyHeld.Update(1)
	if s.duties.reports != nil {
		s.reportUsage(holding)
	}
}

// callPlatform makes one call to the platform's interface as soon as the pace allows it,
// and passes its outcome to done on a worker of the pool. It returns false if no call may
// be made now; the caller tries again later.
//
// The lease is checked immediately before the call is sent. Errors: those of
// ports.PlatformAPI; NotOwner also while calls of a former holder may still take effect.
func (s *Service) callPlatform(call func(context.Context, core.Duty) error, done func(error)) bool {
	timeout, may := s.duties.calls.Begin(s.ports.Clock.Now())
	if !may {
		return false
	}
	err := s.lanes.platform.Go(func(lane context.Context) {
		err := s.callAsHolder(lane, timeout, call)
		ended := s.ports.Clock.Now()
		s.pool.MustEnqueue(core.ClassControl, func() {
			done(err) // before another call, which it may make unnecessary
			s.duties.calls.End(kindOf(err), ended)
		})
	})
	if err != nil {
		s.duties.calls.End(errkind.NotOwner, s.ports.Clock.Now())
		return false
	}
	return true
}

// kindOf returns the kind of an error, empty for none.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.Of(err)
}

func (s *Service) callAsHolder(lane context.Context, timeout time.Duration, call func(context.Context, core.Duty) error) error {
	holding, allowed := s.leases.StartCall(duty.LeaseName, s.ports.Clock.Now())
	if !allowed {
		return errkind.New(errkind.NotOwner, "lease not held, or a former holder's call may still take effect")
	}
	ctx, cancel := context.WithTimeout(lane, timeout)
	defer cancel()
	s.metrics.DutyCalls.Inc(1)
	err := call(ctx, core.Duty{Holder: s.options.Self.VM, Fence: holding.Fence, Until: holding.Until})
	if err != nil {
		s.metrics.DutyFailures.Inc(1)
	}
	return err
}
