package relay

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// stream is a request for events on its way.
type stream struct {
	request core.EventsRequest
	route   core.Route
	service string
	sink    ports.EventSink
	headed  bool // the caller has a head
	sent    bool // an attempt may have run
	attempt int
	exclude []core.ServerID
}

// Head implements ports.EventSink: the caller gets the first one only.
func (st *stream) Head(response core.RelayResponse) error {
	if st.headed {
		return nil
	}
	st.headed = true
	return st.sink.Head(response)
}

// Event implements ports.EventSink.
func (st *stream) Event(event core.Event) error {
	if event.ID != st.request.After+1 {
		return errkind.New(errkind.ServerFailed, "event %d came after event %d", event.ID, st.request.After)
	}
	if err := st.sink.Event(event); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "caller takes no more events")
	}
	st.request.After = event.ID
	return nil
}

// ForwardEvents implements ports.Relay. The sink runs on the lane of the
// backend server's stream.
func (s *Service) ForwardEvents(ctx context.Context, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	taken, err := s.RouteOf(request.Host, request.Path())
	if err != nil {
		return core.RelayResponse{}, err
	}
	if !s.lifecycle.Enter() {
		return core.RelayResponse{}, errkind.New(errkind.ShuttingDown, "this entry process takes no new requests")
	}
	defer s.lifecycle.Exit()
	arrived := s.ports.Clock.Now()
	request.Deadline = until(request.Deadline, taken.Timeout, arrived)
	request.Once = !taken.Resumable
	st := &stream{request: request, route: taken, service: s.routes.Choose(&taken), sink: sink}
	response, err := s.tryEvents(ctx, st)
	s.logCall(&call{
		request: request.RelayRequest, route: taken, service: st.service, arrived: arrived, attempt: st.attempt,
	}, &response, err)
	return response, err
}

// tryEvents sends the request until a stream has ended whole or may not be
// repeated. A stream whose first attempt may have run goes on elsewhere only
// where the route says so.
func (s *Service) tryEvents(ctx context.Context, st *stream) (core.RelayResponse, error) {
	for {
		response, server, err := s.eventsOnce(ctx, st)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		unsent := errkind.AnswerTo(err).Ran == errkind.NotRun
		st.sent = st.sent || !unsent
		repeatable := unsent && !st.sent || st.route.Resumable
		if server == "" || !repeatable || st.attempt >= max(1, st.route.Attempts) || errkind.Is(err, errkind.Canceled) {
			if unsent && st.sent {
				err = errkind.Wrap(errkind.ServerFailed, err, "an attempt may have run")
			}
			return core.RelayResponse{}, err
		}
		st.exclude = append(st.exclude, server)
	}
}

// eventsOnce sends the request to one backend server. The server is empty when
// none was found.
func (s *Service) eventsOnce(ctx context.Context, st *stream) (core.RelayResponse, core.ServerID, error) {
	now := s.ports.Clock.Now()
	begun, err := s.servers.Acquire(routing.Query{
		Kind: s.kindOf(st.service), Service: st.service, Class: core.ClassPeople, Tokens: 1,
		Adapter: core.AdapterName(st.request.Model),
		Zone:    s.options.Self.Zone, Region: s.options.Self.Region, Exclude: st.exclude,
	}, now)
	if err != nil {
		return core.RelayResponse{}, "", err
	}
	st.attempt++
	s.metrics.Attempts.Inc(1)
	result := make(chan callResult, 1)
	err = s.lanes.calls.Go(func(lane context.Context) {
		ctx, cancel := s.joined(lane, ctx, st.request.Deadline)
		defer cancel()
		response, err := s.ports.Backend.Events(ctx, begun.VM, st.request, st)
		result <- callResult{response, err}
	})
	if err != nil {
		s.servers.Release(begun, routing.Result{Outcome: outlier.Abandoned}, now)
		return core.RelayResponse{}, "", err
	}
	r := <-result
	s.servers.Release(begun, resultOf(r.err, r.response.Status), s.ports.Clock.Now())
	return r.response, begun.VM.ID, r.err
}
