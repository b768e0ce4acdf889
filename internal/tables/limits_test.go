package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/errkind"
)

var (
	tableNow    = time.Unix(1000, 0)
	shareTiming = admission.ShareTiming{LoanTimeout: 3 * time.Second, PeerTimeout: 5 * time.Second, StartupDelay: 2 * time.Second}
)

// limitedDeployment returns a deployment with a limit of 4 requests in flight
// and 2 queued.
func limitedDeployment() *core.Deployment {
	return &core.Deployment{Name: "d", Limits: core.Limits{
		Concurrent: 4, QueueLength: 2, QueueTimeout: time.Second, RequestTimeout: time.Minute}}
}

func TestLimitsStartQueueAndRefuse(t *testing.T) {
	longAgo := tableNow.Add(-shareTiming.PeerTimeout)
	table := NewLimits("self", 1, shareTiming, longAgo)
	table.ApplyEntryVMs([]core.VMID{"a", "b", "c", "self"}, longAgo)
	deployment := limitedDeployment() // this process's share is 1 of 4 units
	deployment.Limits.QueueLength = 8 // and 2 of 8 queue entries
	var outcomes []error
	admit := func(now time.Time) (bool, error) {
		return table.Admit(deployment, &admission.Request[AdmissionCallback]{
			Caller: "c", Class: core.ClassInteractive, Cost: 1, Deadline: now.Add(time.Minute),
			Payload: func(err error) { outcomes = append(outcomes, err) }}, now)
	}
	if started, err := admit(tableNow); !started || err != nil {
		t.Fatalf("first request: started %v, error %v, want a start", started, err)
	}
	_, _ = admit(tableNow)
	_, _ = admit(tableNow)
	if _, err := admit(tableNow); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("fourth request: %v, want overloaded", err)
	}
	table.Release("d", core.ClassInteractive, time.Millisecond, tableNow)
	if len(outcomes) != 1 || outcomes[0] != nil {
		t.Errorf("outcomes after a release: %v, want one start", outcomes)
	}
	table.Expire("d", tableNow.Add(2*time.Second))
	if len(outcomes) != 2 || !errkind.Is(outcomes[1], errkind.DeadlineTooShort) {
		t.Errorf("outcomes after the queue timeout: %v, want a refusal", outcomes)
	}
	_, _ = admit(tableNow.Add(2 * time.Second))
	table.ApplyEntryVMs([]core.VMID{"self"}, tableNow.Add(2*time.Second))
	table.Refresh(tableNow.Add(3 * time.Second))
	if len(outcomes) != 2 {
		t.Errorf("outcomes while the other processes may still use their shares: %v, want no further start", outcomes)
	}
	_, _ = admit(tableNow.Add(6500 * time.Millisecond))
	table.Refresh(tableNow.Add(2*time.Second + shareTiming.PeerTimeout)) // the only member since then, so it gets the whole limit
	if len(outcomes) != 4 || outcomes[2] != nil || outcomes[3] != nil {
		t.Errorf("outcomes after the share grew: %v, want two more starts", outcomes)
	}
}

// TestIdleProcessLendsItsShare guards against a process that never had a request
// of a deployment keeping its share of the limit to itself.
func TestIdleProcessLendsItsShare(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength = 16, 64
	configuration := &core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}
	busy, idle := NewLimits("busy", 1, shareTiming, tableNow), NewLimits("idle", 1, shareTiming, tableNow)
	for _, table := range []*Limits{busy, idle} {
		table.ApplyEntryVMs([]core.VMID{"busy", "idle"}, tableNow)
		table.ApplyConfiguration(configuration, tableNow)
	}
	started := 0
	for range 16 {
		request := &admission.Request[AdmissionCallback]{Caller: "c", Class: core.ClassInteractive, Cost: 1,
			Deadline: tableNow.Add(time.Minute), Payload: func(err error) {
				if err == nil {
					started++
				}
			}}
		if atOnce, _ := busy.Admit(deployment, request, tableNow); atOnce {
			started++
		}
	}
	for round := range 24 {
		now := tableNow.Add(time.Duration(round) * time.Second / 4)
		idle.ApplyUpdates("busy", busy.HeartbeatUpdates("idle", false, now), time.Time{}, now)
		busy.ApplyUpdates("idle", idle.HeartbeatUpdates("busy", true, now), now, now)
		idle.Refresh(now)
		busy.Refresh(now)
	}
	if started <= 8 {
		t.Errorf("%d requests started, want more than the process's own share of 8 of 16", started)
	}
}

func TestCrashesResumeHeldRequests(t *testing.T) {
	const fingerprint = 7
	cases := []struct {
		name string
		run  func(*Crashes)
		want []core.ServerID // trial servers that the held request is resumed with
	}{
		{"cleared by a peer", func(c *Crashes) {
			c.ApplyUpdates("x", []core.CrashUpdate{{Fingerprint: fingerprint, Round: 1, State: core.CrashCleared}}, tableNow)
		}, []core.ServerID{""}},
		{"trial", func(c *Crashes) {
			later := tableNow.Add(5 * time.Second)
			if !c.ProposeTrials(func(*HeldRequest) core.ServerID { return "b" }, later) {
				t.Error("the trial was not proposed")
			}
			c.StartTrials([]core.VMID{"self"})
			c.StartTrials([]core.VMID{"self"})
		}, []core.ServerID{"b"}},
		{"a peer does not answer", func(c *Crashes) {
			c.ProposeTrials(func(*HeldRequest) core.ServerID { return "b" }, tableNow.Add(5*time.Second))
			c.StartTrials([]core.VMID{"self", "x"})
		}, nil},
	}
	for _, c := range cases {
		table := NewCrashes("self")
		var resumed []core.ServerID
		if verdict, _, _ := table.Begin(fingerprint, "m", nil, tableNow); verdict != crash.Run {
			t.Fatalf("%s: first verdict %d, want %d", c.name, verdict, crash.Run)
		}
		table.End(fingerprint, "a", crash.ServerDied, tableNow)
		resume := func(trial core.ServerID) { resumed = append(resumed, trial) }
		if verdict, _, _ := table.Begin(fingerprint, "m", resume, tableNow); verdict != crash.Hold {
			t.Fatalf("%s: verdict after a server crash %d, want %d", c.name, verdict, crash.Hold)
		}
		c.run(table)
		if len(resumed) != len(c.want) || (len(resumed) == 1 && resumed[0] != c.want[0]) {
			t.Errorf("%s: resumed with %q, want %q", c.name, resumed, c.want)
		}
	}
}

// TestServerLimitBoundsRolloutsOnly uses all slots of a server: further rollouts
// are refused, interactive requests are not, and a released slot can be acquired
// again.
func TestServerLimitBoundsRolloutsOnly(t *testing.T) {
	limits := NewLimits("vm", 1, admission.ShareTiming{}, time.Unix(1e9, 0))
	now := time.Unix(1e9, 0)
	slots := 0
	for limits.AcquireServer("e", core.ClassRollout, now) {
		if slots++; slots > 1000 {
			t.Fatal("rollouts are not bounded")
		}
	}
	if !limits.AcquireServer("e", core.ClassInteractive, now) {
		t.Error("an interactive request was refused a slot")
	}
	limits.ReleaseServer("e", 0, false, now)
	limits.ReleaseServer("e", 0, false, now)
	if !limits.AcquireServer("e", core.ClassRollout, now) {
		t.Error("a released slot cannot be acquired again")
	}
	limits.RetainServers(nil)
	if got := len(limits.servers); got != 0 {
		t.Errorf("limits of %d servers remain that are not in the VM list", got)
	}
}

// TestRolloutsReturnBorrowedUnitsToInteractiveRequests guards against rollouts
// keeping units that they borrowed from a process where interactive requests
// wait.
func TestRolloutsReturnBorrowedUnitsToInteractiveRequests(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength, deployment.Limits.QueueTimeout = 16, 64, time.Minute
	lender, trainer := NewLimits("lender", 1, shareTiming, tableNow), NewLimits("trainer", 1, shareTiming, tableNow)
	for _, table := range []*Limits{lender, trainer} {
		table.ApplyEntryVMs([]core.VMID{"lender", "trainer"}, tableNow)
		table.ApplyConfiguration(&core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}, tableNow)
	}
	admit := func(table *Limits, class core.Class, count int, now time.Time) (started *int) {
		started = new(int)
		for range count {
			ok, _ := table.Admit(deployment, &admission.Request[AdmissionCallback]{Caller: "c", Class: class, Cost: 1,
				Deadline: now.Add(time.Hour), Payload: func(err error) {
					if err == nil {
						*started++
					}
				}}, now)
			if ok {
				*started++
			}
		}
		return started
	}
	now := tableNow
	exchange := func(count int) {
		for range count {
			now = now.Add(time.Second / 4)
			lender.ApplyUpdates("trainer", trainer.HeartbeatUpdates("lender", false, now), time.Time{}, now)
			trainer.ApplyUpdates("lender", lender.HeartbeatUpdates("trainer", true, now), now, now)
			lender.Refresh(now)
			trainer.Refresh(now)
		}
	}
	rollouts := admit(trainer, core.ClassRollout, 64, now)
	exchange(24)
	borrowed := *rollouts
	if borrowed <= 7 {
		t.Fatalf("%d rollouts started, want more than 7, which the process's own share allows", borrowed)
	}
	interactive := admit(lender, core.ClassInteractive, 8, now)
	exchange(4)
	for range borrowed {
		trainer.Release("d", core.ClassRollout, time.Second, now)
		exchange(2)
	}
	if *interactive < 7 { // the last one may wait for another to end
		t.Errorf("%d of 8 interactive requests started while %d rollouts wait, want at least 7", *interactive, 64-*rollouts)
	}
}

// TestOneExchangeLendsForWholeBacklog guards against loans that follow only the
// requests already admitted, so that a trainer's samples wait for several
// exchanges of heartbeats: one exchange must lend for the whole backlog.
func TestOneExchangeLendsForWholeBacklog(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Class, deployment.Limits.Concurrent = core.ClassInteractive, 40
	configuration := &core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}
	names := []core.VMID{"coordinator", "b", "c", "d"}
	var all []*Limits
	for _, name := range names {
		table := NewLimits(name, 1, shareTiming, tableNow)
		table.ApplyEntryVMs(names, tableNow)
		table.ApplyConfiguration(configuration, tableNow)
		all = append(all, table)
	}
	exchange := func(now time.Time) {
		for i, table := range all {
			table.Refresh(now)
			if i > 0 {
				table.ApplyUpdates(names[0], all[0].HeartbeatUpdates(names[i], false, now), time.Time{}, now)
				all[0].ApplyUpdates(names[i], table.HeartbeatUpdates(names[0], true, now), now, now)
			}
		}
	}
	const settleSeconds = 8 // time until every process uses its share
	for second := range settleSeconds {
		exchange(tableNow.Add(time.Duration(second) * time.Second))
	}
	if got := all[0].State()[0].Gate.Concurrent; got != 10 {
		t.Fatalf("%d units without a backlog, want the own share of 10", got)
	}
	all[0].SetBacklog("d", 64)
	exchange(tableNow.Add(settleSeconds * time.Second))
	if got := all[0].State()[0].Gate.Concurrent; got != 10+3*5 {
		t.Errorf("%d units after one exchange, want the own 10 and 5 of each peer", got)
	}
	removed := tableNow.Add((settleSeconds + 1) * time.Second)
	all[0].ApplyConfiguration(&core.Configuration{Generation: 2}, removed)
	all[0].Refresh(removed.Add(shareTiming.PeerTimeout))
	if states := all[0].State(); len(states) != 0 {
		t.Errorf("state of a removed deployment remains: %v", states)
	}
}

// TestRolloutsHaveOwnRetryBudget checks that all samples of one engine can be
// retried at once, and that this neither uses up nor raises the retry budget of
// interactive requests.
func TestRolloutsHaveOwnRetryBudget(t *testing.T) {
	table := NewLimits("self", 1, shareTiming, tableNow)
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength = 1000, 1000
	table.ApplyEntryVMs([]core.VMID{"self"}, tableNow)
	table.ApplyConfiguration(&core.Configuration{Deployments: []core.Deployment{*deployment}}, tableNow)
	now := tableNow.Add(3 * time.Second)
	table.Refresh(now)
	for _, class := range []core.Class{core.ClassInteractive, core.ClassRollout} {
		for range 400 {
			request := &admission.Request[AdmissionCallback]{Caller: "c", Class: class, Cost: 1, Deadline: now.Add(time.Minute), Payload: func(error) {}}
			if started, err := table.Admit(deployment, request, now); !started || err != nil {
				t.Fatalf("class %s: %v %v", class, started, err)
			}
		}
	}
	retries := func(class core.Class) (count int) {
		for table.ChargeRetry("d", class, 1, now) {
			count++
		}
		return count
	}
	if got := retries(core.ClassRollout); got != 16 {
		t.Errorf("%d samples retried at once, want 16", got)
	}
	if got := retries(core.ClassInteractive); got != 4 {
		t.Errorf("%d interactive requests retried at once, want 4", got)
	}
}
