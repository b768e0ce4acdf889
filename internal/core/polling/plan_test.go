package polling

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
)

const testInterval = 500 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// newVMs returns an entry VM and engines of the given number of services in two
// regions, a third of them in the far one.
func newVMs(engines, services int) []core.VM {
	vms := []core.VM{{ID: "entry-1", Kind: core.KindEntry}}
	for i := range engines {
		region := core.RegionName("near")
		if i%3 == 2 {
			region = "far"
		}
		vms = append(vms, core.VM{
			ID: core.ServerID(fmt.Sprintf("engine-%04d", i)), Kind: core.KindEngine,
			Service: fmt.Sprint("model-", i%services), Region: region, State: core.VMLive,
		})
	}
	return vms
}

func newTestPlan(vms []core.VM, processes int) *Plan {
	p := NewPlan("entry-1", "near", DefaultPolicy(testInterval))
	p.SetProcesses(processes)
	p.ApplyVMs(vms)
	return p
}

// simulatePolls calls DuePolls at every interval, ends each poll immediately and
// counts the polls of each engine.
func simulatePolls(p *Plan, start time.Time, length time.Duration) (polls map[core.ServerID]int, total int) {
	polls = make(map[core.ServerID]int)
	for at := time.Duration(0); at < length; at += testInterval {
		for _, poll := range p.DuePolls(start.Add(at)) {
			polls[poll.VM.ID]++
			total++
			p.PollEnded(poll.VM.ID, 1)
		}
	}
	return polls, total
}

// TestSmallSitesArePolledCompletely checks that sites of the present size keep
// their polling: every engine at each interval.
func TestSmallSitesArePolledCompletely(t *testing.T) {
	for _, c := range []struct{ processes, engines, services int }{{10, 9, 1}, {11, 9, 2}, {16, 24, 2}, {1, 32, 1}} {
		p := newTestPlan(newVMs(c.engines, c.services), c.processes)
		polls, _ := simulatePolls(p, epoch, 10*time.Second)
		for _, vm := range newVMs(c.engines, c.services)[1:] {
			if polls[vm.ID] != 20 {
				t.Errorf("%+v: %s polled %d times in 10 s, want 20", c, vm.ID, polls[vm.ID])
			}
		}
	}
}

// TestPollLimits checks the limits of the policy, and that all chosen engines
// are polled, for fleets of any size.
func TestPollLimits(t *testing.T) {
	const length = time.Minute
	policy := DefaultPolicy(testInterval)
	properties := gopter.NewProperties(nil)
	properties.Property("rates and choice", prop.ForAll(func(engines, services, processes int, isCoordinator bool) string {
		vms := newVMs(engines, services)
		p := newTestPlan(vms, processes)
		if isCoordinator {
			p.SetCoordinated(map[string]int{"model-0": 1}, epoch)
		}
		polled := p.PolledEngines()
		simulatePolls(p, epoch, length) // the first polls are sent immediately
		polls, _ := simulatePolls(p, epoch.Add(length), length)
		var counts [kindCount]int
		listed := make(map[string]int)
		chosen := make(map[string]int)
		for _, vm := range vms[1:] {
			listed[vm.Service]++
			counts[p.kindOf(p.services[vm.Service])] += polls[vm.ID]
			if polled[vm.ID] {
				chosen[vm.Service]++
			} else if polls[vm.ID] > 0 {
				return fmt.Sprint(vm.ID, " was polled but not chosen")
			}
		}
		const intervals = float64(length / testInterval)
		for kind, rate := range []float64{policy.CompletePolls, policy.SampledPolls, policy.CoordinatedPolls} {
			if limit := rate*intervals*1.05 + float64(len(polled)); float64(counts[kind]) > limit {
				return fmt.Sprint(counts[kind], " polls, limit ", limit, ", for services of kind ", kind)
			}
		}
		for service, count := range listed {
			kind, want := p.kindOf(p.services[service]), count
			if kind == pollSample {
				want = policy.SampleSize
			}
			if chosen[service] != want {
				return fmt.Sprint(chosen[service], " engines of ", count, " polled")
			}
			pollers := float64(processes) * float64(want) / float64(count)
			for id := range polls {
				limit := max(1, policy.EnginePolls*intervals/pollers)*1.05 + 1
				if p.engines[id].vm.Service == service && kind != pollCoordinated && float64(polls[id]) > limit {
					return fmt.Sprint(id, " received ", polls[id], " polls, limit ", limit)
				}
			}
		}
		return ""
	}, gen.IntRange(1, 700), gen.IntRange(1, 9), gen.IntRange(1, 700), gen.Bool()))
	properties.TestingRun(t)
}

func TestAllChosenEnginesArePolledInTime(t *testing.T) {
	p := newTestPlan(newVMs(6100, 9), 610)
	const maxReportAge = 30 * time.Second // routing regards the load in an older report as unknown
	simulatePolls(p, epoch, maxReportAge)
	polls, total := simulatePolls(p, epoch.Add(maxReportAge), maxReportAge)
	if len(polls) != len(p.PolledEngines()) || len(polls) != 9*16 {
		t.Errorf("%d of %d chosen engines polled", len(polls), len(p.PolledEngines()))
	}
	for id, count := range polls {
		if count == 0 {
			t.Errorf("%s not polled within %v", id, maxReportAge)
		}
	}
	t.Logf("%.1f polls a second", float64(total)/30)
}

// TestSampleIsStableAndSpread checks that the engines polled by one process
// change little with the VM list, and that the processes together spread over
// the engines.
func TestSampleIsStableAndSpread(t *testing.T) {
	vms := newVMs(600, 1)
	p := newTestPlan(vms, 100)
	before := p.PolledEngines()
	var removed core.ServerID
	for id := range before {
		removed = id
		break
	}
	p.ApplyVMs(slices.DeleteFunc(slices.Clone(vms), func(vm core.VM) bool { return vm.ID == removed }))
	stillPolled := 0
	for id := range p.PolledEngines() {
		if before[id] {
			stillPolled++
		}
	}
	if stillPolled != len(before)-1 {
		t.Errorf("%d of %d engines still polled after one left", stillPolled, len(before))
	}
	pollers := make(map[core.ServerID]float64)
	const processes = 400
	for i := range processes {
		plan := NewPlan(core.VMID(fmt.Sprint("entry-", i)), "near", DefaultPolicy(testInterval))
		plan.ApplyVMs(vms)
		for id := range plan.PolledEngines() {
			pollers[id]++
		}
	}
	for _, vm := range vms[1:] {
		mean, engines := float64(processes*14), 400.0
		if vm.Region == "far" {
			mean, engines = processes*2, 200
		}
		mean /= engines
		if math.Abs(pollers[vm.ID]-mean) > 6*math.Sqrt(mean) {
			t.Errorf("%s has %.0f pollers, want about %.0f", vm.ID, pollers[vm.ID], mean)
		}
	}
}

func TestCoordinatorPollsAllEnginesAndFaster(t *testing.T) {
	p := newTestPlan(newVMs(6100, 9), 610)
	if !p.SetCoordinated(map[string]int{"model-3": 1}, epoch) || p.SetCoordinated(map[string]int{"model-3": 1}, epoch) {
		t.Error("Coordinate did not report exactly one change")
	}
	immediate := 0
	for _, poll := range p.DuePolls(epoch) {
		if poll.VM.Service == "model-3" {
			immediate++
		}
		p.PollEnded(poll.VM.ID, 0)
	}
	if immediate != 678 {
		t.Errorf("%d of 678 engines polled immediately", immediate)
	}
	if p.SetCoordinated(map[string]int{"model-3": 2}, epoch.Add(time.Millisecond)) {
		t.Error("a second deployment changed the set of polled engines")
	}
	if since, ok := p.CoordinatedSince("model-3"); !ok || !since.Equal(epoch.Add(time.Millisecond)) {
		t.Errorf("coordinated since %v, want the time of the latest change", since)
	}
	p.PollFasterUntil("model-3", epoch.Add(10*time.Second))
	polls, _ := simulatePolls(p, epoch.Add(testInterval), 8*time.Second)
	for _, e := range p.services["model-3"].engines {
		if polls[e.vm.ID] != 16 {
			t.Fatalf("%s polled %d times in 8 s after Hasten, want 16", e.vm.ID, polls[e.vm.ID])
		}
	}
	polls, _ = simulatePolls(p, epoch.Add(20*time.Second), time.Minute)
	for _, e := range p.services["model-3"].engines {
		if polls[e.vm.ID] > 7 || polls[e.vm.ID] < 5 {
			t.Fatalf("%s polled %d times in a minute, want 5 to 7", e.vm.ID, polls[e.vm.ID])
		}
	}
	p.SetCoordinated(nil, epoch)
	if len(p.PolledEngines()) != 9*16 {
		t.Errorf("%d engines polled after the lease was lost", len(p.PolledEngines()))
	}
}

// TestOnePollInFlightForEachEngine checks that an engine that does not answer
// cannot fill the poll lane, and that its cursor is kept.
func TestOnePollInFlightForEachEngine(t *testing.T) {
	p := newTestPlan(newVMs(2, 1), 1)
	if due := p.DuePolls(epoch); len(due) != 2 {
		t.Fatalf("%d polls, want 2", len(due))
	}
	p.PollEnded("engine-0001", 7)
	due := p.DuePolls(epoch.Add(time.Hour))
	if len(due) != 1 || due[0].VM.ID != "engine-0001" || due[0].Cursor != 7 {
		t.Errorf("polls %+v, want only engine-0001, from event 7", due)
	}
	p.PollEnded("engine-0001", 0)
	p.PollEnded("engine-0000", 0)
	p.PollEnded("no-such-engine", 3)
	if due := p.DuePolls(epoch.Add(2 * time.Hour)); len(due) != 2 || due[0].Cursor+due[1].Cursor != 7 {
		t.Errorf("polls %+v, want both, one from event 7", due)
	}
}
