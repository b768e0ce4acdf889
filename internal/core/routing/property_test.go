package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/errkind"
)

// history applies random changes to a state and tracks its dispatches.
type history struct {
	state      *State
	random     *rand.Rand
	now        time.Time
	dispatches []Dispatch
	vms        []core.VM
}

// step applies the change selected by a number.
func (h *history) step(number int) {
	h.now = h.now.Add(300 * time.Millisecond)
	vm := &h.vms[h.random.IntN(len(h.vms))]
	switch number % 6 {
	case 0:
		vm.State = []core.VMState{core.VMLive, core.VMLeaving}[h.random.IntN(2)]
		listed := slices.Clone(h.vms)
		h.random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
		h.state.ApplyVMs(listed[h.random.IntN(4):])
	case 1, 2:
		status := core.EngineStatus{Server: vm.ID, Model: "coach", RunningCount: h.random.IntN(5), NextEvent: 1}
		for i, adapter := range []core.AdapterName{"a", "b", "a"}[:h.random.IntN(4)] {
			status.Versions = append(status.Versions, core.AdapterVersion{Adapter: adapter, Version: core.WeightVersion(h.random.IntN(3) + i)})
		}
		h.state.ApplyStatus(status, h.now)
	case 3:
		query := coachQuery()
		query.Prefix = h.prefix()
		h.dispatches = append(h.dispatches, h.state.Begin(vm.ID, query, h.now))
	case 4:
		if len(h.dispatches) > 0 {
			result := Result{Outcome: outlier.Outcome(h.random.IntN(4))}
			h.state.End(h.dispatches[0], result, h.now, h.random)
			h.dispatches = h.dispatches[1:]
		}
	case 5:
		h.state.Sweep(h.now, h.random)
		h.state.ApplyColdStarts([]ColdStart{{Server: vm.ID, StartedUnixMs: h.now.UnixMilli(), Until: h.now.Add(2 * time.Second)}}, h.now)
	}
}

// prefix returns a prompt of up to 3 blocks.
func (h *history) prefix() []uint64 { return []uint64{1, 2, 3}[:h.random.IntN(4)] }

// query returns a query for a random adapter and version that excludes up to
// three servers.
func (h *history) query() Query {
	query := coachQuery()
	query.Prefix = h.prefix()
	query.Adapter = []core.AdapterName{"a", "b", ""}[h.random.IntN(3)]
	query.Version = core.WeightVersion(h.random.IntN(4))
	for range h.random.IntN(4) {
		query.Exclude = append(query.Exclude, h.vms[h.random.IntN(len(h.vms))].ID)
	}
	return query
}

// pickMatchesFilters reports whether Pick returns a server that passes every
// filter if there is one, and NoServer otherwise.
func (h *history) pickMatchesFilters() bool {
	query := h.query()
	vm, err := h.state.Pick(query, h.now, h.random)
	if h.state.pools[serviceKey{kind: query.Kind, service: query.Service}] == nil {
		return errkind.Is(err, errkind.NoServer)
	}
	eligible := make(map[core.ServerID]bool)
	for _, srv := range h.state.sortedServers {
		h.state.decision.candidateCount = 0
		if h.state.addCandidate(srv, 0) {
			eligible[srv.vm.ID] = true
		}
	}
	if err != nil {
		return len(eligible) == 0 && errkind.Is(err, errkind.NoServer)
	}
	return eligible[vm.ID]
}

func TestPickSucceedsExactlyWhenAServerPassesFilters(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("after any history", prop.ForAll(func(seed uint64, steps []int, paced bool) bool {
		h := &history{random: rand.New(rand.NewPCG(seed, 1)), now: testStart}
		h.vms = engineVMs(12)
		for i := range 4 {
			h.vms[i].Region = "west"
		}
		policy := DefaultPolicy()
		policy.PrefixEntries, policy.Pace = 64, paced
		h.state = NewState(policy)
		h.state.ApplyVMs(h.vms)
		for _, number := range steps {
			h.step(number)
			if !h.pickMatchesFilters() {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.SliceOfN(60, gen.IntRange(0, 5)), gen.Bool()))
	properties.TestingRun(t)
}
