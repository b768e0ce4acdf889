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

// acquireServer picks a server and counts the request as in flight on it. If no
// server holds the pinned weights, for example right after a pin changes,
// servers with other weights are used. If every server is excluded, those that
// failed before may be tried again.
func (s *Service) acquireServer(query routing.Query) (routing.Dispatch, error) {
	dispatch, err := s.acquireServerSlot(query)
	if errkind.Is(err, errkind.NoServer) && query.ExactVersion {
		query.ExactVersion, query.Version = false, 0
		dispatch, err = s.acquireServerSlot(query)
	}
	if errkind.Is(err, errkind.NoServer) && len(query.Exclude) > 0 {
		query.Exclude = nil
		return s.acquireServerSlot(query)
	}
	return dispatch, err
}

// maxSlotTries bounds how many servers are tried for a free slot per request.
const maxSlotTries = 3

// acquireServerSlot picks a server that has a free slot for the request.
// Errors: Starting, NoServer, Overloaded.
func (s *Service) acquireServerSlot(query routing.Query) (routing.Dispatch, error) {
	now := s.ports.Clock.Now()
	for range maxSlotTries {
		dispatch, err := s.servers.Acquire(query, now)
		if err != nil || query.Kind != core.KindEngine || s.limits.AcquireServer(dispatch.VM.ID, query.Class, now) {
			return dispatch, err
		}
		s.servers.Release(dispatch, routing.Result{Outcome: outlier.Abandoned}, now)
		query.Exclude = append(slices.Clip(query.Exclude), dispatch.VM.ID)
	}
	return routing.Dispatch{}, errkind.New(errkind.Overloaded, "no server of service %q has a free slot for rollouts", query.Service)
}

// startOnLane starts a short call under controlTimeout. A full lane drops the
// call, since the next period repeats it.
func (s *Service) startOnLane(lane *workers.Lane, call workers.Call) {
	_ = lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		call(ctx)
	})
}

// sweepServers ejects outlying servers and tells routing how many entry
// processes share the servers and the links between regions.
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

// releaseServer ends a dispatch. tokens is the number of generated tokens, zero
// if unknown; err is the result of the attempt.
func (s *Service) releaseServer(dispatch routing.Dispatch, tokens int, err error) {
	now := s.ports.Clock.Now()
	s.servers.Release(dispatch, routing.Result{Outcome: outlierOutcome(err), Tokens: tokens}, now)
	if dispatch.VM.Kind != core.KindEngine {
		return
	}
	var perToken time.Duration
	if err == nil && tokens > 0 {
		perToken = now.Sub(dispatch.Started) / time.Duration(tokens)
	}
	refused := errkind.Is(err, errkind.ServerRefused) || errkind.Is(err, errkind.ServerFailed)
	s.limits.ReleaseServer(dispatch.VM.ID, perToken, refused, now)
}

// outlierOutcome maps an attempt's error to the outcome that counts for its
// server.
func outlierOutcome(err error) outlier.Outcome {
	if err == nil {
		return outlier.Succeeded
	}
	switch errkind.Of(err) {
	case errkind.CrashesServers:
		return outlier.CrashedByRequest
	case errkind.ServerFailed, errkind.ServerRefused, errkind.AnswerIncomplete, errkind.Timeout:
		return outlier.Failed
	default:
		return outlier.Abandoned
	}
}

// statusTimeout bounds a status call; a server that exceeds it counts as
// unresponsive.
const statusTimeout = 2 * time.Second

// checkPlainServer checks whether a plain server is reachable, with at most one
// check at a time per server.
func (s *Service) checkPlainServer(vm core.VM) {
	if !s.servers.BeginCheck(vm.ID) {
		return
	}
	err := s.lanes.control.Go(func(ctx context.Context) {
		defer s.servers.EndCheck(vm.ID)
		_ = s.queryServer(ctx, vm.ID, func(ctx context.Context) error {
			err := s.ports.Plain.Probe(ctx, vm)
			if err == nil {
				s.servers.MarkReachable(vm.ID, s.ports.Clock.Now())
			}
			return err
		})
	})
	if err != nil {
		s.servers.EndCheck(vm.ID)
	}
}

// queryServer calls a server under statusTimeout and returns its error. A
// server that is unreachable or does not answer in time gets no work until it
// answers again.
func (s *Service) queryServer(ctx context.Context, id core.ServerID, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	sentAt := s.ports.Clock.Now()
	err := call(ctx)
	switch errkind.Of(err) {
	case errkind.ServerRefused:
		s.servers.MarkUnreachable(id, sentAt)
	case errkind.Timeout:
		s.servers.MarkUnresponsive(id, sentAt)
	}
	return err
}
