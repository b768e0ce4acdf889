package relay

import (
	"context"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
)

const (
	maxStartsPerStep = 64               // runs started by one call of startDueWork
	runTimeout       = 60 * time.Second // of one run of an item; a stalled stream fails earlier
)

// startDueWork starts the runs, the scoring and the result commits that are due.
func (s *Service) startDueWork(service string) {
	now := s.ports.Clock.Now()
	avoided := job.AvoidedEngines{Slow: s.engineSpeeds.SlowEngines(service, now), Weak: s.engineSpeeds.WeakEngines(service, now), Loading: s.engineSpeeds.LoadingEngines(now)}
	for _, start := range s.jobs.NextRuns(service, maxStartsPerStep, now) {
		if err := s.placeRun(service, start, avoided, now); err != nil {
			s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.RunNotPlaced(start.Work, now) })
			if !errkind.Is(err, errkind.NoServer) {
				s.log.Debug().Err(err).Str("item", string(start.Item.ID)).Msg("item not sent to an engine")
			}
		}
	}
	s.startScores(service, now)
	s.storeResults(service)
}

// moveSlowRuns cancels runs on slow engines and long runs on weak ones, as many as
// other engines have free slots for. The runs continue there after the events received
// so far.
func (s *Service) moveSlowRuns(service string) {
	now := s.ports.Clock.Now()
	slow, weak := s.engineSpeeds.SlowEngines(service, now), s.engineSpeeds.WeakEngines(service, now)
	if len(slow)+len(weak) == 0 {
		return
	}
	engines, loading := s.servers.EnginesOf(service), s.engineSpeeds.LoadingEngines(now)
	sound, fast := findFreeSlots(engines, slow, loading), findFreeSlots(engines, slices.Concat(slow, weak), loading)
	var moves []job.RunID
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		moves = append(scheduler.SelectMoves(job.SlowEngineMoves(slow), sound.reserve), scheduler.SelectMoves(job.WeakEngineMoves(weak), fast.reserve)...)
	})
	if len(moves) > 0 {
		s.log.Info().Str("service", service).Int("runs", len(moves)).Any("slow", slow).Any("weak", weak).Msg(logs.RunsMoved)
	}
	s.runs.Cancel(moves)
}

// freeSlots is the number of free slots of each engine.
type freeSlots struct {
	engines []routing.View
	free    []int // free slots by index in engines
	loading map[core.ModelName][]core.ServerID
}

// findFreeSlots returns the free slots of the live engines that are neither ejected
// nor among those that runs are moved off.
func findFreeSlots(engines []routing.View, avoided []core.ServerID, loading map[core.ModelName][]core.ServerID) *freeSlots {
	found := &freeSlots{loading: loading}
	for _, view := range engines {
		if view.VM.State == core.VMLive && !view.Ejected && !slices.Contains(avoided, view.VM.ID) {
			found.engines = append(found.engines, view)
			found.free = append(found.free, view.VM.Slots-view.OwnStreams)
		}
	}
	return found
}

// reserve takes a free slot of an engine that may continue a run. It returns false if there
// is none.
func (f *freeSlots) reserve(move job.Move) bool {
	for i := range f.engines {
		loaded, isLoaded := f.engines[i].Status.Holds(core.AdapterName(move.Model))
		if isLoaded && loaded.Version >= move.Oldest && f.free[i] > 0 && f.engines[i].VM.Software == move.Software &&
			!slices.Contains(f.loading[move.Model], f.engines[i].VM.ID) {
			f.free[i]--
			return true
		}
	}
	return false
}

// placeRun selects an engine for a run and starts it there.
func (s *Service) placeRun(service string, start job.RunStart, avoided job.AvoidedEngines, now time.Time) error {
	target, err := s.itemService(&start)
	if err != nil {
		return err
	}
	query := routing.Query{
		Kind: s.serverKind(target), Service: target, Adapter: core.AdapterName(start.Model),
		Version: start.OldestVersion, ExactVersion: start.ExactVersion, RequiresFreeSlot: true, KeepsPace: start.KeepsPace(),
		Software: start.Software, ExactSoftware: start.EventsReceived > 0,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Class: core.ClassRollout,
		ExpectedTokens: start.Item.Tokens, BodyBytes: len(start.Item.Body), Prefix: core.PromptHashes(start.Item.Parts), Exclude: avoided.EnginesFor(&start),
	}
	dispatch, err := s.servers.Acquire(query, now)
	if err != nil && start.MayStartAnew(s.servers.ServesSoftware(query.Kind, target, start.Software)) {
		anew := start.Anew()
		query.Version, query.ExactVersion, query.ExactSoftware = anew.OldestVersion, anew.ExactVersion, false
		if dispatch, err = s.servers.Acquire(query, now); err == nil {
			s.log.Info().Str("job", string(start.Work.Job)).Str("item", string(start.Item.ID)).Int("events", start.EventsReceived).
				Str("software", string(start.Software)).Dur("waited", start.Waited).Msg(logs.TextDiscarded)
			s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.DiscardText(start.Work) })
			start = anew
		}
	}
	if err != nil {
		return err
	}
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.RunPlaced(start.Work, dispatch.VM.ID, dispatch.VM.Software) })
	err = s.lanes.runs.Go(func(lane context.Context) {
		ctx, end := s.beginWork(lane, service, start.Work)
		result := s.executeRun(ctx, service, start, dispatch)
		end() // before the next work on the item begins
		s.pool.MustEnqueue(core.ClassRollout, func() { s.finishRun(service, start, dispatch, result) })
	})
	if err != nil {
		s.servers.Release(dispatch, routing.Result{Outcome: outlier.Abandoned}, now)
		return err
	}
	s.metrics.RunsStarted.Inc(1)
	return nil
}

// beginWork makes work on an item cancelable until the returned function is called. The
// context has ended already if the work is no longer wanted: its job may have been closed
// since the work was chosen.
func (s *Service) beginWork(lane context.Context, service string, work job.RunID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(lane)
	s.runs.Begin(work, cancel)
	if !s.jobs.IsCurrent(service, work) {
		cancel()
	}
	return ctx, func() {
		s.runs.End(work)
		cancel()
	}
}

// executeRun sends an item to a backend server and receives its events. It blocks
// and runs on a lane.
func (s *Service) executeRun(lane context.Context, service string, start job.RunStart, dispatch routing.Dispatch) runResult {
	ctx, cancel := context.WithTimeout(lane, runTimeout)
	defer cancel()
	request := core.EventsRequest{After: start.EventsReceived, RelayRequest: core.RelayRequest{
		ID: core.RequestID(start.Item.ID), Method: "POST", Host: start.Host, Target: start.Item.Path,
		Header: start.Item.Header, Body: core.NewBody(start.Item.Body), HasAccounts: s.hasAccounts(),
	}}
	if request.HasAccounts {
		request.Account = start.Account
	}
	began := s.ports.Clock.Now()
	request.LongestGap = s.engineSpeeds.LongestGap(service, dispatch.VM.ID, began)
	sink := &itemSink{maxEvents: start.Item.Tokens, after: start.EventsReceived, addEvent: func(event core.Event) bool { return s.jobs.AddEvent(service, start.Work, event) }}
	lastEvent := began
	sink.onEvent = func() {
		now := s.ports.Clock.Now()
		if sink.events > 1 {
			s.engineSpeeds.Observe(service, dispatch.VM.ID, now.Sub(lastEvent), now)
		}
		lastEvent = now
	}
	var opened time.Time // the connection
	sink.onHead = func(response core.RelayResponse) error {
		s.noteServer(dispatch.VM.ID, dispatch.Started, response.ServerNotice)
		opened = s.ports.Clock.Now().Add(-response.ConnectionAge)
		if start.EventsReceived > 0 && s.confirmSoftware(ctx, &dispatch.VM, response.ConnectionAge) != softwareConfirmed {
			return errOtherSoftware(&dispatch.VM)
		}
		return nil
	}
	response, err := s.ports.Backend.Events(ctx, dispatch.VM, request, sink)
	if response.Release != nil {
		response.Release() // only the status is used
	}
	s.noteServer(dispatch.VM.ID, dispatch.Started, response.ServerNotice)
	result := runResult{status: response.Status, err: err, events: sink.events, duration: s.ports.Clock.Now().Sub(began)}
	if errkind.Is(err, errkind.ServerFailed) {
		s.registry.RecordBroken(dispatch.VM.ID, s.ports.Clock.Now())
	}
	if err != nil && start.EventsReceived == 0 && sink.events > 0 {
		// The text goes on at servers of the software that it is taken to have.
		result.ofUnknownSoftware = s.confirmSoftware(lane, &dispatch.VM, s.ports.Clock.Now().Sub(opened)) != softwareConfirmed
	}
	return result
}

// maxTextBytes bounds one run's part of an item's text. A text is returned within one
// page of results, which has at most this size.
const maxTextBytes = 1 << 20

// itemSink receives the events of a run. It implements ports.EventSink.
type itemSink struct {
	addEvent  func(core.Event) bool // returns false to end the run
	onHead    func(core.RelayResponse) error
	onEvent   func()
	after     int // id of the last event of earlier runs
	maxEvents int // of the whole text, as each has a token at least; zero if unknown
	events    int // received
	bytes     int // of their data
}

// Head implements ports.EventSink.
func (k *itemSink) Head(response core.RelayResponse) error {
	return k.onHead(response)
}

// Event implements ports.EventSink.
func (k *itemSink) Event(event core.Event) error {
	k.events++
	k.bytes += len(event.Data)
	if k.maxEvents > 0 && k.after+k.events > k.maxEvents || k.bytes > maxTextBytes {
		return errkind.New(errkind.ServerFailed, "text exceeds its size: %d events after %d, %d bytes, for at most %d tokens", k.events, k.after, k.bytes, k.maxEvents)
	}
	k.onEvent()
	if !k.addEvent(event) {
		return errkind.New(errkind.Canceled, "event %d of weight version %d rejected: run has ended or version is not allowed", event.ID, event.Version)
	}
	return nil
}

// runResult is the result of a run at its backend server.
type runResult struct {
	status   int // of an unsuccessful response; zero otherwise
	err      error
	events   int
	duration time.Duration

	ofUnknownSoftware bool // it began a text, of other software than the server was chosen for or of an unknown one
}

// runOutcome classifies the result of a run.
func runOutcome(status int, err error) job.RunOutcome {
	switch {
	case errkind.Is(err, errkind.ServerRefused):
		return job.Refused
	case errkind.Is(err, errkind.BadRequest):
		return job.Impossible // no request can be made of the item
	case err != nil:
		return job.Interrupted
	case status == 422:
		return job.Impossible
	case status != 0:
		return job.Failed
	default:
		return job.Completed
	}
}

// finishRun records the result of a run and starts the work that is due now.
func (s *Service) finishRun(service string, start job.RunStart, dispatch routing.Dispatch, result runResult) {
	now := s.ports.Clock.Now()
	ending := runOutcome(result.status, result.err)
	outcome := outlier.Succeeded
	switch {
	case errkind.Is(result.err, errkind.Canceled) || ending == job.Refused || ending == job.Impossible:
		outcome = outlier.Abandoned
	case ending != job.Completed:
		outcome = outlier.Failed
	}
	s.servers.Release(dispatch, routing.Result{Outcome: outcome, Refused: ending == job.Refused, Tokens: start.Item.Tokens}, now)
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		if result.ofUnknownSoftware {
			scheduler.DiscardText(start.Work)
		}
		scheduler.RunEnded(start.Work, dispatch.VM.ID, ending, now)
	})
	line := s.log.Info()
	if ending == job.Completed {
		s.metrics.RunTime.Update(result.duration.Milliseconds())
	} else {
		s.metrics.RunsCut.Inc(1)
		line = s.log.Info().Err(result.err)
	}
	line.Str("job", string(start.Work.Job)).Str("item", string(start.Item.ID)).Str("server", string(dispatch.VM.ID)).
		Str("ending", ending.String()).Int("status", result.status).Int("after", start.EventsReceived).Int("events", result.events).
		Str("group", start.Item.Group).Int("hint", start.Item.Length).Dur("waited", start.Waited).Dur("took", result.duration).Msg(logs.RunEnded)
	s.startDueWork(service)
}

// scorePause is how long no output is sent to a scorer after all scorers were at their
// limits or had no slot.
const scorePause = 100 * time.Millisecond

// startScores sends completed outputs to their scorers.
func (s *Service) startScores(service string, now time.Time) {
	if now.UnixNano() < s.scoresPausedUntil.Load() {
		return
	}
	limit := min(scoresInFlight, max(minScoresInFlight, int(s.plainSlots.Load())/plainSlotsPerScore))
	free := limit - s.lanes.scores.State().Running
	for _, start := range s.jobs.NextScores(service, max(0, free), now, s.newScorerRoom(now).take) {
		err := s.lanes.scores.Go(func(lane context.Context) { s.scoreText(lane, service, start) })
		if err != nil {
			s.finishScore(service, start, core.RelayResponse{}, err)
		}
	}
}

// scoreText sends one output to its scorer as a separate request, which may be
// retried. It blocks and runs on a lane.
func (s *Service) scoreText(lane context.Context, service string, start job.ScoreStart) {
	ctx, end := s.beginWork(lane, service, start.Work)
	request := core.RelayRequest{
		ID: start.Call.ID, Method: "POST", Host: start.Call.Host, Target: start.Call.Path, Body: core.NewBody(start.Call.Body),
	}
	guard := newCrashGuard(&request)
	guard.isExempt = true
	response, err := s.forwardGuarded(ctx, request, core.ClassRollout, guard)
	if errkind.Is(err, errkind.Overloaded) || errkind.Is(err, errkind.DeadlineTooShort) {
		s.scoresPausedUntil.Store(s.ports.Clock.Now().Add(scorePause).UnixNano())
	}
	end() // before the next call for the item begins
	s.pool.MustEnqueue(core.ClassRollout, func() {
		s.finishScore(service, start, response, err)
		s.startDueWork(service)
	})
}

// finishScore records a scorer's response.
func (s *Service) finishScore(service string, start job.ScoreStart, response core.RelayResponse, err error) {
	signature := ""
	if err == nil && response.Status/100 == 2 {
		signature = response.Signature
	}
	attempts := 0
	if matched, routeErr := s.RouteOf(start.Call.Host, start.Call.Path); routeErr == nil {
		attempts = matched.Attempts
	}
	if signature == "" {
		s.metrics.ScoresMissed.Inc(1)
		s.log.Info().Err(err).Str("job", string(start.Work.Job)).Str("request", string(start.Call.ID)).
			Int("status", response.Status).Int("errors", response.Errors).Msg("text not scored")
	}
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		scheduler.ScoringEnded(start.Work, signature, response.Errors, attempts, s.ports.Clock.Now())
	})
}
