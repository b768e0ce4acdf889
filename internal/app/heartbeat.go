package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/core/membership"
)

// heartbeat sends a round of heartbeats when one is due.
func (s *Service) heartbeat() {
	now := s.ports.Clock.Now()
	s.logMemberChanges()
	s.limits.Refresh(now)
	s.askLimits(now)
	if now.Before(s.members.NextRound()) {
		return
	}
	_, inFlight := s.lifecycle.Phase()
	s.members.SetLoad(uint32(max(inFlight, 0)))
	sends, _ := s.members.Round(now)
	for _, send := range sends {
		s.sendHeartbeat(send)
	}
}

func (s *Service) sendHeartbeat(send membership.Send) {
	s.onLane(s.lanes.peers, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, membership.HeartbeatTimeout)
		defer cancel()
		s.metrics.HeartbeatsSent.Inc(1)
		sent := s.ports.Clock.Now()
		beat := send.Beat
		beat.Limits = s.limits.News(send.VM, false, sent)
		beat.Crashes = s.crashes.News(sent)
		answer, err := s.ports.Peers.Heartbeat(ctx, send.Address, beat)
		now := s.ports.Clock.Now()
		if err != nil {
			s.metrics.HeartbeatsMissed.Inc(1)
			s.members.Missed(now, send.VM)
			return
		}
		s.takeNews(s.members.Answered(now, answer))
		s.limits.Heard(answer.Sender.VM, answer.Limits, sent, now)
		s.takeCrashNews(&answer)
	})
}

// askLimits sends a heartbeat out of turn to the processes of which the limits
// want places or to which they return some.
func (s *Service) askLimits(now time.Time) {
	for _, vm := range s.limits.Asks(now) {
		if member, found := s.members.Member(vm); found && member.State == core.MemberAlive && member.PeerAddress != "" {
			s.sendHeartbeat(membership.Send{VM: vm, Address: member.PeerAddress, Beat: s.members.Beat()})
		}
	}
}

// HandleHeartbeat takes a peer's heartbeat and answers it.
func (s *Service) HandleHeartbeat(_ context.Context, beat core.Heartbeat) (core.Heartbeat, error) {
	s.metrics.HeartbeatsReceived.Inc(1)
	now := s.ports.Clock.Now()
	answer, news := s.members.Receive(now, beat)
	s.takeNews(news)
	s.limits.Heard(beat.Sender.VM, beat.Limits, time.Time{}, now)
	answer.Limits = s.limits.News(beat.Sender.VM, true, now)
	answer.Crashes = s.takeCrashNews(&beat)
	return answer, nil
}

func (s *Service) takeNews(news membership.News) {
	for _, weights := range news.Weights {
		s.weights.Learn(weights.Deployment, weights.Version, s.ports.Clock.Now())
	}
	if configuration.Newer(s.configuration.InForce().Generation, news.Generation) {
		s.fetchConfiguration(news.From)
	}
}

func (s *Service) logMemberChanges() {
	for _, change := range s.members.TakeChanges() {
		s.log.Info().Str("member", string(change.VM)).Str("from", change.From.String()).
			Str("to", change.To.String()).Msg("member changed")
	}
}

// addressCount is how many entry addresses a caller is told.
const addressCount = 8

// Addresses returns the entry addresses that a caller is to use.
func (s *Service) Addresses(caller core.CallerName) core.AddressList {
	answer := s.members.Addresses(membership.AddressQuery{Caller: caller, Count: addressCount})
	return core.AddressList{Addresses: answer.Addresses, Keep: min(answer.Keep, s.options.AddressKeep)}
}

// learnWeights takes in a published version and spreads it.
func (s *Service) learnWeights(name core.DeploymentName, version core.WeightVersion) bool {
	s.members.SetWeights(core.WeightNews{Deployment: name, Version: version})
	return s.weights.Learn(name, version, s.ports.Clock.Now())
}
