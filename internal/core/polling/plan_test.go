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

const every = 500 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// fleet lists engines of so many services in two regions, a third in the far one.
func fleet(engines, services int) []core.VM {
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

func planOf(vms []core.VM, processes int) *Plan {
	p := New("entry-1", "near", DefaultPolicy(every))
	p.SetProcesses(processes)
	p.ApplyVMs(vms)
	return p
}

// run lets time pass and counts the polls of each engine; each ends at once.
func run(p *Plan, start time.Time, length time.Duration) (polls map[core.ServerID]int, total int) {
	polls = make(map[core.ServerID]int)
	for at := time.Duration(0); at < length; at += every {
		for _, poll := range p.Due(start.Add(at)) {
			polls[poll.VM.ID]++
			total++
			p.Ended(poll.VM.ID, 1)
		}
	}
	return polls, total
}

// Today's sites must be polled as before: every engine, each interval.
func TestSmallSitesArePolledWhole(t *testing.T) {
	for _, c := range []struct{ processes, engines, services int }{{10, 9, 1}, {11, 9, 2}, {16, 24, 2}, {1, 32, 1}} {
		p := planOf(fleet(c.engines, c.services), c.processes)
		polls, _ := run(p, epoch, 10*time.Second)
		for _, vm := range fleet(c.engines, c.services)[1:] {
			if polls[vm.ID] != 20 {
				t.Errorf("%+v: %s polled %d times in 10 s, want 20", c, vm.ID, polls[vm.ID])
			}
		}
	}
}

// TestBounds holds the rates of the policy and that no polled engine is
// forgotten, for fleets of any size.
func TestBounds(t *testing.T) {
	const length = time.Minute
	policy := DefaultPolicy(every)
	properties := gopter.NewProperties(nil)
	properties.Property("rates and choice", prop.ForAll(func(engines, services, processes int, coordinates bool) string {
		vms := fleet(engines, services)
		p := planOf(vms, processes)
		if coordinates {
			p.Coordinate(map[string]int{"model-0": 1}, epoch)
		}
		polled := p.Polled()
		run(p, epoch, length) // the first polls come at once
		polls, _ := run(p, epoch.Add(length), length)
		var numbers [kinds]int
		listed := make(map[string]int)
		asked := make(map[string]int)
		for _, vm := range vms[1:] {
			listed[vm.Service]++
			numbers[p.kindOf(p.services[vm.Service])] += polls[vm.ID]
			if polled[vm.ID] {
				asked[vm.Service]++
			} else if polls[vm.ID] > 0 {
				return fmt.Sprint(vm.ID, " was polled, but not chosen")
			}
		}
		const intervals = float64(length / every)
		for kind, rate := range []float64{policy.WholePolls, policy.SampledPolls, policy.CoordinatedPolls} {
			if most := rate*intervals*1.05 + float64(len(polled)); float64(numbers[kind]) > most {
				return fmt.Sprint(numbers[kind], " polls, more than ", most, ", of kind ", kind)
			}
		}
		for service, number := range listed {
			kind, want := p.kindOf(p.services[service]), number
			if kind == sampled {
				want = policy.Sample
			}
			if asked[service] != want {
				return fmt.Sprint(asked[service], " engines of ", number, " polled")
			}
			pollers := float64(processes) * float64(want) / float64(number)
			for id := range polls {
				most := max(1, policy.EnginePolls*intervals/pollers)*1.05 + 1
				if p.engines[id].vm.Service == service && kind != coordinated && float64(polls[id]) > most {
					return fmt.Sprint(id, " got ", polls[id], " polls, more than ", most)
				}
			}
		}
		return ""
	}, gen.IntRange(1, 700), gen.IntRange(1, 9), gen.IntRange(1, 700), gen.Bool()))
	properties.TestingRun(t)
}

func TestEveryPolledEngineIsAskedInTime(t *testing.T) {
	p := planOf(fleet(6100, 9), 610)
	const longest = 30 * time.Second // after which routing takes a report's load as unknown
	run(p, epoch, longest)
	polls, total := run(p, epoch.Add(longest), longest)
	if len(polls) != len(p.Polled()) || len(polls) != 9*16 {
		t.Errorf("%d engines asked of %d", len(polls), len(p.Polled()))
	}
	for id, number := range polls {
		if number == 0 {
			t.Errorf("%s not asked in %v", id, longest)
		}
	}
	t.Logf("%.1f polls a second", float64(total)/30)
}

// Which engines one process polls changes little with the list, and all
// processes together spread over the engines.
func TestSampleIsStableAndSpread(t *testing.T) {
	vms := fleet(600, 1)
	p := planOf(vms, 100)
	before := p.Polled()
	var gone core.ServerID
	for id := range before {
		gone = id
		break
	}
	p.ApplyVMs(slices.DeleteFunc(slices.Clone(vms), func(vm core.VM) bool { return vm.ID == gone }))
	kept := 0
	for id := range p.Polled() {
		if before[id] {
			kept++
		}
	}
	if kept != len(before)-1 {
		t.Errorf("%d of %d engines kept after one left", kept, len(before))
	}
	pollers := make(map[core.ServerID]float64)
	const processes = 400
	for i := range processes {
		one := New(core.VMID(fmt.Sprint("entry-", i)), "near", DefaultPolicy(every))
		one.ApplyVMs(vms)
		for id := range one.Polled() {
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
			t.Errorf("%s has %.0f pollers, %.0f on average", vm.ID, pollers[vm.ID], mean)
		}
	}
}

func TestCoordinatorPollsAllAndHastens(t *testing.T) {
	p := planOf(fleet(6100, 9), 610)
	if !p.Coordinate(map[string]int{"model-3": 1}, epoch) || p.Coordinate(map[string]int{"model-3": 1}, epoch) {
		t.Error("the change was not told once")
	}
	first := 0
	for _, poll := range p.Due(epoch) {
		if poll.VM.Service == "model-3" {
			first++
		}
		p.Ended(poll.VM.ID, 0)
	}
	if first != 678 {
		t.Errorf("%d of 678 engines asked at once", first)
	}
	if p.Coordinate(map[string]int{"model-3": 2}, epoch.Add(time.Millisecond)) {
		t.Error("a second deployment changed what is polled")
	}
	if since, ok := p.CoordinatedSince("model-3"); !ok || !since.Equal(epoch.Add(time.Millisecond)) {
		t.Errorf("coordinated since %v", since)
	}
	p.Hasten("model-3", epoch.Add(10*time.Second))
	polls, _ := run(p, epoch.Add(every), 8*time.Second)
	for _, e := range p.services["model-3"].engines {
		if polls[e.vm.ID] != 16 {
			t.Fatalf("%s asked %d times in 8 s of haste", e.vm.ID, polls[e.vm.ID])
		}
	}
	polls, _ = run(p, epoch.Add(20*time.Second), time.Minute)
	for _, e := range p.services["model-3"].engines {
		if polls[e.vm.ID] > 7 || polls[e.vm.ID] < 5 {
			t.Fatalf("%s asked %d times in a minute", e.vm.ID, polls[e.vm.ID])
		}
	}
	p.Coordinate(nil, epoch)
	if len(p.Polled()) != 9*16 {
		t.Errorf("%d engines polled after the lease was lost", len(p.Polled()))
	}
}

// An engine that doesn't answer must not fill the lane, and its cursor stays.
func TestOnePollInFlightForEachEngine(t *testing.T) {
	p := planOf(fleet(2, 1), 1)
	if due := p.Due(epoch); len(due) != 2 {
		t.Fatalf("%d polls", len(due))
	}
	p.Ended("engine-0001", 7)
	due := p.Due(epoch.Add(time.Hour))
	if len(due) != 1 || due[0].VM.ID != "engine-0001" || due[0].Cursor != 7 {
		t.Errorf("polls %+v, want engine-0001 from event 7 only", due)
	}
	p.Ended("engine-0001", 0)
	p.Ended("engine-0000", 0)
	p.Ended("no-such-engine", 3)
	if due := p.Due(epoch.Add(2 * time.Hour)); len(due) != 2 || due[0].Cursor+due[1].Cursor != 7 {
		t.Errorf("polls %+v, want both, one from event 7", due)
	}
}
