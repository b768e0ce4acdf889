package app

import (
	"fescuespar/internal/core"
	"fescuespar/internal/metrics"
	"fescuespar/internal/workers"
)

// gauges returns the functions that read the tables' current state for the
// metrics.
func (s *Service) gauges() metrics.Gauges {
	return metrics.Gauges{
		GenerationInForce:  func() int64 { return int64(s.configuration.Current().Generation) },
		DeploymentsInForce: func() int64 { return int64(len(s.configuration.Current().Deployments)) },
		RequestsInFlight:   s.requestsInFlight,
		RequestsQueued:     s.requestsQueued,
		AnswersInProgress:  func() int64 { return int64(s.answers.State().InProgress) },
		AnswersKept:        func() int64 { return int64(s.answers.State().Ended) },
		LeasesHeld:         s.leasesHeld,
		MembersAlive:       func() int64 { return s.countMembers(core.MemberAlive) },
		MembersSuspect:     func() int64 { return s.countMembers(core.MemberSuspect) },
		SamplesRunning:     func() int64 { running, _ := s.sampleCounts(); return running },
		SamplesDone:        func() int64 { _, done := s.sampleCounts(); return done },
		CommitsWaiting:     func() int64 { return int64(s.commits.Waiting()) },
		StepsQueued:        s.stepsQueued,
		StepsRefused:       func() int64 { return int64(s.pool.State().Refused) },
		StreamsRunning:     laneRunning(s.lanes.streams),
		StreamsWaiting:     laneWaiting(s.lanes.streams),
		PlainCallsRunning:  laneRunning(s.lanes.plainCalls),
		PlainCallsWaiting:  laneWaiting(s.lanes.plainCalls),
		TableCallsRunning:  laneRunning(s.lanes.table),
		TableCallsWaiting:  laneWaiting(s.lanes.table),
		ScoringRunning:     laneRunning(s.lanes.scoring),
		ScoringWaiting:     laneWaiting(s.lanes.scoring),
		ServersKnown:       func() int64 { return int64(len(s.servers.Views())) },
	}
}

func laneRunning(lane *workers.Lane) func() int64 {
	return func() int64 { return int64(lane.State().Running) }
}

func laneWaiting(lane *workers.Lane) func() int64 {
	return func() int64 { return int64(lane.State().Waiting) }
}

func (s *Service) requestsInFlight() int64 {
	_, inFlight := s.lifecycle.Phase()
	return int64(inFlight)
}

func (s *Service) requestsQueued() (queued int64) {
	for _, deployment := range s.limits.State() {
		for _, count := range deployment.Gate.Waiting {
			queued += int64(count)
		}
	}
	return queued
}

func (s *Service) leasesHeld() (held int64) {
	for _, lease := range s.leases.State(s.ports.Clock.Now()) {
		if lease.Held {
			held++
		}
	}
	return held
}

func (s *Service) countMembers(state core.MemberState) (count int64) {
	for _, member := range s.members.All() {
		if member.State == state {
			count++
		}
	}
	return count
}

func (s *Service) sampleCounts() (running, done int64) {
	for _, rollout := range s.rollouts.State() {
		running += int64(rollout.Running)
		done += int64(rollout.Done)
	}
	return running, done
}

func (s *Service) stepsQueued() (queued int64) {
	for _, count := range s.pool.State().Queued {
		queued += int64(count)
	}
	return queued
}
