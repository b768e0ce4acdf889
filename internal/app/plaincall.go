package app

import (
	"context"
	"hash/fnv"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// plainCall is a call of a plain service that is being processed.
type plainCall struct {
	request         core.PlainRequest
	deployment      *core.Deployment
	atMostOnce      bool // may run at most once
	attempts        int
	excludedServers []core.ServerID
	mayHaveRun      bool // an attempt may have run
	guard           crashGuard
	respond         func(core.PlainResponse, error) // called once, in a step

	claimKey     core.RowKey // set if atMostOnce
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
	respond := func(response core.PlainResponse, err error) { result <- plainResult{response, err} }
	if err := s.pool.Enqueue(core.ClassInteractive, func() { s.acceptCall(request, respond) }); err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return core.PlainResponse{}, err
	}
	select {
	case r := <-result:
		return r.response, r.err
	case <-ctx.Done():
		return core.PlainResponse{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "caller stopped waiting for the answer")
	}
}

func (s *Service) acceptCall(request core.PlainRequest, respond func(core.PlainResponse, error)) {
	call, err := s.newCall(request, respond)
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		respond(core.PlainResponse{}, err)
		return
	}
	s.metrics.RequestsAccepted.Inc(1)
	s.admitCall(call)
}

// startCall claims a call that may run at most once, and sends any other call.
func (s *Service) startCall(call *plainCall) {
	if call.atMostOnce {
		s.claimCall(call, core.Row{Key: call.claimKey})
		return
	}
	s.startCallAttempt(call)
}

func (s *Service) newCall(request core.PlainRequest, respond func(core.PlainResponse, error)) (*plainCall, error) {
	deployment, err := s.findPermittedDeployment(request.Deployment, request.Caller, core.KindPlain)
	if err != nil {
		return nil, err
	}
	call := &plainCall{request: request, deployment: deployment, atMostOnce: runsAtMostOnce(deployment, &request)}
	if call.atMostOnce && request.Key == "" {
		return nil, errkind.New(errkind.KeyRequired, "%s %s must run at most once and needs an Idempotency-Key", request.Method, request.Path)
	}
	if !s.lifecycle.BeginRequest() {
		return nil, errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests")
	}
	call.request.Deadline = s.ports.Clock.Now().Add(deployment.Limits.RequestTimeout)
	call.claimKey = claim.Key(request.Caller, request.Deployment, request.Key)
	call.respond = respond
	return call, nil
}

// finishCall answers a call that has no outcome to record.
func (s *Service) finishCall(call *plainCall, response core.PlainResponse, err error) {
	s.lifecycle.EndRequest()
	call.respond(response, err)
}

// runsAtMostOnce reports whether a call may run at most once. An idempotency
// key requests this for calls that the deployment does not list.
func runsAtMostOnce(deployment *core.Deployment, request *core.PlainRequest) bool {
	if request.Key != "" {
		return true
	}
	for _, pattern := range deployment.NonIdempotent {
		if pattern.Method == request.Method && strings.HasPrefix(request.Path, pattern.PathPrefix) {
			return true
		}
	}
	return false
}

// claimCall acts on the state of the claim's row. For the first try the row is
// assumed to be absent, which saves a read.
func (s *Service) claimCall(call *plainCall, row core.Row) {
	request := claim.Request{Key: call.claimKey, Fingerprint: claimFingerprint(&call.request), TakenAt: time.Now()}
	self := claim.Owner{VM: s.options.Self.VM, Incarnation: s.options.Self.Incarnation}
	decision := claim.Plan(row, request, self, s.newAttemptID())
	switch decision.Kind {
	case claim.Insert:
		s.enqueueCommit(decision.Commit, func(outcome tables.CommitOutcome) { s.handleClaimResult(call, decision.Commit, outcome) })
	case claim.Replay:
		s.metrics.ClaimsReplayed.Inc(1)
		s.finishCall(call, *decision.Response, nil)
	case claim.InProgress:
		s.awaitOutcome(call, decision.Owner)
	default:
		s.metrics.ClaimsUnresolved.Inc(1)
		s.finishCall(call, core.PlainResponse{}, decision.Err())
	}
}

func (s *Service) handleClaimResult(call *plainCall, insert core.Commit, outcome tables.CommitOutcome) {
	switch {
	case errkind.Is(outcome.Err, errkind.OutcomeUnknown):
		// The call is not sent. If the claim was written, it stays unresolved and
		// every repeat is refused.
		s.metrics.ClaimsUnresolved.Inc(1)
		s.finishCall(call, core.PlainResponse{}, errkind.Wrap(errkind.ClaimUnsettled, outcome.Err, "the request was not sent: the outcome of its claim is unknown"))
	case outcome.Err != nil:
		s.finishCall(call, core.PlainResponse{}, outcome.Err)
	case !outcome.Applied:
		s.readClaim(call)
	default:
		s.metrics.ClaimsTaken.Inc(1)
		_, call.claimRecord = claim.InsertedRecord(insert)
		call.claimVersion = outcome.Version
		s.startCallAttempt(call)
	}
}

// readClaim reads the claim's row and calls claimCall with it.
func (s *Service) readClaim(call *plainCall) {
	err := s.lanes.table.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		rows, err := s.readRows(ctx, call.claimKey)
		s.pool.MustEnqueue(core.ClassInteractive, func() {
			if err != nil {
				s.finishCall(call, core.PlainResponse{}, err)
				return
			}
			s.claimCall(call, rows[0])
		})
	})
	if err != nil {
		s.finishCall(call, core.PlainResponse{}, err)
	}
}

// outcomePollDelay is the interval of reading a claim whose owner has not yet
// recorded an outcome.
const outcomePollDelay = 250 * time.Millisecond

// awaitOutcome waits for the owner of a claim to record its outcome.
func (s *Service) awaitOutcome(call *plainCall, owner claim.Owner) {
	remaining := call.request.Deadline.Sub(s.ports.Clock.Now())
	if remaining <= outcomePollDelay || !s.ownerMayRecord(owner) {
		s.metrics.ClaimsUnresolved.Inc(1)
		s.finishCall(call, core.PlainResponse{}, errkind.New(errkind.MayHaveRun, "entry VM %s may have sent the request and recorded no outcome", owner.VM))
		return
	}
	s.timers.After(outcomePollDelay, core.ClassInteractive, func() { s.readClaim(call) })
}

// ownerMayRecord reports whether a claim's owner may still record an outcome.
// An owner that is not yet known in this process may. A wrong "no" is harmless:
// the caller is told that the request may have run, which is true either way.
func (s *Service) ownerMayRecord(owner claim.Owner) bool {
	if owner.VM == s.options.Self.VM {
		return owner.Incarnation == s.options.Self.Incarnation
	}
	member, ok := s.members.Member(owner.VM)
	serves := member.State == core.MemberAlive || member.State == core.MemberLeaving
	return !ok || serves && member.Incarnation == owner.Incarnation
}

// claimFingerprint distinguishes requests under the same idempotency key.
func claimFingerprint(request *core.PlainRequest) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{request.Method, request.Path, string(request.Body)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// startCallAttempt sends the call's next attempt, unless the call is held on
// suspicion of crashing servers.
func (s *Service) startCallAttempt(call *plainCall) {
	if call.guard.dispatch == nil {
		r := &call.request
		call.guard = crashGuard{
			fingerprint: crash.Fingerprint(core.NewBody(r.Body), string(r.Deployment), r.Method, r.Path),
			service:     call.deployment.Service, class: core.ClassInteractive, deadline: r.Deadline,
			dispatch:        func() error { return s.dispatchCall(call) },
			fail:            func(err error) { s.failCallNotRun(call, err) },
			wasSent:         func() bool { return call.attempts > 0 && !call.atMostOnce },
			continuesAnswer: func() bool { return false },
		}
	}
	if err := s.startGuardedAttempt(&call.guard); err != nil {
		s.failCallNotRun(call, err)
	}
}

// dispatchCall picks a server and sends the call once. On an error nothing was
// sent. Errors: NoServer, Overloaded.
func (s *Service) dispatchCall(call *plainCall) error {
	dispatch, err := s.acquireForAttempt(&call.guard, routing.Query{
		Kind: core.KindPlain, Service: call.deployment.Service, Class: core.ClassInteractive, ExpectedTokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region, Exclude: call.excludedServers,
		ExpectedBytes: len(call.request.Body),
	})
	if err != nil {
		return err
	}
	call.attempts++
	s.metrics.Attempts.Inc(1)
	err = s.lanes.plainCalls.Go(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, call.request.Deadline)
		defer cancel()
		response, err := s.ports.Plain.Call(ctx, dispatch.VM, call.request)
		s.pool.MustEnqueue(core.ClassInteractive, func() {
			s.releaseServer(dispatch, 0, call.guard.routingError(err))
			if errkind.Is(err, errkind.ServerRefused) {
				s.checkPlainServer(dispatch.VM)
			}
			s.recordAttemptEnd(&call.guard, dispatch.VM, err, func() { s.handleCallResult(call, dispatch.VM.ID, response, err) })
		})
	})
	if err != nil {
		s.releaseServer(dispatch, 0, err)
	}
	return err
}

func (s *Service) handleCallResult(call *plainCall, server core.ServerID, response core.PlainResponse, err error) {
	if err == nil {
		s.recordOutcome(call, response)
		return
	}
	call.mayHaveRun = call.mayHaveRun || mayHaveRun(err)
	s.retryLater(retryRequest{
		deployment: call.deployment.Name, class: core.ClassInteractive, deadline: call.request.Deadline, cost: 1,
		failed: retry.FailedAttempt{
			Number: call.attempts, Kind: errkind.Of(err), Idempotent: !call.atMostOnce && isSafeMethod(call.request.Method),
		},
		retry: func() {
			call.excludedServers = append(call.excludedServers, server)
			s.startCallAttempt(call)
		},
		giveUp: func() { s.afterCrashPropagation(&call.guard, func() { s.failCall(call, err) }) },
	})
}

// failCall ends a call that is not retried.
func (s *Service) failCall(call *plainCall, err error) {
	if errkind.Is(err, errkind.ServerRefused) {
		s.failCallNotRun(call, err)
		return
	}
	s.metrics.RequestsFailed.Inc(1)
	if call.atMostOnce {
		err = errkind.Wrap(errkind.MayHaveRun, err, "the request was sent and its outcome is unknown")
	}
	s.finishCall(call, core.PlainResponse{}, err)
}

func isSafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// failCallNotRun ends a call whose last attempt did not run. A call that may
// run at most once had no other attempt, so its claim is released and a repeat
// may run.
func (s *Service) failCallNotRun(call *plainCall, cause error) {
	s.metrics.RequestsFailed.Inc(1)
	cause = finalError(cause, call.mayHaveRun)
	if call.claimVersion == 0 {
		s.finishCall(call, core.PlainResponse{}, cause)
		return
	}
	release := claim.ReleaseNotRun(call.claimKey, call.claimVersion, call.claimRecord, s.newAttemptID())
	s.enqueueCommit(release, func(tables.CommitOutcome) { s.finishCall(call, core.PlainResponse{}, cause) })
}

// recordOutcome answers the caller and then records the answer for repeats.
// Until then a repeat waits; if the outcome is never recorded, the repeat is
// told that the request may have run. A graceful shutdown waits for the record.
func (s *Service) recordOutcome(call *plainCall, response core.PlainResponse) {
	call.respond(response, nil)
	if call.claimVersion == 0 {
		s.lifecycle.EndRequest()
		return
	}
	s.commitOutcome(call, response, s.ports.Clock.Now().Add(recordTimeout))
}

const (
	recordTimeout    = 2 * time.Minute
	recordRetryDelay = 2 * time.Second
)

func (s *Service) commitOutcome(call *plainCall, response core.PlainResponse, deadline time.Time) {
	record := claim.RecordOutcome(call.claimKey, call.claimVersion, call.claimRecord, response, s.newAttemptID())
	s.enqueueCommit(record, func(outcome tables.CommitOutcome) {
		if outcome.Err != nil && s.ports.Clock.Now().Before(deadline) {
			s.timers.After(recordRetryDelay, core.ClassControl, func() { s.commitOutcome(call, response, deadline) })
			return
		}
		s.lifecycle.EndRequest()
	})
}
