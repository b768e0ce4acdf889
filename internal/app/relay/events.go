package relay

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// eventStream is a caller's streaming request in progress. It implements
// ports.EventSink.
type eventStream struct {
	request     core.EventsRequest
	route       core.Route
	service     string
	sink        ports.EventSink
	headSent    bool // the caller got the response's head
	possiblyRun bool // an attempt may have run
	attempts    int
	excluded    []core.ServerID // already tried
}

// Head implements ports.EventSink. Only the first attempt's head is passed on.
func (st *eventStream) Head(response core.RelayResponse) error {
	if st.headSent {
		return nil
	}
	st.headSent = true
	return st.sink.Head(response)
}

// Event implements ports.EventSink. An event out of order is an error.
func (st *eventStream) Event(event core.Event) error {
	if event.ID != st.request.After+1 {
		return errkind.New(errkind.ServerFailed, "event %d received after event %d", event.ID, st.request.After)
	}
	if err := st.sink.Event(event); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write event to caller")
	}
	st.request.After = event.ID
	return nil
}

// ForwardEvents implements ports.Relay. The sink is called on the lane that reads
// the backend server's stream.
func (s *Service) ForwardEvents(ctx context.Context, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	matched, err := s.RouteOf(request.Host, request.Path())
	if err != nil {
		return core.RelayResponse{}, err
	}
	if !s.lifecycle.BeginRequest() {
		return core.RelayResponse{}, errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests")
	}
	defer s.lifecycle.EndRequest()
	arrived := s.ports.Clock.Now()
	request.Deadline = requestDeadline(request.Deadline, matched.Timeout, arrived)
	request.AtMostOnce = !matched.Resumable
	st := &eventStream{request: request, route: matched, service: s.routes.Choose(&matched), sink: sink}
	response, err := s.forwardEventsWithRetries(ctx, st)
	s.logRequest(&call{
		request: request.RelayRequest, route: matched, service: st.service, arrived: arrived, attempts: st.attempts,
	}, &response, err)
	return response, err
}

// forwardEventsWithRetries sends the request until a stream is complete or must
// not be retried. If an attempt may have run, another server continues the
// stream only if the route is resumable.
func (s *Service) forwardEventsWithRetries(ctx context.Context, st *eventStream) (core.RelayResponse, error) {
	for {
		response, server, err := s.attemptEvents(ctx, st)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		notRun := errkind.AnswerTo(err).Execution == errkind.NotRun
		st.possiblyRun = st.possiblyRun || !notRun
		canRetry := notRun && !st.possiblyRun || st.route.Resumable
		if server == "" || !canRetry || st.attempts >= max(1, st.route.Attempts) || errkind.Is(err, errkind.Canceled) {
			if notRun && st.possiblyRun {
				err = errkind.Wrap(errkind.ServerFailed, err, "an earlier attempt may have run")
			}
			return core.RelayResponse{}, err
		}
		st.excluded = append(st.excluded, server)
	}
}

// attemptEvents sends the request to one backend server and returns that server,
// empty if none was available.
func (s *Service) attemptEvents(ctx context.Context, st *eventStream) (core.RelayResponse, core.ServerID, error) {
	now := s.ports.Clock.Now()
	dispatch, err := s.servers.Acquire(routing.Query{
		Kind: s.serverKind(st.service), Service: st.service, Class: core.ClassInteractive, ExpectedTokens: 1,
		Adapter: core.AdapterName(st.request.Model),
		Zone:    s.options.Self.Zone, Region: s.options.Self.Region, Exclude: st.excluded,
	}, now)
	if err != nil {
		return core.RelayResponse{}, "", err
	}
	st.attempts++
	s.metrics.Attempts.Inc(1)
	result := make(chan callResult, 1)
	err = s.lanes.calls.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, ctx, st.request.Deadline)
		defer cancel()
		response, err := s.ports.Backend.Events(ctx, dispatch.VM, st.request, st)
		result <- callResult{response, err}
	})
	if err != nil {
		s.servers.Release(dispatch, routing.Result{Outcome: outlier.Abandoned}, now)
		return core.RelayResponse{}, "", err
	}
	r := <-result
	s.servers.Release(dispatch, attemptResult(r.err, r.response.Status), s.ports.Clock.Now())
	return r.response, dispatch.VM.ID, r.err
}
