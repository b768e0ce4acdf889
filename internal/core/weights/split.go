package weights

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

const (
	// fewestEngines is how many engines a model keeps however little it is
	// asked for, so that one may load or fail.
	fewestEngines = 2
	// splitSlack is by how many engines a model's part must be wrong before it
	// changes: a change costs loads.
	splitSlack = 0.75
)

// Split divides the engines of a service among the models that its trainers
// train. An engine holds every model, but each new version of each model must
// be loaded on every engine that serves it, and few may load at one time: with
// all engines for all models the versions come faster than they load.
//
// Load pattern: two trainers that each name a version every four seconds.
type Split struct {
	counts map[core.ModelName]int
}

// NewSplit returns a division that nothing was asked of.
func NewSplit() *Split { return &Split{counts: make(map[core.ModelName]int)} }

// Divide returns each model's engines. Demand is the work asked for each model
// so far; the engines are taken in their order.
func (s *Split) Divide(engines []core.ServerID, demand map[core.ModelName]float64) map[core.ModelName][]core.ServerID {
	models := slices.Sorted(maps.Keys(demand))
	parts := make(map[core.ModelName][]core.ServerID, len(models))
	if len(models) < 2 || len(engines) < fewestEngines*len(models) {
		for _, model := range models {
			parts[model] = engines
		}
		return parts
	}
	s.adjust(len(engines), models, demand)
	at := 0
	for _, model := range models {
		parts[model] = engines[at : at+s.counts[model]]
		at += s.counts[model]
	}
	return parts
}

// adjust keeps the counts while they fit, and else sets them anew.
func (s *Split) adjust(engines int, models []core.ModelName, demand map[core.ModelName]float64) {
	ideal := idealCounts(engines, models, demand)
	sum, fits := 0, len(s.counts) == len(models)
	for _, model := range models {
		sum += s.counts[model]
		if off := float64(s.counts[model]) - ideal[model]; off > splitSlack || off < -splitSlack {
			fits = false
		}
	}
	if fits && sum == engines {
		return
	}
	clear(s.counts)
	left := engines
	for _, model := range models {
		s.counts[model] = int(ideal[model])
		left -= s.counts[model]
	}
	// The rest goes to those with the largest remainders.
	byRemainder := slices.Clone(models)
	slices.SortStableFunc(byRemainder, func(a, b core.ModelName) int {
		return remainderOrder(ideal[a], ideal[b])
	})
	for i := range left {
		s.counts[byRemainder[i%len(byRemainder)]]++
	}
}

func remainderOrder(a, b float64) int {
	switch ra, rb := a-float64(int(a)), b-float64(int(b)); {
	case ra > rb:
		return -1
	case ra < rb:
		return 1
	default:
		return 0
	}
}

// idealCounts returns each model's part of the engines: the fewest for each,
// and the rest by demand.
func idealCounts(engines int, models []core.ModelName, demand map[core.ModelName]float64) map[core.ModelName]float64 {
	total := 0.0
	for _, model := range models {
		total += demand[model]
	}
	rest := float64(engines - fewestEngines*len(models))
	ideal := make(map[core.ModelName]float64, len(models))
	for _, model := range models {
		share := 1 / float64(len(models))
		if total > 0 {
			share = demand[model] / total
		}
		ideal[model] = fewestEngines + rest*share
	}
	return ideal
}
