package relay

import (
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
)

const (
	startsAtOnce = 64               // runs that one step begins
	runTimeout   = 60 * time.Second // of one run of an item; a stalled stream ends sooner
)

// runItems begins the runs, scores and commits that are due.
func (s *Service) runItems(service string) {
	now := s.ports.Clock.Now()
	avoid := job.Avoided{Slow: s.paces.Slow(service, now), Loading: s.paces.Loads(now)}
	for _, start := range s.jobs.Next(service, startsAtOnce, now) {
		if err := s.placeItem(service, start, avoid, now); err != nil {
			s.jobs.With(service, func(b *job.Book) { b.Unplaced(start.Work, now) })
			if !errkind.Is(err, errkind.NoServer) {
				s.log.Debug().Err(err).Str("item", string(start.Item.ID)).Msg("item not placed")
			}
		}
	}
	s.scoreTexts(service, now)
	s.storeResults(service)
}

// moveSlow ends runs on slow engines, as many as have a slot at an engine that
// may run them. They go on where they were.
func (s *Service) moveSlow(service string) {
	now := s.ports.Clock.Now()
	slow := s.paces.Slow(service, now)
	if len(slow) == 0 {
		return
	}
	free := freeSlots(s.servers.EnginesOf(service), slow, s.paces.Loads(now))
	var moves []job.Work
	s.jobs.With(service, func(b *job.Book) { moves = b.Moves(slow, free.take) })
	if len(moves) > 0 {
		s.log.Info().Str("service", service).Int("runs", len(moves)).Any("slow", slow).Msg(logs.RunsMoved)
	}
	s.runs.Cancel(moves)
}

// slots are the free slots of engines.
type slots struct {
	engines []routing.View
	free    []int // of the engine at the same place
	loading map[core.ModelName][]core.ServerID
}

// freeSlots returns the free slots of the live engines that are not slow.
func freeSlots(engines []routing.View, slow []core.ServerID, loading map[core.ModelName][]core.ServerID) *slots {
	found := &slots{loading: loading}
	for _, view := range engines {
		if view.VM.State == core.VMLive && !view.Ejected && !slices.Contains(slow, view.VM.ID) {
			found.engines = append(found.engines, view)
			found.free = append(found.free, view.VM.Slots-view.Streams)
		}
	}
	return found
}

// take takes a slot at an engine that holds a model's weights of a version or
// newer ones. It returns false when there is none.
func (f *slots) take(model core.ModelName, oldest core.WeightVersion) bool {
	for i := range f.engines {
		held, holds := f.engines[i].Status.Holds(core.AdapterName(model))
		if holds && held.Version >= oldest && f.free[i] > 0 && !slices.Contains(f.loading[model], f.engines[i].VM.ID) {
			f.free[i]--
			return true
		}
	}
	return false
}

// placeItem routes one run and begins it.
func (s *Service) placeItem(service string, start job.Start, avoid job.Avoided, now time.Time) error {
	target, err := s.itemService(&start)
	if err != nil {
		return err
	}
	query := routing.Query{
		Kind: s.kindOf(target), Service: target, Adapter: core.AdapterName(start.Model),
		Version: start.Oldest, Exact: start.Exact, InSlot: true,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Class: core.ClassRollout,
		Tokens: start.Item.Tokens, Prefix: partHashes(start.Item.Parts), Exclude: avoid.For(&start),
	}
	begun, err := s.servers.Acquire(query, now)
	if err != nil {
		return err
	}
	s.jobs.With(service, func(b *job.Book) { b.Placed(start.Work, begun.VM.ID) })
	err = s.lanes.runs.Go(func(lane context.Context) {
		ctx, cancel := context.WithTimeout(lane, runTimeout)
		defer cancel()
		s.runs.Begin(start.Work, cancel)
		defer s.runs.End(start.Work)
		s.run(ctx, service, start, begun)
	})
	if err != nil {
		s.servers.Release(begun, routing.Result{Outcome: outlier.Abandoned}, now)
		return err
	}
	s.metrics.RunsStarted.Inc(1)
	return nil
}

// run sends an item to a backend server and takes its events. It blocks on a lane.
func (s *Service) run(ctx context.Context, service string, start job.Start, begun routing.Dispatch) {
	request := core.EventsRequest{After: start.After, RelayRequest: core.RelayRequest{
		ID: core.RequestID(start.Item.ID), Method: "POST", Host: start.Host, Target: start.Item.Path,
		Header: start.Item.Header, Body: start.Item.Body,
	}}
	began := s.ports.Clock.Now()
	sink := &itemSink{add: func(event core.Event) bool { return s.jobs.Add(service, start.Work, event) }}
	last := began
	sink.seen = func() {
		now := s.ports.Clock.Now()
		if sink.events > 1 {
			s.paces.Observe(service, begun.VM.ID, now.Sub(last), now)
		}
		last = now
	}
	response, err := s.ports.Backend.Events(ctx, begun.VM, request, sink)
	ended := runEnd{status: response.Status, err: err, events: sink.events, took: s.ports.Clock.Now().Sub(began)}
	s.pool.MustEnqueue(core.ClassRollout, func() { s.runEnded(service, start, begun, ended) })
}

// itemSink takes an item's events.
type itemSink struct {
	add    func(core.Event) bool
	seen   func()
	events int
}

// Head implements ports.EventSink.
func (*itemSink) Head(core.RelayResponse) error { return nil }

// Event implements ports.EventSink.
func (k *itemSink) Event(event core.Event) error {
	k.events++
	k.seen()
	if !k.add(event) {
		return errkind.New(errkind.Canceled, "event %d is not wanted", event.ID)
	}
	return nil
}

// runEnd is how a run ended at its backend server.
type runEnd struct {
	status int // of a response that is no success, else zero
	err    error
	events int
	took   time.Duration
}

// endingOf says how a run ended.
func endingOf(status int, err error) job.Ending {
	switch {
	case errkind.Is(err, errkind.ServerRefused):
		return job.Refused
	case err != nil:
		return job.Cut
	case status == 422:
		return job.Impossible
	case status != 0:
		return job.Failed
	default:
		return job.Whole
	}
}

func (s *Service) runEnded(service string, start job.Start, begun routing.Dispatch, ended runEnd) {
	now := s.ports.Clock.Now()
	ending := endingOf(ended.status, ended.err)
	outcome := outlier.Succeeded
	switch {
	case errkind.Is(ended.err, errkind.Canceled) || ending == job.Refused || ending == job.Impossible:
		outcome = outlier.Abandoned
	case ending != job.Whole:
		outcome = outlier.Failed
	}
	s.servers.Release(begun, routing.Result{Outcome: outcome, Refused: ending == job.Refused, Tokens: start.Item.Tokens}, now)
	s.jobs.With(service, func(b *job.Book) { b.Ended(start.Work, begun.VM.ID, ending, now) })
	line := s.log.Info()
	if ending == job.Whole {
		s.metrics.RunTime.Update(ended.took.Milliseconds())
	} else {
		s.metrics.RunsCut.Inc(1)
		line = s.log.Info().Err(ended.err)
	}
	line.Str("job", string(start.Work.Job)).Str("item", string(start.Item.ID)).Str("server", string(begun.VM.ID)).
		Str("ending", ending.String()).Int("status", ended.status).Int("after", start.After).Int("events", ended.events).
		Str("group", start.Item.Group).Int("hint", start.Item.Length).Dur("waited", start.Waited).Dur("took", ended.took).Msg(logs.RunEnded)
	s.runItems(service)
}

// partTokens is the tokens of prompt that one hash stands for, as in
// core.PrefixHashes.
const partTokens = 16

// partHashes returns a hash for each block of the prompt's parts, so that equal
// hashes mean the same parts up to there.
func partHashes(parts []core.PromptPart) []uint64 {
	var hashes []uint64
	chain := fnv.New64a()
	for _, part := range parts {
		_, _ = chain.Write([]byte(part.ID))
		for block := range part.Tokens / partTokens {
			_, _ = chain.Write([]byte(strconv.Itoa(block)))
			hashes = append(hashes, chain.Sum64())
		}
	}
	return hashes
}

// scoreTexts sends whole texts to their scorers.
func (s *Service) scoreTexts(service string, now time.Time) {
	most := min(scoresAtOnce, max(fewestScores, int(s.plain.Load())/scoresShare))
	free := most - s.lanes.scores.State().Running
	for _, start := range s.jobs.NextScores(service, max(0, free), now) {
		err := s.lanes.scores.Go(func(lane context.Context) { s.score(lane, service, start) })
		if err != nil {
			s.scoreEnded(service, start, core.RelayResponse{}, err)
		}
	}
}

// score sends one text to its scorer, as a request of its own that any
// attempts may repeat. It blocks on a lane.
func (s *Service) score(lane context.Context, service string, start job.ScoreStart) {
	response, err := s.Forward(lane, core.RelayRequest{
		ID: start.Call.ID, Method: "POST", Host: start.Call.Host, Target: start.Call.Path, Body: start.Call.Body,
	})
	s.pool.MustEnqueue(core.ClassRollout, func() {
		s.scoreEnded(service, start, response, err)
		s.runItems(service)
	})
}

func (s *Service) scoreEnded(service string, start job.ScoreStart, response core.RelayResponse, err error) {
	signature := ""
	if err == nil && response.Status/100 == 2 {
		signature = response.Signature
	}
	attempts := 0
	if taken, routeErr := s.RouteOf(start.Call.Host, start.Call.Path); routeErr == nil {
		attempts = taken.Attempts
	}
	if signature == "" {
		s.metrics.ScoresMissed.Inc(1)
		s.log.Info().Err(err).Str("job", string(start.Work.Job)).Str("request", string(start.Call.ID)).
			Int("status", response.Status).Msg("text not scored")
	}
	failed := err == nil && response.Status == 500
	s.jobs.With(service, func(b *job.Book) {
		b.Scored(start.Work, signature, failed, attempts, s.ports.Clock.Now())
	})
}
