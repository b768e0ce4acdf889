package relay

import (
	"context"
	"sync/atomic"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/route"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// slot is a request's slot of its service.
type slot struct {
	kind   tables.SlotKind
	class  core.Class
	since  time.Time     // when the request got the slot; zero while it has none
	waited time.Duration // for the slot
}

// releaseSlot returns a request's slot, if it has one. How long it was held counts only if
// the request may have run: refusals and callers that leave say nothing about others.
func (s *Service) releaseSlot(taken *slot, err error) {
	if taken.since.IsZero() {
		return
	}
	now := s.ports.Clock.Now()
	held := max(1, now.Sub(taken.since))
	if err != nil && (errkind.Is(err, errkind.Canceled) || errkind.AnswerTo(err).Execution == errkind.NotRun) {
		held = 0
	}
	s.slots.Release(taken.kind, taken.class, held, now)
	taken.since = time.Time{}
}

// slotRequest describes a request that found no free slot.
func (s *Service) slotRequest(request *core.RelayRequest, matched *core.Route, class core.Class, deadline time.Time) admission.Request[tables.AdmissionCallback] {
	return admission.Request[tables.AdmissionCallback]{
		Caller: core.CallerName(request.Account), Route: matched.Name,
		Priority: account.Priority(s.routes.Current(), matched, request.Account),
		Class:    class, Cost: 1, Deadline: deadline, Expected: s.routeDurations.Mean(matched.Name),
	}
}

// awaitSlot calls resume once, in a step: with nil when the request has got the slot, or
// with an error when it is refused. Errors: Overloaded, DeadlineTooShort, Canceled if the
// caller has left, ShuttingDown.
func (s *Service) awaitSlot(ctx context.Context, wanted *slot, request admission.Request[tables.AdmissionCallback], resume func(error)) {
	began := s.ports.Clock.Now()
	end := func(err error) {
		now := s.ports.Clock.Now()
		wanted.waited = now.Sub(began)
		s.metrics.SlotWait.Update(wanted.waited.Milliseconds())
		if err == nil {
			wanted.since = now
		} else {
			s.metrics.SlotsRefused.Inc(1)
		}
		resume(err)
	}
	var stop atomic.Pointer[func()] // ends what watches over the wait
	request.Payload = func(err error) {
		if stopWatching := stop.Load(); stopWatching != nil {
			(*stopWatching)()
		}
		s.pool.MustEnqueue(wanted.class, func() { end(err) })
	}
	wait, started, err := s.slots.Wait(wanted.kind, &request, began)
	if err != nil || started {
		end(err)
		return
	}
	s.metrics.SlotsAwaited.Inc(1)
	cancel := func(err error) {
		if s.slots.Cancel(wait) {
			end(err)
		}
	}
	stopTimer := s.timers.After(wait.Until().Sub(began), wanted.class, func() {
		cancel(errkind.New(errkind.DeadlineTooShort, "no slot of %s became free in time; the request was not run", wanted.kind.Service))
	})
	stopContext := context.AfterFunc(ctx, func() {
		s.pool.MustEnqueue(wanted.class, func() {
			cancel(errkind.Wrap(errkind.Canceled, ctx.Err(), "caller stopped waiting for a slot"))
		})
	})
	stopWatching := func() { stopTimer(); stopContext() }
	stop.Store(&stopWatching)
}

// reportShortages logs which services became short of slots and which no longer are.
func (s *Service) reportShortages() {
	now := s.ports.Clock.Now()
	began, ended := s.slots.Shortages(now)
	for _, short := range began {
		s.log.Warn().Str("service", short.Kind.Service).Bool("stream", short.Kind.Stream).Int("slots", short.Slots).
			Int("in_flight", short.InFlight).Int("waiting", short.Waiting).Msg(logs.SlotsShort)
	}
	for _, short := range ended {
		s.log.Info().Str("service", short.Kind.Service).Bool("stream", short.Kind.Stream).Uint64("requests", short.Short).
			Dur("lasted", now.Sub(short.Since)).Msg(logs.SlotsFree)
	}
}

// scorerRoom is how many scorer calls the services can take now.
type scorerRoom struct {
	table     *core.RouteTable
	byService map[string]int
}

func (s *Service) newScorerRoom(now time.Time) *scorerRoom {
	return &scorerRoom{table: s.routes.Current(), byService: s.slots.RolloutRoom(now)}
}

// take takes a place for a scorer call. It returns false if its service has none.
func (r *scorerRoom) take(call *core.ScorerCall) bool {
	if r.table == nil {
		return true
	}
	matched, found := route.Match(r.table, call.Host, call.Path)
	if !found {
		return true
	}
	for _, target := range matched.Services {
		room, isBounded := r.byService[target.Service]
		if !isBounded {
			return true
		}
		if room > 0 {
			r.byService[target.Service]--
			return true
		}
	}
	return false
}
