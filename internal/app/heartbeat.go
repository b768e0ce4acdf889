package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
)

// suspectAfter is how long a member may be silent before it is suspected.
const suspectAfter = 3 * time.Second

// heartbeat sends this process's news to its peers.
func (s *Service) heartbeat() {
	s.members.Expire(s.ports.Clock.Now().Add(-suspectAfter))
	s.limits.Refresh(s.ports.Clock.Now())
	s.tendCrashes()
	s.sendHeartbeats()
}

func (s *Service) sendHeartbeats() {
	beat := s.members.Beat(s.weights.News())
	beat.Crashes = s.crashes.News(s.ports.Clock.Now())
	for _, address := range s.members.Targets() {
		s.sendHeartbeat(address, beat)
	}
}

func (s *Service) sendHeartbeat(address string, beat core.Heartbeat) {
	s.onLane(s.lanes.peers, func(ctx context.Context) {
		s.metrics.HeartbeatsSent.Inc(1)
		sent := s.ports.Clock.Now()
		beat.Limits = s.limitNews(address)
		reply, err := s.ports.Peers.Heartbeat(ctx, address, beat)
		if err != nil {
			s.metrics.HeartbeatsMissed.Inc(1)
			return
		}
		s.takeHeartbeat(reply)
		s.takeLimitNews(&reply, sent)
		s.takeCrashNews(&reply)
	})
}

// HandleHeartbeat takes a peer's heartbeat and answers with this process's own.
func (s *Service) HandleHeartbeat(_ context.Context, beat core.Heartbeat) (core.Heartbeat, error) {
	s.takeHeartbeat(beat)
	s.takeLimitNews(&beat, time.Time{})
	reply := s.members.Beat(s.weights.News())
	reply.Crashes = s.takeCrashNews(&beat)
	reply.Limits = s.limits.News(beat.Sender.VM, s.ports.Clock.Now())
	return reply, nil
}

func (s *Service) takeHeartbeat(beat core.Heartbeat) {
	s.metrics.HeartbeatsReceived.Inc(1)
	s.members.Merge(beat, s.ports.Clock.Now())
	for _, news := range beat.Weights {
		s.weights.Learn(news.Deployment, news.Version)
	}
	if configuration.Newer(s.configuration.InForce().Generation, beat.Sender.Generation) {
		s.fetchConfiguration(beat.Sender.PeerAddress)
	}
}

// Addresses returns the entry addresses that a caller is to use.
func (s *Service) Addresses(core.CallerName) core.AddressList {
	list := core.AddressList{Keep: s.options.AddressKeep}
	for _, member := range s.members.Live() {
		list.Addresses = append(list.Addresses, member.CallAddress)
	}
	return list
}
