package core

import "fmt"

// GroupID identifies a group of samples. It is assigned when the group is planned
// and does not change when samples are generated again.
type GroupID struct {
	Step  Step // step for which the group was planned
	Index int
}

// GroupRange is the set of groups of one step with an index in [From, To).
type GroupRange struct {
	Step Step
	From int
	To   int
}

// SampleID identifies a sample within its deployment.
type SampleID struct {
	Group GroupID
	Index int
}

// String returns the short form that logs and request ids use.
func (s SampleID) String() string {
	return fmt.Sprintf("%d-%d-%d", s.Group.Step, s.Group.Index, s.Index)
}

// Span is the weight version that produced the tokens [From, To) of a sample.
type Span struct {
	From    int
	To      int
	Version WeightVersion
}

// Sample is a finished and scored rollout.
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
// or zero if it has no spans or the version of a span is unknown.
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
// or zero if they are unknown for any sample.
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

// BatchRequest is a trainer's request for the batch of a step. It acknowledges
// the batches of all earlier steps.
type BatchRequest struct {
	Deployment DeploymentName
	Step       Step
	Version    WeightVersion // weights that the trainer has at this step
}

// Batch is the fixed set of groups delivered for a step.
type Batch struct {
	Deployment DeploymentName
	Step       Step
	Version    WeightVersion // trainer's weights when the batch was fixed
	Groups     []Group
}
