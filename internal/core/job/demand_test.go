package job

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestDemandDoesNotFollowLateTrainers has two trainers with jobs of equal size, one of
// which is late and submits a third as many.
func TestDemandDoesNotFollowLateTrainers(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(1000, 0)
	open := func(model core.ModelName, number int) {
		s.Open(core.Job{ID: core.JobID(fmt.Sprint(model, number)), Model: model, Items: []core.JobItem{{ID: "i", Length: 90}}}, nil, Policy{}, now)
	}
	for number := range 12 {
		open("on-time", number)
		if number%3 == 0 {
			open("late", number)
		}
	}
	if demand := s.Demand(); demand["on-time"] != 90 || demand["late"] != 90 {
		t.Errorf("demand %v, want 90 for both", demand)
	}
}

// TestDemandFollowsRecentJobs has a trainer whose jobs become twice as long.
func TestDemandFollowsRecentJobs(t *testing.T) {
	s := NewScheduler()
	for number, length := range []int{50, 50, 50, 100, 100, 100, 100} {
		s.Open(core.Job{ID: core.JobID(fmt.Sprint(number)), Model: "m", Items: []core.JobItem{{ID: "i", Length: length}}}, nil, Policy{}, time.Unix(1000, 0))
	}
	if demand := s.Demand(); demand["m"] != 100 {
		t.Errorf("demand %v, want 100", demand)
	}
}

// TestModelsAreForgotten guards against callers that name a new model with each job, of which
// each coordinator kept the groups until it lost its lease.
func TestModelsAreForgotten(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(1000, 0)
	open := func(id core.JobID, model core.ModelName) {
		s.Open(core.Job{ID: id, Model: model, Items: []core.JobItem{{ID: "i", Length: 90, Group: "g"}}}, nil, Policy{}, now)
		s.Close(id)
	}
	for number := range 100 * maxModels {
		open(core.JobID(fmt.Sprint("named-", number)), core.ModelName(fmt.Sprint("named-", number)))
		if number%10 == 0 {
			open(core.JobID(fmt.Sprint("m-", number)), "m")
		}
	}
	if demand := s.Demand(); len(demand) > maxModels || demand["m"] != 90 {
		t.Errorf("demand of %d models, %v for the one in use; want at most %d, 90", len(demand), demand["m"], maxModels)
	}
}
