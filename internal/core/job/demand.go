package job

import "fescuespar/internal/core"

// recordDemand records the size of a job that is opened.
func (s *Scheduler) recordDemand(job *core.Job) {
	tokens := 0.0
	for i := range job.Items {
		tokens += expectedTokens(&job.Items[i])
	}
	recent := append(s.jobTokens[job.Model], tokens)
	s.jobTokens[job.Model] = recent[max(0, len(recent)-rememberedJobs):]
}

// Demand returns the mean number of expected tokens of a job, by model. It leaves out
// how often jobs come: a trainer whose engines are too few submits fewer jobs, and must
// not get fewer engines for that.
//
// The load is several trainers that submit a job every few seconds each, on a service
// that is almost fully used.
func (s *Scheduler) Demand() map[core.ModelName]float64 {
	demand := make(map[core.ModelName]float64, len(s.jobTokens))
	for model, recent := range s.jobTokens {
		for _, tokens := range recent {
			demand[model] += tokens / float64(len(recent))
		}
	}
	return demand
}
