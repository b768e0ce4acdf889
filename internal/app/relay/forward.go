package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/route"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// routingPolicy returns the routing policy for relayed requests.
func routingPolicy() routing.Policy {
	policy := routing.DefaultPolicy()
	policy.PrefixEntries = 1 << 12 // enough for the prompts of the running training steps; entry VMs may be small
	policy.ConnectionCost = connectionCost
	policy.Pace = true
	policy.BytesPerSlot = bytesPerSlot
	return policy
}

// connectionCost is the queueing time that routing accepts to avoid a new
// connection. It is shorter than a short request, so that servers with idle
// connections do not get most of the load.
const connectionCost = 15 * time.Millisecond

// bytesPerSlot is what a server is taken to bear of requests in flight for each of its
// slots. Registrations do not tell its memory; eight slots so bear one body of the largest
// size that callers may send, 32 MiB.
const bytesPerSlot = 4 << 20

// defaultTimeout applies to requests without a deadline or a route timeout.
const defaultTimeout = 30 * time.Second

// call is a caller's request in progress.
type call struct {
	request         core.RelayRequest
	class           core.Class
	guard           crashGuard
	route           core.Route
	service         string
	arrived         time.Time
	deadline        time.Time // the earlier of the caller's and the route's
	ctx             context.Context
	routesVersion   uint64 // of the route table that matched it
	attempts        int
	errors          int                // responses with status 500 to its attempts
	possiblyRun     bool               // an attempt may have run
	excluded        []core.ServerID    // already tried
	failureResponse core.RelayResponse // a backend server's 5xx response, returned if no later attempt gets a response
	slot            slot
	finish          func(core.RelayResponse, error)
}

// RouteOf returns the route of a request. Errors: Starting, NotFound.
func (s *Service) RouteOf(host, path string) (core.Route, error) {
	table := s.routes.Current()
	if table == nil {
		return core.Route{}, errStarting()
	}
	found, ok := route.Match(table, host, path)
	if !ok {
		return core.Route{}, errNoRoute(host, path)
	}
	return *found, nil
}

func errStarting() error { return account.Decision{Refusal: account.NotConfigured}.Err() }

func errNoRoute(host, path string) error {
	return errkind.New(errkind.NotFound, "no route matches %s%s", host, path)
}

// Limits implements ports.Relay.
func (s *Service) Limits() core.CallerLimits {
	if table := s.routes.Current(); table != nil {
		return table.Limits
	}
	return core.CallerLimits{}
}

// serverErrorStatus is the status with which a backend server reports that it ran a
// request and failed.
const serverErrorStatus = 500

// callResult is a backend server's response or the error instead of it.
type callResult struct {
	response core.RelayResponse
	err      error
}

// Forward implements ports.Relay.
func (s *Service) Forward(ctx context.Context, request core.RelayRequest) (core.RelayResponse, error) {
	return s.forwardGuarded(ctx, request, core.ClassInteractive, newCrashGuard(&request))
}

func (s *Service) forwardGuarded(ctx context.Context, request core.RelayRequest, class core.Class, guard crashGuard) (core.RelayResponse, error) {
	result := make(chan callResult, 1)
	err := s.pool.Enqueue(core.ClassInteractive, func() {
		s.admitRequest(ctx, request, class, guard, func(response core.RelayResponse, err error) { result <- callResult{response, err} })
	})
	if err != nil {
		return core.RelayResponse{}, err
	}
	// Also when the caller has left: until the call has ended, its body is in use.
	r := <-result
	return r.response, r.err
}

// admitRequest starts a caller's request. It calls finish once, on a worker of the
// pool.
func (s *Service) admitRequest(ctx context.Context, request core.RelayRequest, class core.Class, guard crashGuard, finish func(core.RelayResponse, error)) {
	matched, err := s.RouteOf(request.Host, request.Path())
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		finish(core.RelayResponse{}, err)
		return
	}
	now := s.ports.Clock.Now()
	deadline := requestDeadline(request.Deadline, matched.Timeout, now)
	if err := s.beginForwarded(class, &matched, now, deadline); err != nil {
		finish(core.RelayResponse{}, err)
		return
	}
	c := &call{request: request, class: class, guard: guard, route: matched, routesVersion: s.routes.Current().Version, service: s.routes.Choose(&matched), arrived: now, deadline: deadline, ctx: ctx}
	c.slot = slot{kind: tables.SlotKind{Service: c.service}, class: class}
	c.finish = func(response core.RelayResponse, err error) {
		s.endTrial(&c.guard)
		s.releaseSlot(&c.slot, err)
		s.lifecycle.EndRequest()
		s.logRequest(c, &response, err)
		response.Errors = c.errors
		finish(response, err)
	}
	if s.slots.Acquire(c.slot.kind, class, now) {
		c.slot.since = now
		s.startAttempt(c)
		return
	}
	s.awaitSlot(ctx, &c.slot, s.slotRequest(&c.request, &c.route, class, deadline), func(err error) {
		if err == nil {
			err = errkind.Wrap(errkind.Canceled, ctx.Err(), "caller left before the request was sent")
		}
		if err != nil {
			c.finish(core.RelayResponse{}, err)
			return
		}
		s.startAttempt(c)
	})
}

// requestDeadline returns the earlier of the caller's deadline and the end of the
// route's timeout.
func requestDeadline(deadline time.Time, timeout time.Duration, now time.Time) time.Time {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	end := now.Add(timeout)
	if !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

// Timeout of an attempt that a retry can follow: a share of the time left, but at
// least a multiple of the route's target latency. A hanging backend server then
// costs the caller less than half of its time.
const (
	firstAttemptShare   = 0.25 // of the time left
	firstAttemptTargets = 2    // target latencies
)

// attemptDeadline returns the deadline of an attempt that starts now.
func (c *call) attemptDeadline(now time.Time) time.Time {
	if c.route.Kind != core.RouteIdempotent || c.attempts >= c.route.Attempts {
		return c.deadline
	}
	remaining := c.deadline.Sub(now)
	share := time.Duration(float64(remaining) * firstAttemptShare)
	return now.Add(min(remaining, max(share, firstAttemptTargets*c.route.Target)))
}

// startAttempt sends the call's next attempt, unless servers have died under it.
func (s *Service) startAttempt(c *call) {
	s.guardAttempt(&c.guard, func(err error) {
		if err != nil {
			s.finishWithoutResponse(c, err)
			return
		}
		s.sendAttempt(c)
	})
}

func (s *Service) sendAttempt(c *call) {
	now := s.ports.Clock.Now()
	if !now.Before(c.deadline) {
		s.finishWithoutResponse(c, errkind.New(errkind.Timeout, "deadline passed after %d attempts", c.attempts))
		return
	}
	dispatch, err := s.servers.Acquire(routing.Query{
		Kind: s.serverKind(c.service), Service: c.service, Class: c.class, ExpectedTokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Exclude: c.excluded,
		ExpectedBytes: c.request.Body.Len(), BodyBytes: c.request.Body.Len(),
	}, now)
	if err != nil {
		s.finishWithoutResponse(c, err)
		return
	}
	c.attempts++
	s.metrics.Attempts.Inc(1)
	request := c.request
	request.Deadline = c.attemptDeadline(now)
	request.AtMostOnce = c.route.Kind == core.RouteAtMostOnce
	err = s.lanes.calls.Go(func(lane context.Context) {
		ctx, cancel := s.mergeContexts(lane, c.ctx, request.Deadline)
		defer cancel()
		ended := s.countAttempt(c)
		response, err := s.ports.Backend.Exchange(ctx, dispatch.VM, request)
		ended(response, err)
		releaseWith(c.ctx, response)
		s.pool.MustEnqueue(core.ClassInteractive, func() { s.finishAttempt(c, dispatch, response, err) })
	})
	if err != nil {
		s.servers.Release(dispatch, routing.Result{Outcome: outlier.Abandoned}, now)
		c.attempts--
		s.finishWithoutResponse(c, err)
	}
}

// releaseWith releases the memory of a response's body when the caller's context ends,
// which is when the caller has left or was answered.
func releaseWith(caller context.Context, response core.RelayResponse) {
	if response.Release != nil {
		context.AfterFunc(caller, response.Release)
	}
}

// mergeContexts returns a context that ends with the lane's context, the caller's
// context or the deadline, whichever is first.
func (s *Service) mergeContexts(lane, caller context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(lane, deadline.Sub(s.ports.Clock.Now()))
	stop := context.AfterFunc(caller, cancel)
	return ctx, func() { stop(); cancel() }
}

// serverKind returns the kind of a service's backend servers.
func (s *Service) serverKind(service string) core.ServerKind {
	if table := s.routes.Current(); table != nil && table.Services[service].Slots > 0 {
		return core.KindEngine
	}
	return core.KindPlain
}

// attemptResult returns what an attempt's outcome says about its backend server.
// A refusal means that the server has no capacity now and is not counted as a
// failure.
func attemptResult(err error, status int) routing.Result {
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

func (s *Service) finishAttempt(c *call, dispatch routing.Dispatch, response core.RelayResponse, err error) {
	s.countCutAttempt(err)
	s.noteServer(dispatch.VM.ID, dispatch.Started, response.ServerNotice)
	s.servers.Release(dispatch, attemptResult(err, response.Status), s.ports.Clock.Now())
	c.excluded = append(c.excluded, dispatch.VM.ID)
	if err == nil && response.Status == serverErrorStatus {
		c.errors++
	}
	canRetry := c.attempts < max(1, c.route.Attempts) && c.ctx.Err() == nil
	s.recordAttempt(&c.guard, dispatch.VM, response.Status, err, canRetry && c.route.Kind == core.RouteIdempotent, func() {
		s.continueCall(c, dispatch, response, err, canRetry)
	})
}

// continueCall ends a call with the result of its last attempt or starts the next one.
func (s *Service) continueCall(c *call, dispatch routing.Dispatch, response core.RelayResponse, err error, canRetry bool) {
	switch {
	case err == nil && (response.Status < 500 || c.route.Kind != core.RouteIdempotent || !canRetry):
		c.finish(response, nil)
	case err == nil:
		c.possiblyRun, c.failureResponse = true, response
		s.logFailedAttempt(c, dispatch, "failure response")
		s.startAttempt(c)
	case errkind.Is(err, errkind.ServerRefused) && canRetry:
		s.logFailedAttempt(c, dispatch, err.Error())
		s.startAttempt(c)
	case errkind.Is(err, errkind.ServerRefused):
		s.finishWithoutResponse(c, err)
	case c.route.Kind == core.RouteIdempotent && canRetry:
		c.possiblyRun = true
		s.logFailedAttempt(c, dispatch, err.Error())
		s.startAttempt(c)
	default:
		c.possiblyRun = true
		s.finishWithoutResponse(c, err)
	}
}

// finishWithoutResponse ends a call whose last attempt got no response. The error
// says that the request did not run only if no attempt may have run.
func (s *Service) finishWithoutResponse(c *call, err error) {
	switch {
	case c.failureResponse.Status != 0:
		c.finish(c.failureResponse, nil)
	case c.possiblyRun && errkind.AnswerTo(err).Execution == errkind.NotRun:
		c.finish(core.RelayResponse{}, errkind.Wrap(errkind.ServerFailed, err, "an earlier attempt may have run"))
	default:
		c.finish(core.RelayResponse{}, err)
	}
}

func (s *Service) logFailedAttempt(c *call, dispatch routing.Dispatch, why string) {
	s.log.Info().Str("request", string(c.request.ID)).Str("fingerprint", formatFingerprint(c.guard.fingerprint)).Int("attempt", c.attempts).
		Str("server", string(dispatch.VM.ID)).Str("why", why).Dur("took", s.ports.Clock.Now().Sub(dispatch.Started)).
		Msg(logs.AttemptFailed)
}

func (s *Service) countCutAttempt(err error) {
	if errkind.Is(err, errkind.ServerFailed) {
		s.metrics.AttemptsCut.Inc(1)
	}
}

func (s *Service) logRequest(c *call, response *core.RelayResponse, err error) {
	now := s.ports.Clock.Now()
	took := now.Sub(c.arrived)
	if c.attempts > 0 {
		s.routeDurations.Observe(c.route.Name, took, c.slot.waited, now)
	}
	s.metrics.RequestTime.Update(took.Milliseconds())
	line := s.log.Info()
	switch {
	case err == nil:
		s.metrics.RequestsServed.Inc(1)
	case errkind.AnswerTo(err).Execution == errkind.NotRun:
		s.metrics.RequestsRefused.Inc(1)
		line = s.log.Warn().Err(err)
	default:
		s.metrics.RequestsFailed.Inc(1)
		line = s.log.Warn().Err(err).Str("fingerprint", formatFingerprint(c.guard.fingerprint))
	}
	if c.request.Account != "" {
		line = line.Str("account", string(c.request.Account))
	}
	if c.slot.waited > 0 {
		line = line.Dur("waited", c.slot.waited)
	}
	line.Str("request", string(c.request.ID)).Str("route", c.route.Name).Str("service", c.service).
		Uint64("routes", c.routesVersion).Int("attempts", c.attempts).Int("status", response.Status).Dur("took", took).Msg(logs.RequestEnded)
}

// EntryAddresses implements ports.Relay.
func (s *Service) EntryAddresses(_ core.ZoneName, region core.RegionName) core.AddressList {
	return core.AddressList{Addresses: s.entryAddresses(region), CacheFor: time.Duration(s.addressCacheNanos.Load())}
}
