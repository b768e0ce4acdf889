package relay

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/duty"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// reportedCall is one call of a platformRecorder.
type reportedCall struct {
	duty   core.Duty
	report core.UsageReport
}

// platformRecorder is a ports.PlatformAPI that records usage reports.
type platformRecorder struct {
	t *testing.T

	mu      sync.Mutex
	calls   []reportedCall
	reports map[core.UsageWindow]map[core.AccountName]uint64
	answer  func(reportedCall) error // nil for success
}

var _ ports.PlatformAPI = (*platformRecorder)(nil)

// ReportUsage implements ports.PlatformAPI.
func (p *platformRecorder) ReportUsage(_ context.Context, duty core.Duty, report core.UsageReport) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(duty.Until) {
		p.t.Errorf("window %d reported under a lease that has ended", report.Window)
	}
	if known, found := p.reports[report.Window]; found && !maps.Equal(known, report.Counts) {
		p.t.Errorf("window %d reported as %v and as %v", report.Window, known, report.Counts)
	}
	call := reportedCall{duty, report}
	p.calls = append(p.calls, call)
	p.reports[report.Window] = maps.Clone(report.Counts)
	if p.answer != nil {
		return p.answer(call)
	}
	return nil
}

// SetDesired implements ports.PlatformAPI.
func (p *platformRecorder) SetDesired(context.Context, core.Duty, core.DesiredServers) error {
	p.t.Error("servers ordered")
	return nil
}

// totals returns the requests of each account in all reports.
func (p *platformRecorder) totals() map[core.AccountName]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := make(map[core.AccountName]uint64)
	for _, counts := range p.reports {
		for account, count := range counts {
			totals[account] += count
		}
	}
	return totals
}

// windows returns the windows that were reported.
func (p *platformRecorder) windows() map[core.UsageWindow]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	windows := make(map[core.UsageWindow]bool)
	for window := range p.reports {
		windows[window] = true
	}
	return windows
}

func (p *platformRecorder) setAnswer(answer func(reportedCall) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = answer
}

// last returns the newest call that matches, and whether there is any.
func (p *platformRecorder) last(matches func(reportedCall) bool) (reportedCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.calls) - 1; i >= 0; i-- {
		if matches(p.calls[i]) {
			return p.calls[i], true
		}
	}
	return reportedCall{}, false
}

// newUsageEnvironment returns an environment whose processes report usage.
func newUsageEnvironment(t *testing.T) (*environment, *platformRecorder) {
	s := newEnvironment(t)
	recorder := &platformRecorder{t: t, reports: make(map[core.UsageWindow]map[core.AccountName]uint64)}
	s.platformAPI = recorder
	s.duties = DutyOptions{ReportsUsage: true, CallsPerSecond: 50, ReportWindow: 500 * time.Millisecond, ReportDue: 4 * time.Second}
	return s, recorder
}

// startCounting starts a process that knows the store's clock.
func (s *environment) startCounting(vm core.VMID) *Service {
	service := s.create(vm)
	now := time.Now()
	service.ObserveStoreTime(core.StoreTime{Sent: now, Received: now, Now: time.Hour + now.Sub(time.Unix(0, 0))})
	service.Start()
	return s.waitReady(service)
}

// TestUsageCountsWhatServersBegan guards, over two processes, against requests that no
// server began to run in a report, and against begun ones that are missing.
func TestUsageCountsWhatServersBegan(t *testing.T) {
	s, recorder := newUsageEnvironment(t)
	services := []*Service{s.startCounting("vm-1"), s.startCounting("vm-2")}
	refused, reset := errkind.New(errkind.ServerRefused, "not run"), errkind.New(errkind.ServerFailed, "reset")
	cases := []struct {
		target  string
		account core.AccountName
		answers []core.RelayResponse
		errors  []error
		want    uint64
	}{
		{"/lookup/answered", "served", []core.RelayResponse{{Status: 200}}, []error{nil}, 1},
		{"/lookup/no-account", "", []core.RelayResponse{{Status: 200}}, []error{nil}, 0},
		{"/lookup/failed-twice", "status 500", []core.RelayResponse{{Status: 500}, {Status: 500}}, []error{nil, nil}, 2},
		{"/lookup/refused-then-served", "refused once", []core.RelayResponse{{}, {Status: 200}}, []error{refused, nil}, 1},
		{"/once/refused", "refused", []core.RelayResponse{{}, {}}, []error{refused, refused}, 0},
		{"/once/reset", "reset", []core.RelayResponse{{SentAfter: 1}}, []error{reset}, 1},
		{"/once/not-sent", "not sent", []core.RelayResponse{{}}, []error{reset}, 0},
	}
	want := make(map[core.AccountName]uint64)
	for _, service := range services {
		for _, c := range cases {
			attempt := 0
			s.mu.Lock()
			s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
				attempt++
				return c.answers[attempt-1], c.errors[attempt-1]
			}
			s.mu.Unlock()
			_, _ = service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: c.target, Account: c.account})
			if c.want > 0 {
				want[c.account] += c.want
			}
		}
		want["stream"]++
		_, err := service.ForwardEvents(t.Context(), core.EventsRequest{RelayRequest: core.RelayRequest{
			ID: "st", Method: "POST", Host: host, Target: "/stream/x", Model: "m", Account: "stream",
		}}, &recordingSink{})
		if err != nil {
			t.Error(err)
		}
		s.mu.Lock()
		s.exchange, s.refusesRuns = nil, func(core.VM) bool { return true }
		s.mu.Unlock()
		_, _ = service.ForwardEvents(t.Context(), core.EventsRequest{RelayRequest: core.RelayRequest{
			ID: "st", Method: "POST", Host: host, Target: "/stream/x", Model: "m", Account: "stream without event",
		}}, &recordingSink{})
		s.mu.Lock()
		s.refusesRuns = nil
		s.mu.Unlock()
	}
	if err := services[0].Submit(t.Context(), newJob("j", 5)); err != nil { // its items and scorer calls don't count
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(services[0], "j").Results) == 5 })
	s.eventually("all requests in reports", func() bool { return maps.Equal(recorder.totals(), want) })
	before := len(recorder.windows())
	s.eventually("further reports", func() bool { return len(recorder.windows()) > before+2 })
	if got := recorder.totals(); !maps.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// recordingSink is an event sink that accepts everything.
type recordingSink struct{}

func (*recordingSink) Head(core.RelayResponse) error { return nil }
func (*recordingSink) Event(core.Event) error        { return nil }

// TestReportsHaveOneContentAndNoGap guards against a second content of a report whose answer
// was lost, and against windows without a report after the holder has died.
func TestReportsHaveOneContentAndNoGap(t *testing.T) {
	s, recorder := newUsageEnvironment(t)
	recorder.setAnswer(func(reportedCall) error { return errkind.New(errkind.OutcomeUnknown, "answer lost") })
	services := map[core.VMID]*Service{"vm-1": s.startCounting("vm-1"), "vm-2": s.startCounting("vm-2")}
	for _, service := range services {
		if _, err := service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Account: "a"}); err != nil {
			t.Fatal(err)
		}
	}
	any := func(reportedCall) bool { return true }
	s.eventually("a report", func() bool { _, found := recorder.last(any); return found })
	first, _ := recorder.last(any)
	services[first.duty.Holder].Stop()
	byOther := func(c reportedCall) bool { return c.duty.Holder != first.duty.Holder }
	s.eventually("a report of the successor", func() bool { _, found := recorder.last(byOther); return found })
	if next, _ := recorder.last(byOther); next.duty.Fence <= first.duty.Fence {
		t.Errorf("fencing number %d after %d", next.duty.Fence, first.duty.Fence)
	}
	if _, repeated := recorder.last(func(c reportedCall) bool { return byOther(c) && c.report.Window == first.report.Window }); !repeated {
		t.Error("the successor has not repeated the report whose answer was lost")
	}
	recorder.setAnswer(nil)
	s.eventually("both requests in reports", func() bool { return recorder.totals()["a"] == 2 })
	s.eventually("windows after those of the lost answers", func() bool {
		last, _ := recorder.last(any)
		return last.report.Window > first.report.Window+6
	})
	last, _ := recorder.last(any)
	reported := recorder.windows()
	for window := first.report.Window; window <= last.report.Window; window++ {
		if !reported[window] {
			t.Errorf("window %d is not reported, %d is", window, last.report.Window)
		}
	}
	for _, service := range services {
		if state := service.State().Usage; state.Holder == "" || state.Window == 0 {
			t.Errorf("state %+v", state)
		}
	}
}

// TestNoDutyNoCalls guards against calls, rows and bytes in deployments without duties.
func TestNoDutyNoCalls(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	_, err := service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Account: "a"})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * usage.WriteInterval(1))
	for _, table := range []core.TableName{core.TableUsage, core.TableReport, core.TableReported, core.TableLease, core.TableFence} {
		rows, err := s.tables.Scan(t.Context(), table, duty.Partition, "", 10)
		if err != nil || len(rows) > 0 {
			t.Errorf("rows %v, %v in table %s", rows, err, table)
		}
	}
	rows, err := s.tables.Scan(t.Context(), core.TableMember, membersPrefix, "", 10)
	if err != nil || len(rows) != 1 || rows[0].Record.(core.MemberRecord).Usage != nil {
		t.Errorf("announcements %+v, %v", rows, err)
	}
}
