package app

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// shareTiming says when parts of a deployment's limit pass between processes.
// A borrower asks every lender each 15 s, and stops before its lender takes
// back.
var shareTiming = admission.ShareTiming{
	Borrowed: 30 * time.Second, Gone: 35 * time.Second, Settle: 2 * time.Second,
}

// admitted is a request that a deployment's limits count as in flight.
type admitted struct {
	name  core.DeploymentName
	class core.Class
	begun time.Time
}

// enter asks a deployment's limits for a request. Start is called in a step
// when a waiting request may start or is refused; true means that the request
// starts at once and start is not called. Errors: Overloaded, DeadlineTooShort.
func (s *Service) enter(deployment *core.Deployment, request admission.Request[tables.Ready], start func(error)) (bool, error) {
	class := request.Class
	request.Payload = func(err error) { s.pool.MustEnqueue(class, func() { start(err) }) }
	now := s.ports.Clock.Now()
	started, err := s.limits.Admit(deployment, &request, now)
	if err != nil || started {
		return started, err
	}
	s.askLimits(now)
	wait := min(deployment.Limits.QueueTimeout, request.Deadline.Sub(now))
	s.timers.After(wait, class, func() { s.limits.Expire(deployment.Name, s.ports.Clock.Now()) })
	return false, nil
}

// leave ends what enter began.
func (s *Service) leave(a admitted) {
	now := s.ports.Clock.Now()
	s.limits.Release(a.name, a.class, now.Sub(a.begun), now)
}

// enterCompletion admits a request whose answer was begun. A refusal drops the
// answer again, since nothing was run.
func (s *Service) enterCompletion(c *completion) error {
	request := admission.Request[tables.Ready]{
		Caller: c.request.Caller, Class: c.request.Class, Cost: expectedTokens(&c.request), Deadline: c.request.Deadline,
	}
	started, err := s.enter(c.deployment, request, func(err error) { s.completionEntered(c, err) })
	switch {
	case err != nil:
		s.answers.Forget(c.key)
		s.metrics.RequestsRefused.Inc(1)
		c.ended(err)
		return err
	case started:
		s.leaveWhenEnded(c)
		return s.startFirst(c)
	default:
		return nil
	}
}

// completionEntered starts a request that had to wait.
func (s *Service) completionEntered(c *completion, err error) {
	if err == nil {
		s.leaveWhenEnded(c)
		err = s.startAttempt(c)
	}
	if err != nil {
		s.fail(c, err)
	}
}

func (s *Service) leaveWhenEnded(c *completion) {
	a := admitted{name: c.deployment.Name, class: c.request.Class, begun: s.ports.Clock.Now()}
	ended := c.ended
	c.ended = func(err error) {
		s.leave(a)
		ended(err)
	}
}

// enterCall admits a call and dispatches it, at once or when its turn comes.
func (s *Service) enterCall(call *plainCall) {
	request := admission.Request[tables.Ready]{
		Caller: call.request.Caller, Class: core.ClassPeople, Cost: 1, Deadline: call.request.Deadline,
	}
	started, err := s.enter(call.deployment, request, func(err error) { s.callEntered(call, err) })
	if err != nil || started {
		s.callEntered(call, err)
	}
}

func (s *Service) callEntered(call *plainCall, err error) {
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		s.endCall(call, core.PlainResponse{}, err)
		return
	}
	a := admitted{name: call.deployment.Name, class: core.ClassPeople, begun: s.ports.Clock.Now()}
	answer := call.answer
	call.answer = func(response core.PlainResponse, err error) {
		s.leave(a)
		answer(response, err)
	}
	s.startCall(call)
}

// repeat is a failed attempt that may be repeated within its deployment's budget.
type repeat struct {
	deployment core.DeploymentName
	class      core.Class
	failed     retry.Attempt
	deadline   time.Time
	cost       float64
	wanted     func() bool // false once nobody waits for the outcome; nil for always
	again      func()      // called in a step when the attempt is to be repeated
	giveUp     func()      // called in a step otherwise
}

// repeatLater decides about a failed attempt. While the budget is empty the
// repeat waits for its next delay, until the deadline leaves no room or nobody
// wants it any more.
func (s *Service) repeatLater(r repeat) {
	if r.wanted != nil && !r.wanted() {
		r.giveUp()
		return
	}
	r.failed.Left = r.deadline.Sub(s.ports.Clock.Now())
	r.failed.Overloaded = s.limits.Overloaded(r.deployment, r.class)
	decision := s.decideRetry(r.failed)
	if !decision.Again {
		r.giveUp()
		return
	}
	s.timers.After(decision.Delay, r.class, func() {
		if !s.limits.Withdraw(r.deployment, r.class, r.cost, s.ports.Clock.Now()) {
			r.failed.Waits++
			s.repeatLater(r)
			return
		}
		s.metrics.Retries.Inc(1)
		r.again()
	})
}

func (s *Service) repeatCompletion(c *completion, cause error) {
	s.repeatLater(repeat{
		deployment: c.deployment.Name, class: c.request.Class, deadline: c.request.Deadline,
		failed: retry.Attempt{Number: c.attempt, Kind: errkind.Of(cause), Idempotent: true},
		cost:   retry.Cost(c.held, c.request.MaxTokens),
		wanted: func() bool { return s.answers.InProgress(c.key) },
		again:  func() { s.retryAttempt(c, cause) },
		giveUp: func() { s.afterNews(&c.guard, func() { s.fail(c, cause) }) },
	})
}
