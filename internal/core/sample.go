package core

import "fmt"

// GroupID identifies a group of samples. It is fixed when the group is planned
// and kept when work is run again.
type GroupID struct {
	Step  Step // step for which the group was planned
	Index int
}

// GroupRange is the groups of one step with index in [From, To).
type GroupRange struct {
	Step Step
	From int
	To   int
}

// SampleID identifies a sample within a deployment.
type SampleID struct {
	Group GroupID
	Index int
}

// String returns a short form for logs and request ids.
func (s SampleID) String() string {
	return fmt.Sprintf("%d-%d-%d", s.Group.Step, s.Group.Index, s.Index)
}

// Span says which weights produced the tokens [From, To) of a sample.
type Span struct {
	From    int
	To      int
	Version WeightVersion
}

// Sample is one finished and scored rollout.
type Sample struct {
	Deployment DeploymentName
	ID         SampleID
	Prompt     string
	Tokens     []string
	Spans      []Span
	Finish     FinishReason
	Score      float64
}

// OldestVersion returns the oldest weights that produced a token of the sample,
// or zero when no span or a span without a known version is recorded.
func (s *Sample) OldestVersion() WeightVersion {
	if len(s.Spans) == 0 {
		return 0
	}
	oldest := s.Spans[0].Version
	for _, span := range s.Spans {
		oldest = min(oldest, span.Version)
	}
	return oldest
}

// Group is a finished group of samples.
type Group struct {
	ID      GroupID
	Samples []Sample
}

// OldestVersion returns the oldest weights that produced a token of the group,
// or zero when they are not known for every sample.
func (g *Group) OldestVersion() WeightVersion {
	if len(g.Samples) == 0 {
		return 0
	}
	oldest := g.Samples[0].OldestVersion()
	for i := range g.Samples {
		oldest = min(oldest, g.Samples[i].OldestVersion())
	}
	return oldest
}

// BatchRequest is a trainer's request for the batch of a step. Asking for a
// step acknowledges every earlier one.
type BatchRequest struct {
	Deployment DeploymentName
	Step       Step
	Version    WeightVersion // weights that the trainer holds at this step
}

// Batch is the fixed set of groups delivered for a step.
type Batch struct {
	Deployment DeploymentName
	Step       Step
	Version    WeightVersion // trainer's weights when the batch was fixed
	Groups     []Group
}
