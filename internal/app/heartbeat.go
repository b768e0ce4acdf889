package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/core/membership"
)

// sendHeartbeatRound sends a round of heartbeats if one is due.
func (s *Service) sendHeartbeatRound() {
	now := s.ports.Clock.Now()
	s.logMemberChanges()
	s.limits.Refresh(now)
	s.contactLimitPeers(now)
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
	s.startOnLane(s.lanes.peers, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, membership.HeartbeatTimeout)
		defer cancel()
		s.metrics.HeartbeatsSent.Inc(1)
		sentAt := s.ports.Clock.Now()
		heartbeat := send.Beat
		heartbeat.Limits = s.limits.News(send.VM, false, sentAt)
		heartbeat.Crashes = s.crashes.News(sentAt)
		answer, err := s.ports.Peers.Heartbeat(ctx, send.Address, heartbeat)
		now := s.ports.Clock.Now()
		if err != nil {
			s.metrics.HeartbeatsMissed.Inc(1)
			s.members.Missed(now, send.VM)
			return
		}
		s.applyHeartbeatResult(s.members.Answered(now, answer))
		s.limits.Heard(answer.Sender.VM, answer.Limits, sentAt, now)
		s.applyCrashUpdates(&answer)
	})
}

// contactLimitPeers sends an extra heartbeat to the processes that this one
// wants to borrow limit shares from or returns shares to.
func (s *Service) contactLimitPeers(now time.Time) {
	for _, vm := range s.limits.Asks(now) {
		if member, found := s.members.Member(vm); found && member.State == core.MemberAlive && member.PeerAddress != "" {
			s.sendHeartbeat(membership.Send{VM: vm, Address: member.PeerAddress, Beat: s.members.Beat()})
		}
	}
}

// HandleHeartbeat applies a peer's heartbeat and returns the reply.
func (s *Service) HandleHeartbeat(_ context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	s.metrics.HeartbeatsReceived.Inc(1)
	now := s.ports.Clock.Now()
	answer, result := s.members.Receive(now, heartbeat)
	s.applyHeartbeatResult(result)
	s.limits.Heard(heartbeat.Sender.VM, heartbeat.Limits, time.Time{}, now)
	answer.Limits = s.limits.News(heartbeat.Sender.VM, true, now)
	answer.Crashes = s.applyCrashUpdates(&heartbeat)
	return answer, nil
}

func (s *Service) applyHeartbeatResult(result membership.News) {
	for _, weights := range result.Weights {
		s.weights.Learn(weights.Deployment, weights.Version, s.ports.Clock.Now())
	}
	if configuration.Newer(s.configuration.InForce().Generation, result.Generation) {
		s.fetchConfiguration(result.From)
	}
}

func (s *Service) logMemberChanges() {
	for _, change := range s.members.TakeChanges() {
		s.log.Info().Str("member", string(change.VM)).Str("from", change.From.String()).
			Str("to", change.To.String()).Msg("member changed")
	}
}

// maxAddresses bounds the entry addresses returned to a caller.
const maxAddresses = 8

// Addresses returns the entry addresses that a caller should use.
func (s *Service) Addresses(caller core.CallerName) core.AddressList {
	answer := s.members.Addresses(membership.AddressQuery{Caller: caller, Count: maxAddresses})
	return core.AddressList{Addresses: answer.Addresses, Keep: min(answer.Keep, s.options.AddressKeep)}
}

// recordWeightVersion records a published version and announces it to the
// peers. It returns whether the version is new.
func (s *Service) recordWeightVersion(name core.DeploymentName, version core.WeightVersion) bool {
	s.members.SetWeights(core.WeightNews{Deployment: name, Version: version})
	return s.weights.Learn(name, version, s.ports.Clock.Now())
}
