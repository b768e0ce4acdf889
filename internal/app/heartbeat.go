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
	sends, _ := s.members.BeginRound(now)
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
		heartbeat := send.Heartbeat
		heartbeat.Limits = s.limits.HeartbeatUpdates(send.VM, false, sentAt)
		heartbeat.Crashes = s.crashes.HeartbeatUpdates(sentAt)
		answer, err := s.ports.Peers.Heartbeat(ctx, send.Address, heartbeat)
		now := s.ports.Clock.Now()
		if err != nil {
			s.metrics.HeartbeatsMissed.Inc(1)
			s.members.RecordMissed(now, send.VM)
			return
		}
		s.applyHeartbeatResult(s.members.ReceiveAnswer(now, answer))
		s.limits.ApplyUpdates(answer.Sender.VM, answer.Limits, sentAt, now)
		s.applyCrashUpdates(&answer)
	})
}

// contactLimitPeers sends an extra heartbeat to the processes that this one
// wants to borrow limit shares from or returns shares to.
func (s *Service) contactLimitPeers(now time.Time) {
	for _, vm := range s.limits.HeartbeatTargets(now) {
		if member, found := s.members.Member(vm); found && member.State == core.MemberAlive && member.PeerAddress != "" {
			s.sendHeartbeat(membership.Send{VM: vm, Address: member.PeerAddress, Heartbeat: s.members.Heartbeat()})
		}
	}
}

// HandleHeartbeat applies a peer's heartbeat and returns the reply.
func (s *Service) HandleHeartbeat(_ context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	s.metrics.HeartbeatsReceived.Inc(1)
	now := s.ports.Clock.Now()
	answer, result := s.members.ReceiveHeartbeat(now, heartbeat)
	s.applyHeartbeatResult(result)
	s.limits.ApplyUpdates(heartbeat.Sender.VM, heartbeat.Limits, time.Time{}, now)
	answer.Limits = s.limits.HeartbeatUpdates(heartbeat.Sender.VM, true, now)
	answer.Crashes = s.applyCrashUpdates(&heartbeat)
	return answer, nil
}

func (s *Service) applyHeartbeatResult(result membership.HeartbeatResult) {
	for _, weights := range result.Weights {
		s.weights.RecordPublished(weights.Deployment, weights.Version, s.ports.Clock.Now())
	}
	if configuration.IsNewer(s.configuration.Current().Generation, result.Generation) {
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
	return core.AddressList{Addresses: answer.Addresses, CacheFor: min(answer.CacheFor, s.options.AddressCacheTime)}
}

// recordWeightVersion records a published version and announces it to the
// peers. It returns whether the version is new.
func (s *Service) recordWeightVersion(name core.DeploymentName, version core.WeightVersion) bool {
	s.members.SetWeights(core.WeightUpdate{Deployment: name, Version: version})
	return s.weights.RecordPublished(name, version, s.ports.Clock.Now())
}
