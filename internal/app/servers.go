package app

import (
	"context"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/workers"
)

// acquire picks a server and counts the request as in flight on it. While no
// server holds the pinned weights, as between two pins, others serve as they did
// before. When every server was tried, those that failed before may be tried
// again.
func (s *Service) acquire(query routing.Query) (routing.Dispatch, error) {
	begun, err := s.acquirePlace(query)
	if errkind.Is(err, errkind.NoServer) && query.Exact {
		query.Exact, query.Version = false, 0
		begun, err = s.acquirePlace(query)
	}
	if errkind.Is(err, errkind.NoServer) && len(query.Exclude) > 0 {
		query.Exclude = nil
		return s.acquirePlace(query)
	}
	return begun, err
}

// placeTries bounds the servers that are asked for a place for one request.
const placeTries = 3

// acquirePlace picks a server that has a place for the request. Errors:
// Starting, NoServer, Overloaded.
func (s *Service) acquirePlace(query routing.Query) (routing.Dispatch, error) {
	now := s.ports.Clock.Now()
	for range placeTries {
		begun, err := s.servers.Acquire(query, now)
		if err != nil || query.Kind != core.KindEngine || s.limits.AcquireServer(begun.VM.ID, query.Class, now) {
			return begun, err
		}
		s.servers.Release(begun, routing.Result{Outcome: outlier.Abandoned}, now)
		query.Exclude = append(slices.Clip(query.Exclude), begun.VM.ID)
	}
	return routing.Dispatch{}, errkind.New(errkind.Overloaded, "servers of %q have no place for rollouts", query.Service)
}

// onLane runs a short call under controlTimeout; a full lane drops it, since
// the next period repeats it.
func (s *Service) onLane(lane *workers.Lane, call workers.Call) {
	_ = lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		call(ctx)
	})
}

// sweepServers ejects outlying servers and tells routing how many entry
// processes share the servers and the link.
func (s *Service) sweepServers() {
	all, inRegion := 0, 0
	for _, member := range s.members.All() {
		if member.State == core.MemberGone {
			continue
		}
		all++
		if member.Region == s.options.Self.Region {
			inRegion++
		}
	}
	s.servers.SetProcesses(all, inRegion)
	s.polls.SetProcesses(all)
	s.servers.ApplyPolled(s.polls.Polled())
	s.servers.Sweep(s.ports.Clock.Now())
}

// release ends a dispatch that produced so many tokens, zero when that is not
// known; err is how its attempt ended.
func (s *Service) release(ended routing.Dispatch, tokens int, err error) {
	now := s.ports.Clock.Now()
	s.servers.Release(ended, routing.Result{Outcome: outcomeOf(err), Tokens: tokens}, now)
	if ended.VM.Kind != core.KindEngine {
		return
	}
	var perToken time.Duration
	if err == nil && tokens > 0 {
		perToken = now.Sub(ended.Started) / time.Duration(tokens)
	}
	refused := errkind.Is(err, errkind.ServerRefused) || errkind.Is(err, errkind.ServerFailed)
	s.limits.ReleaseServer(ended.VM.ID, perToken, refused, now)
}

// outcomeOf says what an attempt's end tells of the server.
func outcomeOf(err error) outlier.Outcome {
	if err == nil {
		return outlier.Succeeded
	}
	switch errkind.Of(err) {
	case errkind.CrashesServers:
		return outlier.Killed
	case errkind.ServerFailed, errkind.ServerRefused, errkind.AnswerIncomplete, errkind.Timeout:
		return outlier.Failed
	default:
		return outlier.Abandoned
	}
}

// statusTimeout bounds a status call; a server that takes longer is silent.
const statusTimeout = 2 * time.Second

// askPlain finds out whether a plain service can be reached, one call at a time.
func (s *Service) askPlain(vm core.VM) {
	if !s.servers.BeginAsk(vm.ID) {
		return
	}
	err := s.lanes.control.Go(func(ctx context.Context) {
		defer s.servers.EndAsk(vm.ID)
		_ = s.ask(ctx, vm.ID, func(ctx context.Context) error {
			err := s.ports.Plain.Probe(ctx, vm)
			if err == nil {
				s.servers.Reachable(vm.ID, s.ports.Clock.Now())
			}
			return err
		})
	})
	if err != nil {
		s.servers.EndAsk(vm.ID)
	}
}

// ask carries out a question to a server and returns its error. A server that
// cannot be reached, or does not answer in time, gets no work until it answers
// again.
func (s *Service) ask(ctx context.Context, id core.ServerID, question func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	asked := s.ports.Clock.Now()
	err := question(ctx)
	switch errkind.Of(err) {
	case errkind.ServerRefused:
		s.servers.Unreachable(id, asked)
	case errkind.Timeout:
		s.servers.Silent(id, asked)
	}
	return err
}
