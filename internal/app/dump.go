package app

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// State is a dump of one process's state.
type State struct {
	VM             core.VMID                    `json:"vm"`
	Phase          string                       `json:"phase"`
	InFlight       int                          `json:"in_flight"`
	Generation     core.Generation              `json:"generation"`
	Members        tables.MembersState          `json:"members"`
	Leases         []tables.LeaseState          `json:"leases"`
	Servers        []routing.View               `json:"servers"`
	Limits         []tables.LimitState          `json:"limits"`
	Crashes        tables.CrashesState          `json:"crashes"`
	Rollouts       []tables.RolloutState        `json:"rollouts"`
	Weights        []core.WeightUpdate          `json:"weights"`
	Answers        tables.AnswersState          `json:"answers"`
	CommitsWaiting int                          `json:"commits_waiting"`
	Pool           workers.PoolState            `json:"pool"`
	Lanes          map[string]workers.LaneState `json:"lanes"`
}

// State returns a dump of this process's state for JSON encoding.
func (s *Service) State() any {
	phase, inFlight := s.lifecycle.Phase()
	return State{
		VM: s.options.Self.VM, Phase: phase.String(), InFlight: inFlight,
		Generation:     s.configuration.Current().Generation,
		Members:        s.members.State(),
		Leases:         s.leases.State(s.ports.Clock.Now()),
		Servers:        s.servers.Views(),
		Limits:         s.limits.State(),
		Crashes:        s.crashes.State(),
		Rollouts:       s.rollouts.State(),
		Weights:        s.weights.NewestVersions(),
		Answers:        s.answers.State(),
		CommitsWaiting: s.commits.Waiting(),
		Pool:           s.pool.State(),
		Lanes: map[string]workers.LaneState{
			"streams": s.lanes.streams.State(), "calls": s.lanes.plainCalls.State(),
			"scoring": s.lanes.scoring.State(),
			"control": s.lanes.control.State(), "table": s.lanes.table.State(),
			"leases": s.lanes.leases.State(), "peers": s.lanes.peers.State(),
		},
	}
}
