package app

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// limitShareTiming is the timing of moving shares of a deployment's limit
// between processes. A borrower contacts each lender every 15 s and stops using
// the share before the lender reclaims it.
var limitShareTiming = admission.ShareTiming{
	LoanTimeout: 30 * time.Second, PeerTimeout: 35 * time.Second, StartupDelay: 2 * time.Second,
}

// admittedRequest is a request that counts as in flight in its deployment's
// limits.
type admittedRequest struct {
	deployment core.DeploymentName
	class      core.Class
	startedAt  time.Time
}

// acquireLimit applies a deployment's limits to a request. It returns true when
// the request starts at once. Otherwise start runs in a step as soon as the
// waiting request may start or is refused. Errors: Overloaded,
// DeadlineTooShort.
func (s *Service) acquireLimit(deployment *core.Deployment, request admission.Request[tables.AdmissionCallback], start func(error)) (bool, error) {
	class := request.Class
	request.Payload = func(err error) { s.pool.MustEnqueue(class, func() { start(err) }) }
	now := s.ports.Clock.Now()
	started, err := s.limits.Admit(deployment, &request, now)
	if err != nil || started {
		return started, err
	}
	s.contactLimitPeers(now)
	wait := min(deployment.Limits.QueueTimeout, request.Deadline.Sub(now))
	s.timers.After(wait, class, func() { s.limits.Expire(deployment.Name, s.ports.Clock.Now()) })
	return false, nil
}

// releaseLimit ends a request that acquireLimit admitted.
func (s *Service) releaseLimit(admitted admittedRequest) {
	now := s.ports.Clock.Now()
	s.limits.Release(admitted.deployment, admitted.class, now.Sub(admitted.startedAt), now)
}

// admitCompletion applies the deployment's limits to a request whose answer
// exists. A refusal removes the answer again, since nothing was run.
func (s *Service) admitCompletion(c *completion) error {
	request := admission.Request[tables.AdmissionCallback]{
		Caller: c.request.Caller, Class: c.request.Class, Cost: estimatedTokens(&c.request), Deadline: c.request.Deadline,
	}
	started, err := s.acquireLimit(c.deployment, request, func(err error) { s.startAdmittedCompletion(c, err) })
	switch {
	case err != nil:
		s.answers.Remove(c.key)
		s.metrics.RequestsRefused.Inc(1)
		c.onEnd(err)
		return err
	case started:
		s.releaseLimitOnEnd(c)
		return s.startFirstAttempt(c)
	default:
		return nil
	}
}

// startAdmittedCompletion starts a request that waited for the limits.
func (s *Service) startAdmittedCompletion(c *completion, err error) {
	if err == nil {
		s.releaseLimitOnEnd(c)
		err = s.startAttempt(c)
	}
	if err != nil {
		s.failCompletion(c, err)
	}
}

func (s *Service) releaseLimitOnEnd(c *completion) {
	admitted := admittedRequest{deployment: c.deployment.Name, class: c.request.Class, startedAt: s.ports.Clock.Now()}
	previousOnEnd := c.onEnd
	c.onEnd = func(err error) {
		s.releaseLimit(admitted)
		previousOnEnd(err)
	}
}

// admitCall applies the deployment's limits to a call and starts it, at once or
// after it waited for them.
func (s *Service) admitCall(call *plainCall) {
	request := admission.Request[tables.AdmissionCallback]{
		Caller: call.request.Caller, Class: core.ClassInteractive, Cost: 1, Deadline: call.request.Deadline,
	}
	started, err := s.acquireLimit(call.deployment, request, func(err error) { s.startAdmittedCall(call, err) })
	if err != nil || started {
		s.startAdmittedCall(call, err)
	}
}

func (s *Service) startAdmittedCall(call *plainCall, err error) {
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		s.finishCall(call, core.PlainResponse{}, err)
		return
	}
	admitted := admittedRequest{deployment: call.deployment.Name, class: core.ClassInteractive, startedAt: s.ports.Clock.Now()}
	previousRespond := call.respond
	call.respond = func(response core.PlainResponse, err error) {
		s.releaseLimit(admitted)
		previousRespond(response, err)
	}
	s.startCall(call)
}

// retryRequest is a failed attempt that may be retried within its deployment's
// retry budget.
type retryRequest struct {
	deployment core.DeploymentName
	class      core.Class
	failed     retry.FailedAttempt
	deadline   time.Time
	cost       float64
	isWanted   func() bool // false once nothing waits for the outcome; nil for always
	retry      func()      // runs in a step when the attempt is to be retried
	giveUp     func()      // runs in a step otherwise
}

// retryLater decides whether a failed attempt is retried. While the budget is
// empty, the retry waits for its next delay, until the deadline leaves too
// little time or nothing waits for the outcome.
func (s *Service) retryLater(r retryRequest) {
	if r.isWanted != nil && !r.isWanted() {
		r.giveUp()
		return
	}
	r.failed.TimeLeft = r.deadline.Sub(s.ports.Clock.Now())
	r.failed.Overloaded = s.limits.Overloaded(r.deployment, r.class)
	decision := s.decideRetry(r.failed)
	if !decision.Retry {
		r.giveUp()
		return
	}
	s.timers.After(decision.Delay, r.class, func() {
		if !s.limits.ChargeRetry(r.deployment, r.class, r.cost, s.ports.Clock.Now()) {
			r.failed.EmptyBudgetWaits++
			s.retryLater(r)
			return
		}
		s.metrics.Retries.Inc(1)
		r.retry()
	})
}

func (s *Service) retryCompletion(c *completion, cause error) {
	s.retryLater(retryRequest{
		deployment: c.deployment.Name, class: c.request.Class, deadline: c.request.Deadline,
		failed:   retry.FailedAttempt{Number: c.attempts, Kind: errkind.Of(cause), Idempotent: true},
		cost:     retry.Cost(c.tokensAtStart, c.request.MaxTokens),
		isWanted: func() bool { return s.answers.InProgress(c.key) },
		retry:    func() { s.startRetry(c, cause) },
		giveUp:   func() { s.afterCrashPropagation(&c.guard, func() { s.failCompletion(c, cause) }) },
	})
}
