package job

import (
	"cmp"
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// maxModels bounds the models of which a scheduler remembers jobs; callers may name any.
// Nine trainers are expected within two years.
const maxModels = 64

// modelHistory is what a scheduler remembers of the jobs of one model.
type modelHistory struct {
	groups     recentGroups
	tokens     []float64 // expected tokens of the most recent jobs opened here
	lastOpened uint64    // sequence number of the newest job
}

// historyOf returns the history of a model, to which a job is added now. If there are too
// many, it drops the one whose jobs were opened the longest ago.
func (s *Scheduler) historyOf(model core.ModelName) *modelHistory {
	history := s.models[model]
	if history == nil {
		if len(s.models) >= maxModels {
			oldest := slices.MinFunc(slices.Collect(maps.Keys(s.models)), func(a, b core.ModelName) int {
				return cmp.Compare(s.models[a].lastOpened, s.models[b].lastOpened)
			})
			delete(s.models, oldest)
		}
		history = &modelHistory{}
		s.models[model] = history
	}
	history.lastOpened = s.lastOpened
	return history
}

// recordDemand records the size of a job that is opened.
func (h *modelHistory) recordDemand(job *core.Job) {
	tokens := 0.0
	for i := range job.Items {
		tokens += expectedTokens(&job.Items[i])
	}
	recent := append(h.tokens, tokens)
	h.tokens = recent[max(0, len(recent)-rememberedJobs):]
}

// Demand returns the mean number of expected tokens of a job, by model. It leaves out
// how often jobs come: a trainer whose engines are too few submits fewer jobs, and must
// not get fewer engines for that.
//
// The load is several trainers that submit a job every few seconds each, on a service
// that is almost fully used.
func (s *Scheduler) Demand() map[core.ModelName]float64 {
	demand := make(map[core.ModelName]float64, len(s.models))
	for model, history := range s.models {
		for _, tokens := range history.tokens {
			demand[model] += tokens / float64(len(history.tokens))
		}
	}
	return demand
}
