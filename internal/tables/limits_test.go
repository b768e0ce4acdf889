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
	shareTiming = admission.ShareTiming{Borrowed: 3 * time.Second, Gone: 5 * time.Second, Settle: 2 * time.Second}
)

func limitedDeployment() *core.Deployment {
	return &core.Deployment{Name: "d", Limits: core.Limits{
		Concurrent: 4, QueueLength: 2, QueueTimeout: time.Second, RequestTimeout: time.Minute}}
}

func TestLimitsStartWaitAndRefuse(t *testing.T) {
	longAgo := tableNow.Add(-shareTiming.Gone)
	table := NewLimits("self", 1, shareTiming, longAgo)
	table.ApplyListed([]core.VMID{"a", "b", "c", "self"}, longAgo)
	deployment := limitedDeployment() // one place of four is this process's
	deployment.Limits.QueueLength = 8 // two of them
	var outcomes []error
	admit := func(now time.Time) (bool, error) {
		return table.Admit(deployment, &admission.Request[Ready]{
			Caller: "c", Class: core.ClassPeople, Cost: 1, Deadline: now.Add(time.Minute),
			Payload: func(err error) { outcomes = append(outcomes, err) }}, now)
	}
	if started, err := admit(tableNow); !started || err != nil {
		t.Fatalf("first: %v %v", started, err)
	}
	_, _ = admit(tableNow)
	_, _ = admit(tableNow)
	if _, err := admit(tableNow); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("fourth: %v, want overloaded", err)
	}
	table.Release("d", core.ClassPeople, time.Millisecond, tableNow)
	if len(outcomes) != 1 || outcomes[0] != nil {
		t.Errorf("after a release %v, want one start", outcomes)
	}
	table.Expire("d", tableNow.Add(2*time.Second))
	if len(outcomes) != 2 || !errkind.Is(outcomes[1], errkind.DeadlineTooShort) {
		t.Errorf("after the queue timeout %v, want a refusal", outcomes)
	}
	_, _ = admit(tableNow.Add(2 * time.Second))
	table.ApplyListed([]core.VMID{"self"}, tableNow.Add(2*time.Second))
	table.Refresh(tableNow.Add(3 * time.Second))
	if len(outcomes) != 2 {
		t.Errorf("%v while the others may still use their parts, want no start", outcomes)
	}
	_, _ = admit(tableNow.Add(6500 * time.Millisecond))
	table.Refresh(tableNow.Add(2*time.Second + shareTiming.Gone)) // alone since then: the whole limit
	if len(outcomes) != 4 || outcomes[2] != nil || outcomes[3] != nil {
		t.Errorf("after the share grew %v, want two starts", outcomes)
	}
}

// A process that never had a request of a deployment lends its part of the limit.
func TestLimitsWithoutRequestsAreLent(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength = 16, 64
	configuration := &core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}
	busy, idle := NewLimits("busy", 1, shareTiming, tableNow), NewLimits("idle", 1, shareTiming, tableNow)
	for _, table := range []*Limits{busy, idle} {
		table.ApplyListed([]core.VMID{"busy", "idle"}, tableNow)
		table.ApplyConfiguration(configuration, tableNow)
	}
	started := 0
	for range 16 {
		request := &admission.Request[Ready]{Caller: "c", Class: core.ClassPeople, Cost: 1,
			Deadline: tableNow.Add(time.Minute), Payload: func(err error) {
				if err == nil {
					started++
				}
			}}
		if now, _ := busy.Admit(deployment, request, tableNow); now {
			started++
		}
	}
	for beat := range 24 {
		now := tableNow.Add(time.Duration(beat) * time.Second / 4)
		idle.Heard("busy", busy.News("idle", false, now), time.Time{}, now)
		busy.Heard("idle", idle.News("busy", true, now), now, now)
		idle.Refresh(now)
		busy.Refresh(now)
	}
	if started <= 8 {
		t.Errorf("%d requests started, want more than the process's own 8 of 16", started)
	}
}

func TestCrashesResumeHeldRequests(t *testing.T) {
	const fingerprint = 7
	cases := []struct {
		name string
		run  func(*Crashes)
		want []core.ServerID // what the held request is resumed with
	}{
		{"cleared by news", func(c *Crashes) {
			c.Heard("x", []core.CrashNews{{Fingerprint: fingerprint, Round: 1, State: core.CrashCleared}}, tableNow)
		}, []core.ServerID{""}},
		{"trial", func(c *Crashes) {
			later := tableNow.Add(5 * time.Second)
			if !c.Propose(func(*Held) core.ServerID { return "b" }, later) {
				t.Error("the trial was not proposed")
			}
			c.Start([]core.VMID{"self"})
			c.Start([]core.VMID{"self"})
		}, []core.ServerID{"b"}},
		{"a peer is silent", func(c *Crashes) {
			c.Propose(func(*Held) core.ServerID { return "b" }, tableNow.Add(5*time.Second))
			c.Start([]core.VMID{"self", "x"})
		}, nil},
	}
	for _, c := range cases {
		table := NewCrashes("self")
		var resumed []core.ServerID
		if verdict, _, _ := table.Begin(fingerprint, "m", nil, tableNow); verdict != crash.Run {
			t.Fatalf("%s: first verdict %d", c.name, verdict)
		}
		table.End(fingerprint, "a", crash.Died, tableNow)
		resume := func(trial core.ServerID) { resumed = append(resumed, trial) }
		if verdict, _, _ := table.Begin(fingerprint, "m", resume, tableNow); verdict != crash.Hold {
			t.Fatalf("%s: verdict after the death %d", c.name, verdict)
		}
		c.run(table)
		if len(resumed) != len(c.want) || (len(resumed) == 1 && resumed[0] != c.want[0]) {
			t.Errorf("%s: resumed with %q, want %q", c.name, resumed, c.want)
		}
	}
}

// TestServerPlacesBoundRolloutsOnly fills a server: rollouts are refused a
// place, people are not, and a place given back is free again.
func TestServerPlacesBoundRolloutsOnly(t *testing.T) {
	limits := NewLimits("vm", 1, admission.ShareTiming{}, time.Unix(1e9, 0))
	now := time.Unix(1e9, 0)
	places := 0
	for limits.AcquireServer("e", core.ClassRollout, now) {
		if places++; places > 1000 {
			t.Fatal("rollouts are not bounded")
		}
	}
	if !limits.AcquireServer("e", core.ClassPeople, now) {
		t.Error("people were refused a place")
	}
	limits.ReleaseServer("e", 0, false, now)
	limits.ReleaseServer("e", 0, false, now)
	if !limits.AcquireServer("e", core.ClassRollout, now) {
		t.Error("a place given back is not free")
	}
	limits.RetainServers(nil)
	if got := len(limits.servers); got != 0 {
		t.Errorf("%d servers kept that left the list", got)
	}
}

// Units that rollouts borrowed go back to their lender when people wait there.
func TestBorrowedUnitsGoBackToPeopleWhoWait(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength, deployment.Limits.QueueTimeout = 16, 64, time.Minute
	lender, trainer := NewLimits("lender", 1, shareTiming, tableNow), NewLimits("trainer", 1, shareTiming, tableNow)
	for _, table := range []*Limits{lender, trainer} {
		table.ApplyListed([]core.VMID{"lender", "trainer"}, tableNow)
		table.ApplyConfiguration(&core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}, tableNow)
	}
	admit := func(table *Limits, class core.Class, count int, now time.Time) (started *int) {
		started = new(int)
		for range count {
			ok, _ := table.Admit(deployment, &admission.Request[Ready]{Caller: "c", Class: class, Cost: 1,
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
	beats := func(count int) {
		for range count {
			now = now.Add(time.Second / 4)
			lender.Heard("trainer", trainer.News("lender", false, now), time.Time{}, now)
			trainer.Heard("lender", lender.News("trainer", true, now), now, now)
			lender.Refresh(now)
			trainer.Refresh(now)
		}
	}
	rollouts := admit(trainer, core.ClassRollout, 64, now)
	beats(24)
	borrowed := *rollouts
	if borrowed <= 7 {
		t.Fatalf("%d rollouts started, want more than the process's own part allows", borrowed)
	}
	people := admit(lender, core.ClassPeople, 8, now)
	beats(4)
	for range borrowed {
		trainer.Release("d", core.ClassRollout, time.Second, now)
		beats(2)
	}
	if *people < 7 { // one alone waits for another person's request to end
		t.Errorf("%d of 8 people started beside %d waiting rollouts, want all but one", *people, 64-*rollouts)
	}
}

// A trainer's samples must not wait for loans that follow only what was let in:
// one exchange of heartbeats lends for the whole backlog.
func TestBacklogIsLentAtOnce(t *testing.T) {
	deployment := limitedDeployment()
	deployment.Class, deployment.Limits.Concurrent = core.ClassPeople, 40
	configuration := &core.Configuration{Generation: 1, Deployments: []core.Deployment{*deployment}}
	names := []core.VMID{"coordinator", "b", "c", "d"}
	var all []*Limits
	for _, name := range names {
		table := NewLimits(name, 1, shareTiming, tableNow)
		table.ApplyListed(names, tableNow)
		table.ApplyConfiguration(configuration, tableNow)
		all = append(all, table)
	}
	exchange := func(now time.Time) {
		for i, table := range all {
			table.Refresh(now)
			if i > 0 {
				table.Heard(names[0], all[0].News(names[i], false, now), time.Time{}, now)
				all[0].Heard(names[i], table.News(names[0], true, now), now, now)
			}
		}
	}
	const settled = 8 // seconds after which every process uses its part
	for second := range settled {
		exchange(tableNow.Add(time.Duration(second) * time.Second))
	}
	if got := all[0].State()[0].Gate.Concurrent; got != 10 {
		t.Fatalf("%d places without a backlog, want the own 10", got)
	}
	all[0].SetBacklog("d", 64)
	exchange(tableNow.Add(settled * time.Second))
	if got := all[0].State()[0].Gate.Concurrent; got != 10+3*5 {
		t.Errorf("%d places after one exchange, want the own 10 and 5 of each peer", got)
	}
	gone := tableNow.Add((settled + 1) * time.Second)
	all[0].ApplyConfiguration(&core.Configuration{Generation: 2}, gone)
	all[0].Refresh(gone.Add(shareTiming.Gone))
	if states := all[0].State(); len(states) != 0 {
		t.Errorf("%v kept of a deployment that is gone", states)
	}
}

// An engine's worth of samples is repeated at once, and people's repeats are
// neither used up by it nor raised.
func TestRolloutsHaveTheirOwnRepeats(t *testing.T) {
	table := NewLimits("self", 1, shareTiming, tableNow)
	deployment := limitedDeployment()
	deployment.Limits.Concurrent, deployment.Limits.QueueLength = 1000, 1000
	table.ApplyListed([]core.VMID{"self"}, tableNow)
	table.ApplyConfiguration(&core.Configuration{Deployments: []core.Deployment{*deployment}}, tableNow)
	now := tableNow.Add(3 * time.Second)
	table.Refresh(now)
	for _, class := range []core.Class{core.ClassPeople, core.ClassRollout} {
		for range 400 {
			request := &admission.Request[Ready]{Caller: "c", Class: class, Cost: 1, Deadline: now.Add(time.Minute), Payload: func(error) {}}
			if started, err := table.Admit(deployment, request, now); !started || err != nil {
				t.Fatalf("class %s: %v %v", class, started, err)
			}
		}
	}
	repeats := func(class core.Class) (count int) {
		for table.Withdraw("d", class, 1, now) {
			count++
		}
		return count
	}
	if got := repeats(core.ClassRollout); got != 16 {
		t.Errorf("%d samples repeated at once, want 16", got)
	}
	if got := repeats(core.ClassPeople); got != 4 {
		t.Errorf("%d people's requests repeated at once, want 4", got)
	}
}
