package weights

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

const (
	// minEnginesPerModel is the minimum number of engines per model, regardless
	// of demand, so that one may load or fail.
	minEnginesPerModel = 2
	// maxCountDeviation is the deviation of a model's engine count from the
	// ideal above which the split changes. Each change costs weight loads.
	maxCountDeviation = 0.75
)

// EngineSplit divides the engines of a service among the models that its trainers
// train. Every engine holds all models, but each new version of a model must be
// loaded on every engine that serves that model, and only a few engines may
// load at the same time. If all engines served all models, versions would be
// published faster than they can be loaded.
//
// The load is two trainers that each publish a version every four seconds.
type EngineSplit struct {
	counts map[core.ModelName]int
}

// NewEngineSplit returns a split without earlier counts.
func NewEngineSplit() *EngineSplit { return &EngineSplit{counts: make(map[core.ModelName]int)} }

// Divide returns each model's engines, which are assigned in the given order.
// Demand is the relative amount of work for each model.
func (s *EngineSplit) Divide(engines []core.ServerID, demand map[core.ModelName]float64) map[core.ModelName][]core.ServerID {
	models := slices.Sorted(maps.Keys(demand))
	parts := make(map[core.ModelName][]core.ServerID, len(models))
	if len(models) < 2 || len(engines) < minEnginesPerModel*len(models) {
		for _, model := range models {
			parts[model] = engines
		}
		return parts
	}
	s.adjustCounts(len(engines), models, demand)
	start := 0
	for _, model := range models {
		parts[model] = engines[start : start+s.counts[model]]
		start += s.counts[model]
	}
	return parts
}

// adjustCounts recomputes the counts if one of them is too far from the ideal
// or they do not match the models and engines.
func (s *EngineSplit) adjustCounts(engines int, models []core.ModelName, demand map[core.ModelName]float64) {
	ideal := idealCounts(engines, models, demand)
	sum, isCurrent := 0, len(s.counts) == len(models)
	for _, model := range models {
		sum += s.counts[model]
		if deviation := float64(s.counts[model]) - ideal[model]; deviation > maxCountDeviation || deviation < -maxCountDeviation {
			isCurrent = false
		}
	}
	if isCurrent && sum == engines {
		return
	}
	clear(s.counts)
	remaining := engines
	for _, model := range models {
		s.counts[model] = int(ideal[model])
		remaining -= s.counts[model]
	}
	// The remaining engines go to the models with the largest remainders.
	byRemainder := slices.Clone(models)
	slices.SortStableFunc(byRemainder, func(a, b core.ModelName) int {
		return compareRemainders(ideal[a], ideal[b])
	})
	for i := range remaining {
		s.counts[byRemainder[i%len(byRemainder)]]++
	}
}

func compareRemainders(a, b float64) int {
	switch ra, rb := a-float64(int(a)), b-float64(int(b)); {
	case ra > rb:
		return -1
	case ra < rb:
		return 1
	default:
		return 0
	}
}

// idealCounts returns each model's fractional number of engines: a share proportional
// to its demand, but at least the minimum.
func idealCounts(engines int, models []core.ModelName, demand map[core.ModelName]float64) map[core.ModelName]float64 {
	ideal := make(map[core.ModelName]float64, len(models))
	rest, proportional := float64(engines), slices.Clone(models)
	for {
		total := 0.0
		for _, model := range proportional {
			total += demand[model]
		}
		isBelow := func(model core.ModelName) bool { return ideal[model] < minEnginesPerModel }
		for _, model := range proportional {
			ideal[model] = rest / float64(len(proportional))
			if total > 0 {
				ideal[model] = rest * demand[model] / total
			}
		}
		if !slices.ContainsFunc(proportional, isBelow) {
			return ideal
		}
		for _, model := range proportional {
			if isBelow(model) {
				rest -= minEnginesPerModel
			}
		}
		below := slices.Clone(proportional)
		proportional = slices.DeleteFunc(proportional, isBelow)
		for _, model := range below {
			ideal[model] = max(ideal[model], minEnginesPerModel)
		}
	}
}
