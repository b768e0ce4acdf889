package app

import (
	"context"
	"hash/fnv"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// plainCall is a call of a plain service on its way through the workers.
type plainCall struct {
	request    core.PlainRequest
	deployment *core.Deployment
	once       bool // may run at most once
	attempt    int
	exclude    []core.ServerID
	ran        bool // an attempt may have run
	guard      guard
	answer     func(core.PlainResponse, error) // called once, in a step

	claimKey     core.RowKey // set with once
	claimVersion core.RowVersion
	claimRecord  core.ClaimRecord
}

type plainResult struct {
	response core.PlainResponse
	err      error
}

// Call passes a call to a plain service and waits for its answer. A call that
// may run at most once is claimed durably before it is sent.
func (s *Service) Call(ctx context.Context, request core.PlainRequest) (core.PlainResponse, error) {
	result := make(chan plainResult, 1)
	finish := func(response core.PlainResponse, err error) { result <- plainResult{response, err} }
	if err := s.pool.Enqueue(core.ClassPeople, func() { s.admitCall(request, finish) }); err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return core.PlainResponse{}, err
	}
	select {
	case r := <-result:
		return r.response, r.err
	case <-ctx.Done():
		return core.PlainResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "caller left")
	}
}

func (s *Service) admitCall(request core.PlainRequest, finish func(core.PlainResponse, error)) {
	call, err := s.newCall(request, finish)
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		finish(core.PlainResponse{}, err)
		return
	}
	s.metrics.RequestsAccepted.Inc(1)
	s.enterCall(call)
}

// startCall claims a call that may run at most once, and dispatches any other.
func (s *Service) startCall(call *plainCall) {
	if call.once {
		s.claimCall(call, core.Row{Key: call.claimKey})
		return
	}
	s.runCall(call)
}

func (s *Service) newCall(request core.PlainRequest, finish func(core.PlainResponse, error)) (*plainCall, error) {
	deployment, err := s.permitted(request.Deployment, request.Caller, core.KindPlain)
	if err != nil {
		return nil, err
	}
	call := &plainCall{request: request, deployment: deployment, once: runsOnce(deployment, &request)}
	if call.once && request.Key == "" {
		return nil, errkind.New(errkind.KeyRequired, "%s %s may not run twice and needs an Idempotency-Key", request.Method, request.Path)
	}
	if !s.lifecycle.Enter() {
		return nil, errkind.New(errkind.ShuttingDown, "this entry process takes no new requests")
	}
	call.request.Deadline = s.ports.Clock.Now().Add(deployment.Limits.RequestTimeout)
	call.claimKey = claim.Key(request.Caller, request.Deployment, request.Key)
	call.answer = finish
	return call, nil
}

// endCall answers a call that needs no record.
func (s *Service) endCall(call *plainCall, response core.PlainResponse, err error) {
	s.lifecycle.Exit()
	call.answer(response, err)
}

// runsOnce reports whether a call may run at most once. A caller may ask for
// it with a key for calls that the deployment does not list.
func runsOnce(deployment *core.Deployment, request *core.PlainRequest) bool {
	if request.Key != "" {
		return true
	}
	for _, pattern := range deployment.Once {
		if pattern.Method == request.Method && strings.HasPrefix(request.Path, pattern.PathPrefix) {
			return true
		}
	}
	return false
}

// claimCall decides from the claim's row; the first time the row is assumed to
// be absent, which saves a read.
func (s *Service) claimCall(call *plainCall, row core.Row) {
	request := claim.Request{Key: call.claimKey, Fingerprint: fingerprint(&call.request), TakenAt: time.Now()}
	self := claim.Owner{VM: s.options.Self.VM, Incarnation: s.options.Self.Incarnation}
	decision := claim.Plan(row, request, self, s.newAttemptID())
	switch decision.Kind {
	case claim.Insert:
		s.enqueueCommit(decision.Commit, func(outcome tables.CommitOutcome) { s.claimEnded(call, decision.Commit, outcome) })
	case claim.Replay:
		s.metrics.ClaimsReplayed.Inc(1)
		s.endCall(call, *decision.Response, nil)
	case claim.InProgress:
		s.awaitOutcome(call, decision.Owner)
	default:
		s.metrics.ClaimsUnresolved.Inc(1)
		s.endCall(call, core.PlainResponse{}, decision.Err())
	}
}

func (s *Service) claimEnded(call *plainCall, insert core.Commit, outcome tables.CommitOutcome) {
	switch {
	case errkind.Is(outcome.Err, errkind.OutcomeUnknown):
		// Nothing was sent and nothing will be: the claim, if it was taken,
		// stays unresolved and refuses every repeat.
		s.metrics.ClaimsUnresolved.Inc(1)
		s.endCall(call, core.PlainResponse{}, errkind.Wrap(errkind.ClaimUnsettled, outcome.Err, "the claim could not be settled; the request was not sent"))
	case outcome.Err != nil:
		s.endCall(call, core.PlainResponse{}, outcome.Err)
	case !outcome.Applied:
		s.readClaim(call)
	default:
		s.metrics.ClaimsTaken.Inc(1)
		_, call.claimRecord = claim.Taken(insert)
		call.claimVersion = outcome.Version
		s.runCall(call)
	}
}

// readClaim reads the claim's row and decides again.
func (s *Service) readClaim(call *plainCall) {
	err := s.lanes.table.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		rows, err := s.read(ctx, call.claimKey)
		s.pool.MustEnqueue(core.ClassPeople, func() {
			if err != nil {
				s.endCall(call, core.PlainResponse{}, err)
				return
			}
			s.claimCall(call, rows[0])
		})
	})
	if err != nil {
		s.endCall(call, core.PlainResponse{}, err)
	}
}

// outcomePollDelay separates the reads of a claim whose owner is at work.
const outcomePollDelay = 250 * time.Millisecond

// awaitOutcome waits for the owner of a claim to record its outcome.
func (s *Service) awaitOutcome(call *plainCall, owner claim.Owner) {
	left := call.request.Deadline.Sub(s.ports.Clock.Now())
	if left <= outcomePollDelay || !s.ownerMayRecord(owner) {
		s.metrics.ClaimsUnresolved.Inc(1)
		s.endCall(call, core.PlainResponse{}, errkind.New(errkind.MayHaveRun, "entry VM %s sent the request and recorded no outcome", owner.VM))
		return
	}
	s.timers.After(outcomePollDelay, core.ClassPeople, func() { s.readClaim(call) })
}

// ownerMayRecord reports whether a claim's owner may be at work; one that is not
// known here yet may be. When it is not, the answer that the request may have
// run is true either way.
func (s *Service) ownerMayRecord(owner claim.Owner) bool {
	if owner.VM == s.options.Self.VM {
		return owner.Incarnation == s.options.Self.Incarnation
	}
	member, ok := s.members.Member(owner.VM)
	serves := member.State == core.MemberAlive || member.State == core.MemberLeaving
	return !ok || serves && member.Incarnation == owner.Incarnation
}

// fingerprint tells requests under the same key apart.
func fingerprint(request *core.PlainRequest) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{request.Method, request.Path, string(request.Body)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// runCall sends the call's next attempt, unless it is held as a suspect.
func (s *Service) runCall(call *plainCall) {
	if call.guard.dispatch == nil {
		r := &call.request
		call.guard = guard{
			fingerprint: crashFingerprint(r.Deployment, r.Method, r.Path, string(r.Body)),
			service:     call.deployment.Service, class: core.ClassPeople, deadline: r.Deadline,
			dispatch: func() error { return s.dispatchCall(call) },
			fail:     func(err error) { s.callUnrun(call, err) },
			sent:     func() bool { return call.attempt > 0 && !call.once },
			resumes:  func() bool { return false },
		}
	}
	if err := s.startGuarded(&call.guard); err != nil {
		s.callUnrun(call, err)
	}
}

// dispatchCall routes the call and sends it once. Errors: NoServer, Overloaded;
// nothing was sent then.
func (s *Service) dispatchCall(call *plainCall) error {
	begun, err := s.acquireGuarded(&call.guard, routing.Query{
		Kind: core.KindPlain, Service: call.deployment.Service, Class: core.ClassPeople, Tokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Exclude: call.exclude,
		Bytes: len(call.request.Body),
	})
	if err != nil {
		return err
	}
	call.attempt++
	s.metrics.Attempts.Inc(1)
	err = s.lanes.calls.Go(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, call.request.Deadline)
		defer cancel()
		response, err := s.ports.Plain.Call(ctx, begun.VM, call.request)
		s.pool.MustEnqueue(core.ClassPeople, func() {
			s.release(begun, 0, call.guard.blame(err))
			if errkind.Is(err, errkind.ServerRefused) {
				s.askPlain(begun.VM)
			}
			s.judgeAttempt(&call.guard, begun.VM, err, func() { s.callEnded(call, begun.VM.ID, response, err) })
		})
	})
	if err != nil {
		s.release(begun, 0, err)
	}
	return err
}

func (s *Service) callEnded(call *plainCall, server core.ServerID, response core.PlainResponse, err error) {
	if err == nil {
		s.recordOutcome(call, response)
		return
	}
	call.ran = call.ran || mayHaveRun(err)
	s.repeatLater(repeat{
		deployment: call.deployment.Name, class: core.ClassPeople, deadline: call.request.Deadline, cost: 1,
		failed: retry.Attempt{
			Number: call.attempt, Kind: errkind.Of(err), Idempotent: !call.once && isSafe(call.request.Method),
		},
		again: func() {
			call.exclude = append(call.exclude, server)
			s.runCall(call)
		},
		giveUp: func() { s.afterNews(&call.guard, func() { s.callFailed(call, err) }) },
	})
}

// callFailed ends a call that is not repeated.
func (s *Service) callFailed(call *plainCall, err error) {
	if errkind.Is(err, errkind.ServerRefused) {
		s.callUnrun(call, err)
		return
	}
	s.metrics.RequestsFailed.Inc(1)
	if call.once {
		err = errkind.Wrap(errkind.MayHaveRun, err, "the request was sent and its outcome is not known")
	}
	s.endCall(call, core.PlainResponse{}, err)
}

func isSafe(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// callUnrun ends a call whose last attempt surely did not run. A call that may
// run once had no other, and its claim is released, so that a repeat may run.
func (s *Service) callUnrun(call *plainCall, cause error) {
	s.metrics.RequestsFailed.Inc(1)
	cause = truthful(cause, call.ran)
	if call.claimVersion == 0 {
		s.endCall(call, core.PlainResponse{}, cause)
		return
	}
	release := claim.ReleaseUnrun(call.claimKey, call.claimVersion, call.claimRecord, s.newAttemptID())
	s.enqueueCommit(release, func(tables.CommitOutcome) { s.endCall(call, core.PlainResponse{}, cause) })
}

// recordOutcome gives the answer to the caller and then records it for repeats.
// Until it is recorded a repeat waits, and learns in the end that the request
// may have run. A graceful shutdown waits for the record.
func (s *Service) recordOutcome(call *plainCall, response core.PlainResponse) {
	call.answer(response, nil)
	if call.claimVersion == 0 {
		s.lifecycle.Exit()
		return
	}
	s.tryRecord(call, response, s.ports.Clock.Now().Add(recordTimeout))
}

const (
	recordTimeout    = 2 * time.Minute
	recordRetryDelay = 2 * time.Second
)

func (s *Service) tryRecord(call *plainCall, response core.PlainResponse, until time.Time) {
	record := claim.RecordOutcome(call.claimKey, call.claimVersion, call.claimRecord, response, s.newAttemptID())
	s.enqueueCommit(record, func(outcome tables.CommitOutcome) {
		if outcome.Err != nil && s.ports.Clock.Now().Before(until) {
			s.timers.After(recordRetryDelay, core.ClassControl, func() { s.tryRecord(call, response, until) })
			return
		}
		s.lifecycle.Exit()
	})
}
