package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/route"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
)

// eventStream is a caller's streaming request in progress. It implements
// ports.EventSink.
type eventStream struct {
	request         core.EventsRequest
	guard           crashGuard
	route           core.Route
	service         string
	ctx             context.Context // ends when the caller has left or was answered
	sink            ports.EventSink
	progress        route.StreamProgress
	software        core.SoftwareVersion           // of the servers that may run the stream, once isFixed
	isFixed         bool                           // the stream has begun, or its software is being recorded
	recorded        <-chan error                   // outcome of recording the software; nil if there is nothing to wait for
	callerDeadline  time.Time                      // until when the caller waits, over all its attempts; zero if unknown
	contentType     string                         // of the response whose head was passed on
	excluded        []core.ServerID                // already tried
	failureResponse core.RelayResponse             // a backend server's 5xx response, returned if no later attempt begins a stream
	server          core.VM                        // of the current attempt
	onHead          func(core.RelayResponse) error // called for each attempt's head
	onEvent         func()                         // called for each event of an attempt
}

// Head implements ports.EventSink. Only the first attempt's head is passed on; the
// stream of a later one must be of the same type.
func (st *eventStream) Head(response core.RelayResponse) error {
	if err := st.onHead(response); err != nil {
		return err
	}
	contentType := response.Header.Get("Content-Type")
	if !st.progress.Begun {
		if err := st.awaitRecorded(); err != nil {
			return err
		}
		st.progress.Begun, st.contentType, st.software, st.isFixed = true, contentType, st.server.Software, true
		return st.sink.Head(response)
	}
	if contentType != st.contentType {
		return errkind.New(errkind.ServerFailed, "stream of type %q continued with type %q", st.contentType, contentType)
	}
	return nil
}

// awaitRecorded waits until the software of the stream is recorded, if it has to be. Its
// errors end the stream and say nothing about the backend server. Errors: Canceled.
func (st *eventStream) awaitRecorded() error {
	if st.recorded == nil {
		return nil
	}
	select {
	case err := <-st.recorded:
		st.recorded = nil
		return errkind.Wrap(errkind.Canceled, err, "the software of the stream was not recorded")
	case <-st.ctx.Done():
		return errkind.Wrap(errkind.Canceled, st.ctx.Err(), "record the software of the stream")
	}
}

// Event implements ports.EventSink. An event out of order is an error, as is a change
// of the weight version on a route that allows only one.
func (st *eventStream) Event(event core.Event) error {
	st.onEvent()
	if event.ID != st.request.After+1 {
		return errkind.New(errkind.ServerFailed, "event %d received after event %d", event.ID, st.request.After)
	}
	if st.route.SingleVersion && st.request.Version != 0 && event.Version != st.request.Version {
		return errkind.New(errkind.ServerFailed, "event %d is of weight version %d, want %d", event.ID, event.Version, st.request.Version)
	}
	if err := st.sink.Event(event); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write event to caller")
	}
	st.request.After, st.request.Version = event.ID, event.Version
	return nil
}

// ForwardEvents implements ports.Relay. The sink is called on the lane that reads
// the backend server's stream.
func (s *Service) ForwardEvents(ctx context.Context, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	matched, err := s.RouteOf(request.Host, request.Path())
	if err != nil {
		return core.RelayResponse{}, err
	}
	arrived, callerDeadline := s.ports.Clock.Now(), request.Deadline
	request.Deadline = requestDeadline(request.Deadline, matched.Timeout, arrived)
	if err := s.beginForwarded(core.ClassInteractive, &matched, arrived, request.Deadline); err != nil {
		return core.RelayResponse{}, err
	}
	defer s.lifecycle.EndRequest()
	request.AtMostOnce = !matched.Resumable
	st := &eventStream{
		request: request, guard: newCrashGuard(&request.RelayRequest), route: matched, service: s.routes.Choose(&matched), ctx: ctx, sink: sink, callerDeadline: callerDeadline,
		progress: route.StreamProgress{Resumable: matched.Resumable, MaxAttempts: matched.Attempts},
	}
	if matched.Resumable && request.After > 0 {
		st.isFixed = true
		if err := s.findSoftware(st); err != nil {
			return core.RelayResponse{}, err
		}
	}
	taken := slot{kind: tables.SlotKind{Service: st.service, Stream: true}, class: core.ClassInteractive}
	var response core.RelayResponse
	if err = s.acquireStreamSlot(st, &taken, arrived); err == nil {
		response, err = s.forwardEventsWithRetries(st)
	}
	s.endTrial(&st.guard)
	s.releaseSlot(&taken, err)
	s.logRequest(&call{
		request: request.RelayRequest, guard: st.guard, route: matched, service: st.service, arrived: arrived, attempts: st.progress.Attempts, slot: taken,
	}, &response, err)
	return response, err
}

// acquireStreamSlot takes a slot for a stream and waits for one if none is free.
func (s *Service) acquireStreamSlot(st *eventStream, wanted *slot, now time.Time) error {
	if s.slots.Acquire(wanted.kind, wanted.class, now) {
		wanted.since = now
		return nil
	}
	result := make(chan error, 1)
	s.awaitSlot(st.ctx, wanted, s.slotRequest(&st.request.RelayRequest, &st.route, wanted.class, st.request.Deadline), func(err error) { result <- err })
	return <-result
}

// forwardEventsWithRetries sends the request until a stream is complete, a response
// without a stream can be passed on, or the request must not be sent again.
func (s *Service) forwardEventsWithRetries(st *eventStream) (core.RelayResponse, error) {
	for {
		response, server, err := s.attemptEvents(st)
		switch st.progress.After(streamOutcome(st.ctx, server, response.Status, err)) {
		case route.EndStream, route.PassResponse:
			return response, nil
		case route.RetryStream:
			why := "failure response"
			if err != nil {
				why = err.Error()
			}
			s.log.Info().Str("request", string(st.request.ID)).Str("fingerprint", formatFingerprint(st.guard.fingerprint)).Int("attempt", st.progress.Attempts).Str("server", string(server)).
				Str("why", why).Int("status", response.Status).Int("after", st.request.After).Msg(logs.AttemptFailed)
			if response.Status >= 500 {
				st.failureResponse = response
			}
			st.excluded = append(st.excluded, server)
		default:
			return st.failure(response.Status, err)
		}
	}
}

// streamOutcome classifies the result of an attempt; server is empty if none was
// available.
func streamOutcome(caller context.Context, server core.ServerID, status int, err error) route.StreamOutcome {
	switch {
	case err == nil && status == 0:
		return route.StreamCompleted
	case err == nil && status >= 500:
		return route.StreamError
	case err == nil:
		return route.StreamRejected
	case server == "" || caller.Err() != nil || errkind.Is(err, errkind.Canceled):
		return route.StreamUnplaced
	case errkind.AnswerTo(err).Execution == errkind.NotRun:
		return route.StreamRefused
	default:
		return route.StreamBroken
	}
}

// failure returns the answer for a request whose last attempt ended with a status, zero
// if none, or an error. It says that the request did not run only if no attempt may
// have run.
func (st *eventStream) failure(status int, err error) (core.RelayResponse, error) {
	switch {
	case !st.progress.Begun && st.failureResponse.Status != 0:
		return st.failureResponse, nil
	case err == nil:
		return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "stream broke off and was answered with status %d", status)
	case st.progress.PossiblyRun && errkind.AnswerTo(err).Execution == errkind.NotRun:
		return core.RelayResponse{}, errkind.Wrap(errkind.ServerFailed, err, "an earlier attempt may have run")
	default:
		return core.RelayResponse{}, err
	}
}

// attemptEvents sends the request to one backend server and returns that server,
// empty if none was available.
func (s *Service) attemptEvents(st *eventStream) (core.RelayResponse, core.ServerID, error) {
	if err := s.awaitGuard(st); err != nil {
		return core.RelayResponse{}, "", err
	}
	now := s.ports.Clock.Now()
	query := routing.Query{
		Kind: s.serverKind(st.service), Service: st.service, Class: core.ClassInteractive, ExpectedTokens: 1,
		Adapter: core.AdapterName(st.request.Model), BodyBytes: len(st.request.Body),
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Exclude: st.excluded,
		Software: st.software, ExactSoftware: st.isFixed,
	}
	if st.route.SingleVersion && st.request.Version != 0 {
		query.Version, query.ExactVersion = st.request.Version, true
	}
	dispatch, err := s.servers.Acquire(query, now)
	if err != nil {
		return core.RelayResponse{}, "", err
	}
	st.server = dispatch.VM
	if st.route.Resumable && !st.isFixed {
		st.software = dispatch.VM.Software
		st.recorded = s.recordStream(st.ctx, st)
		st.isFixed = st.recorded != nil
	}
	st.progress.Attempts++
	s.metrics.Attempts.Inc(1)
	hasOtherSoftware := false
	st.onHead = func(response core.RelayResponse) error {
		s.noteServer(dispatch.VM.ID, now, response.ServerNotice)
		hasOtherSoftware = st.route.Resumable && s.isOfOtherSoftware(st, &dispatch.VM, response.ConnectionAge)
		if hasOtherSoftware {
			return errkind.Wrap(errkind.ServerFailed, errOtherSoftware(&dispatch.VM), "stream not passed on")
		}
		return nil
	}
	st.onEvent = s.countFirstEvent(st.request.Account)
	request := st.request
	request.FirstEventWithin, request.LongestGap = s.streamTimeouts(st, dispatch.VM.ID, now)
	result := make(chan callResult, 1)
	err = s.lanes.calls.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, st.ctx, request.Deadline)
		defer cancel()
		response, err := s.ports.Backend.Events(ctx, dispatch.VM, request, st)
		releaseWith(st.ctx, response)
		result <- callResult{response, err}
	})
	if err != nil {
		s.servers.Release(dispatch, routing.Result{Outcome: outlier.Abandoned}, now)
		return core.RelayResponse{}, "", err
	}
	r := <-result
	s.countCutAttempt(r.err)
	s.noteServer(dispatch.VM.ID, now, r.response.ServerNotice)
	ended := attemptResult(r.err, r.response.Status)
	switch {
	case hasOtherSoftware:
		ended = routing.Result{Outcome: outlier.Abandoned}
	case errkind.Is(r.err, errkind.ServerFailed):
		s.registry.RecordBroken(dispatch.VM.ID, s.ports.Clock.Now())
	}
	s.servers.Release(dispatch, ended, s.ports.Clock.Now())
	st.guard.hasEvents = st.request.After > request.After
	s.awaitRecord(st, dispatch.VM, r.response.Status, r.err)
	return r.response, dispatch.VM.ID, r.err
}

// isOfOtherSoftware reports whether the process that answered an attempt may not continue the
// stream, or does not have the software that is recorded for a stream which begins. A stream
// begins also while registrations can't be read.
func (s *Service) isOfOtherSoftware(st *eventStream, server *core.VM, connectionAge time.Duration) bool {
	state := s.confirmSoftware(st.ctx, server, connectionAge)
	return state == softwareChanged || state == softwareUnread && st.request.After > 0
}

// awaitGuard waits until it is known whether the next attempt may be sent, also when the
// caller has left, so that a trial is ended by this goroutine. Errors: Quarantined.
func (s *Service) awaitGuard(st *eventStream) error {
	permitted := make(chan error, 1)
	s.guardAttempt(&st.guard, func(err error) { permitted <- err })
	return <-permitted
}

// awaitRecord records how an attempt ended and waits until a retry may follow.
func (s *Service) awaitRecord(st *eventStream, server core.VM, status int, err error) {
	recorded := make(chan struct{})
	mayRetry := st.progress.Resumable && st.progress.Attempts < st.progress.MaxAttempts
	s.recordAttempt(&st.guard, server, status, err, mayRetry, func() { close(recorded) })
	select {
	case <-recorded:
	case <-st.ctx.Done():
	}
}

// streamTimeouts returns the bounds on the silence of a stream. A stream that no other
// backend server can continue is not ended before its deadline, since that helps
// nobody.
func (s *Service) streamTimeouts(st *eventStream, engine core.ServerID, now time.Time) (first, gap time.Duration) {
	if !st.route.Resumable {
		left := st.request.Deadline.Sub(now)
		return left, left
	}
	return 0, s.engineSpeeds.LongestGap(st.service, engine, now)
}
