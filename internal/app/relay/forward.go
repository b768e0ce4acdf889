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
)

// routingPolicy returns the constants of routing for relayed requests.
func routingPolicy() routing.Policy {
	policy := routing.DefaultPolicy()
	policy.PrefixEntries = 1 << 12 // prompts of the running steps; small VMs have little memory
	policy.Connect = connectCost
	return policy
}

// connectCost is the waiting that a new connection is worth: less than a short
// request takes, so that kept connections do not gather load on few servers.
const connectCost = 15 * time.Millisecond

// defaultTimeout bounds requests whose caller and route set no time.
const defaultTimeout = 30 * time.Second

// call is a request on its way through the workers.
type call struct {
	request core.RelayRequest
	route   core.Route
	service string
	arrived time.Time
	until   time.Time // when the caller's or the route's time is over
	ctx     context.Context
	routes  uint64 // version of the route table by which it goes
	attempt int
	sent    bool // an attempt may have run
	exclude []core.ServerID
	last    core.RelayResponse // a backend server's failure, answered if no attempt does better
	finish  func(core.RelayResponse, error)
}

// RouteOf implements ports.Relay.
func (s *Service) RouteOf(host, path string) (core.Route, error) {
	table := s.routes.InForce()
	if table == nil {
		return core.Route{}, errkind.New(errkind.Starting, "this entry process knows no routes yet")
	}
	found, ok := route.Match(table, host, path)
	if !ok {
		return core.Route{}, errkind.New(errkind.NotFound, "no route for %s%s", host, path)
	}
	return *found, nil
}

// Limits implements ports.Relay.
func (s *Service) Limits() core.CallerLimits {
	if table := s.routes.InForce(); table != nil {
		return table.Limits
	}
	return core.CallerLimits{}
}

type callResult struct {
	response core.RelayResponse
	err      error
}

// Forward implements ports.Relay.
func (s *Service) Forward(ctx context.Context, request core.RelayRequest) (core.RelayResponse, error) {
	result := make(chan callResult, 1)
	err := s.pool.Enqueue(core.ClassPeople, func() {
		s.admit(ctx, request, func(response core.RelayResponse, err error) { result <- callResult{response, err} })
	})
	if err != nil {
		return core.RelayResponse{}, err
	}
	select {
	case r := <-result:
		return r.response, r.err
	case <-ctx.Done():
		return core.RelayResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "caller left")
	}
}

// admit starts a caller's request. Finish is called once, in a step.
func (s *Service) admit(ctx context.Context, request core.RelayRequest, finish func(core.RelayResponse, error)) {
	taken, err := s.RouteOf(request.Host, request.Path())
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		finish(core.RelayResponse{}, err)
		return
	}
	if !s.lifecycle.Enter() {
		finish(core.RelayResponse{}, errkind.New(errkind.ShuttingDown, "this entry process takes no new requests"))
		return
	}
	now := s.ports.Clock.Now()
	c := &call{request: request, route: taken, routes: s.routes.InForce().Version, service: s.routes.Choose(&taken), arrived: now, ctx: ctx}
	c.until = until(request.Deadline, taken.Timeout, now)
	c.finish = func(response core.RelayResponse, err error) {
		s.lifecycle.Exit()
		s.logCall(c, &response, err)
		finish(response, err)
	}
	s.dispatch(c)
}

// until returns when a request's time is over: its caller's or its route's.
func until(deadline time.Time, timeout time.Duration, now time.Time) time.Time {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	end := now.Add(timeout)
	if !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

// A request that may be repeated is given up at one backend server after a part
// of the time left, but not before an answer that is late twice over: a server
// that hangs must not cost a caller half of the wait.
const (
	firstTryShare   = 0.25
	firstTryTargets = 2
)

// tryUntil returns when one attempt ends.
func (c *call) tryUntil(now time.Time) time.Time {
	if c.route.Kind != core.RouteIdempotent || c.attempt >= c.route.Attempts {
		return c.until
	}
	left := c.until.Sub(now)
	share := time.Duration(float64(left) * firstTryShare)
	return now.Add(min(left, max(share, firstTryTargets*c.route.Target)))
}

// dispatch sends the call's next attempt.
func (s *Service) dispatch(c *call) {
	now := s.ports.Clock.Now()
	if !now.Before(c.until) {
		s.endUnsent(c, errkind.New(errkind.Timeout, "no time is left"))
		return
	}
	begun, err := s.servers.Acquire(routing.Query{
		Kind: s.kindOf(c.service), Service: c.service, Class: core.ClassPeople, Tokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Exclude: c.exclude,
		Bytes: len(c.request.Body),
	}, now)
	if err != nil {
		s.endUnsent(c, err)
		return
	}
	c.attempt++
	s.metrics.Attempts.Inc(1)
	request := c.request
	request.Deadline = c.tryUntil(now)
	request.Once = c.route.Kind == core.RouteOnce
	err = s.lanes.calls.Go(func(lane context.Context) {
		ctx, cancel := s.joined(lane, c.ctx, request.Deadline)
		defer cancel()
		response, err := s.ports.Backend.Exchange(ctx, begun.VM, request)
		s.pool.MustEnqueue(core.ClassPeople, func() { s.attemptEnded(c, begun, response, err) })
	})
	if err != nil {
		s.servers.Release(begun, routing.Result{Outcome: outlier.Abandoned}, now)
		c.attempt--
		s.endUnsent(c, err)
	}
}

// joined returns a context that ends with the lane, the caller and a time.
func (s *Service) joined(lane, caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(lane, deadline.Sub(s.ports.Clock.Now()))
	stop := context.AfterFunc(caller, cancel)
	return ctx, func() { stop(); cancel() }
}

// kindOf returns the kind of a service's backend servers.
func (s *Service) kindOf(service string) core.ServerKind {
	if table := s.routes.InForce(); table != nil && table.Services[service].Slots > 0 {
		return core.KindEngine
	}
	return core.KindPlain
}

// resultOf says what an attempt's end tells of its backend server. A refusal
// tells that it has no room now, not that it is worse than others.
func resultOf(err error, status int) routing.Result {
	switch {
	case err == nil && status < 500:
		return routing.Result{Outcome: outlier.Succeeded}
	case errkind.Is(err, errkind.Canceled):
		return routing.Result{Outcome: outlier.Abandoned}
	case errkind.Is(err, errkind.ServerRefused):
		return routing.Result{Outcome: outlier.Abandoned, Refused: true}
	default:
		return routing.Result{Outcome: outlier.Failed}
	}
}

func (s *Service) attemptEnded(c *call, begun routing.Dispatch, response core.RelayResponse, err error) {
	s.servers.Release(begun, resultOf(err, response.Status), s.ports.Clock.Now())
	c.exclude = append(c.exclude, begun.VM.ID)
	again := c.attempt < max(1, c.route.Attempts) && c.ctx.Err() == nil
	switch {
	case err == nil && (response.Status < 500 || c.route.Kind != core.RouteIdempotent || !again):
		c.finish(response, nil)
	case err == nil:
		c.sent, c.last = true, response
		s.logAttempt(c, begun, "answered a failure")
		s.dispatch(c)
	case errkind.Is(err, errkind.ServerRefused) && again:
		s.logAttempt(c, begun, err.Error())
		s.dispatch(c)
	case errkind.Is(err, errkind.ServerRefused):
		s.endUnsent(c, err)
	case c.route.Kind == core.RouteIdempotent && again:
		c.sent = true
		s.logAttempt(c, begun, err.Error())
		s.dispatch(c)
	default:
		c.sent = true
		s.endUnsent(c, err)
	}
}

// endUnsent ends a call whose last attempt brought no answer. A refusal that
// promises that nothing ran is given only if no attempt may have run.
func (s *Service) endUnsent(c *call, err error) {
	switch {
	case c.last.Status != 0:
		c.finish(c.last, nil)
	case c.sent && errkind.AnswerTo(err).Ran == errkind.NotRun:
		c.finish(core.RelayResponse{}, errkind.Wrap(errkind.ServerFailed, err, "an attempt may have run"))
	default:
		c.finish(core.RelayResponse{}, err)
	}
}

func (s *Service) logAttempt(c *call, begun routing.Dispatch, why string) {
	s.log.Info().Str("request", string(c.request.ID)).Int("attempt", c.attempt).
		Str("server", string(begun.VM.ID)).Str("why", why).Dur("took", s.ports.Clock.Now().Sub(begun.Started)).
		Msg(logs.AttemptFailed)
}

func (s *Service) logCall(c *call, response *core.RelayResponse, err error) {
	took := s.ports.Clock.Now().Sub(c.arrived)
	s.metrics.RequestTime.Update(took.Milliseconds())
	line := s.log.Info()
	switch {
	case err == nil:
		s.metrics.RequestsServed.Inc(1)
	case errkind.AnswerTo(err).Ran == errkind.NotRun:
		s.metrics.RequestsRefused.Inc(1)
		line = s.log.Warn().Err(err)
	default:
		s.metrics.RequestsFailed.Inc(1)
		line = s.log.Warn().Err(err)
	}
	line.Str("request", string(c.request.ID)).Str("route", c.route.Name).Str("service", c.service).
		Uint64("routes", c.routes).Int("attempts", c.attempt).Int("status", response.Status).Dur("took", took).Msg(logs.RequestEnded)
}

// EntryAddresses implements ports.Relay.
func (s *Service) EntryAddresses(_ core.ZoneName, region core.RegionName) core.AddressList {
	return core.AddressList{Addresses: s.addresses(region), Keep: time.Duration(s.keep.Load())}
}
