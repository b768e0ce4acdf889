package app

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/core/warnings"
	"fescuespar/internal/tables"
)

// Status returns this process's view of the system.
func (s *Service) Status() core.Status {
	config := s.configuration.Current()
	facts := s.warningFacts(config)
	status := core.Status{Generation: config.Generation, Members: facts.Members, Warnings: warnings.Find(&facts)}
	rollouts := s.rolloutStates()
	for i := range config.Deployments {
		deployment := &config.Deployments[i]
		name := deployment.Name
		row := core.DeploymentStatus{
			Name: name, Version: facts.Deployments[i].Weights.Newest,
			Queue: facts.Deployments[i].Waiting, Step: rollouts[name].LastStep, Running: rollouts[name].Running,
		}
		if owner, ok := s.leases.Holder(ownerLease(deployment)); ok {
			row.Owner = owner.Holder
		}
		status.Deployments = append(status.Deployments, row)
	}
	return status
}

// warningFacts collects the input of the warnings. Its deployments have the
// order of the configuration.
func (s *Service) warningFacts(config *core.Configuration) warnings.Facts {
	views := s.servers.Views()
	facts := warnings.Facts{
		Now: s.ports.Clock.Now(), Generation: config.Generation,
		Members: s.members.All(), Outages: s.platform.Outages(), Ejected: ejections(views),
	}
	if s.ports.Certificate != nil {
		facts.Keys = s.ports.Certificate.State()
	}
	limits := make(map[core.DeploymentName]tables.LimitState)
	for _, state := range s.limits.State() {
		limits[state.Deployment] = state
	}
	rollouts := s.rolloutStates()
	for i := range config.Deployments {
		deployment := &config.Deployments[i]
		row := s.deploymentFacts(deployment, limits[deployment.Name], rollouts[deployment.Name])
		row.Weights = s.weightFacts(deployment, views)
		facts.Deployments = append(facts.Deployments, row)
	}
	return facts
}

func (s *Service) deploymentFacts(deployment *core.Deployment, limit tables.LimitState, rollout tables.RolloutState) warnings.Deployment {
	facts := warnings.Deployment{
		Name: deployment.Name, Refused: limit.Gate.Refused, RefusedAt: limit.Gate.RefusedAt,
		Problem: rollout.Problem,
		Step:    warnings.Step{Number: rollout.Asked, Since: rollout.WaitsSince, Work: rollout.Work},
	}
	for _, count := range limit.Gate.Waiting {
		facts.Waiting += count
	}
	return facts
}

func (s *Service) weightFacts(deployment *core.Deployment, views []routing.View) warnings.Weights {
	newest, learned, failing := s.weights.Progress(deployment.Name)
	facts := warnings.Weights{Newest: newest, Learned: learned, Failing: failing}
	if newest == 0 || deployment.Versions.Pinned != 0 {
		facts.Failing = 0
		return facts
	}
	for i := range views {
		if !isLiveEngineOf(&views[i].VM, deployment) || views[i].ReportedAt.IsZero() {
			continue // not polled by this process
		}
		facts.Engines++
		if held, _ := views[i].Status.Holds(deployment.Adapter); held.Version < newest {
			facts.Behind++
		}
	}
	return facts
}

func ejections(views []routing.View) (ejected []warnings.Ejection) {
	for i := range views {
		if view := &views[i]; view.Ejected {
			ejected = append(ejected, warnings.Ejection{Server: view.VM.ID, Service: view.VM.Service, Until: view.EjectedUntil})
		}
	}
	return ejected
}

func (s *Service) rolloutStates() map[core.DeploymentName]tables.RolloutState {
	states := make(map[core.DeploymentName]tables.RolloutState)
	for _, state := range s.rollouts.State() {
		states[state.Deployment] = state
	}
	return states
}
