package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

const (
	// crashUpdateDelay is the delay in which new suspicions are collected for one
	// heartbeat.
	crashUpdateDelay = 10 * time.Millisecond
	// crashPropagationDelay is the time for crash updates to reach every process.
	crashPropagationDelay = 200 * time.Millisecond
	// crashTrialInterval is the interval of checking suspicions and trials.
	crashTrialInterval = 250 * time.Millisecond
	// probeTimeout bounds the check whether a server that cut a stream still
	// answers.
	probeTimeout = time.Second
)

// crashGuard is the state of one request and its attempts for detecting
// requests that crash servers.
type crashGuard struct {
	fingerprint     uint64
	service         string
	class           core.Class
	deadline        time.Time
	dispatch        func() error  // sends one attempt
	fail            func(error)   // ends the request with an error
	wasSent         func() bool   // reports whether an attempt was sent before
	continuesAnswer func() bool   // reports whether the next attempt starts after the tokens received so far
	serverDied      bool          // the server of the last attempt died
	trialServer     core.ServerID // the server of a trial, the only one that may run it; empty otherwise
	startedAt       time.Time
	lastRunTime     time.Duration // duration of the previous attempt
}

func completionFingerprint(request *core.CompletionRequest) uint64 {
	return crash.Fingerprint(nil, string(request.Deployment), request.Prompt)
}

// startAttempt sends a completion's next attempt. Errors: those of
// startGuardedAttempt.
func (s *Service) startAttempt(c *completion) error {
	if c.guard.dispatch == nil {
		c.guard = crashGuard{
			fingerprint: completionFingerprint(&c.request), service: c.deployment.Service,
			class: c.request.Class, deadline: c.request.Deadline,
			dispatch:        func() error { return s.dispatchAttempt(c) },
			fail:            func(err error) { s.failCompletion(c, err) },
			wasSent:         func() bool { return c.attempts > 0 },
			continuesAnswer: func() bool { return c.tokensAtStart > 0 },
		}
	}
	return s.startGuardedAttempt(&c.guard)
}

// startGuardedAttempt dispatches a request unless its fingerprint is suspected
// of crashing servers. In that case it is held until a trial may begin or the
// suspicion ends. Errors: CrashesServers and those of the dispatch.
func (s *Service) startGuardedAttempt(g *crashGuard) error {
	if g.trialServer == "" {
		mayRun, err := s.checkCrashSuspicion(g)
		if err != nil || !mayRun {
			return err
		}
	}
	g.startedAt, g.serverDied = s.ports.Clock.Now(), false
	err := g.dispatch()
	if err != nil {
		s.endGuardedAttempt(g, "", crash.Inconclusive)
	}
	return err
}

func (s *Service) checkCrashSuspicion(g *crashGuard) (bool, error) {
	resume := func(trialServer core.ServerID) {
		s.pool.MustEnqueue(g.class, func() { s.resumeHeldRequest(g, trialServer) })
	}
	now := s.ports.Clock.Now()
	verdict, held, err := s.crashes.Begin(g.fingerprint, g.service, resume, now)
	switch {
	case err != nil:
		return false, err
	case verdict == crash.Refuse:
		return false, errkind.New(errkind.CrashesServers, "servers that ran the request have crashed")
	case verdict == crash.Run:
		return true, nil
	}
	s.scheduleCrashUpdates()
	s.timers.After(g.deadline.Sub(now), g.class, func() { s.expireHeldRequest(g, held) })
	return false, nil
}

// expireHeldRequest ends a request that was held until its deadline.
func (s *Service) expireHeldRequest(g *crashGuard, held *tables.HeldRequest) {
	switch {
	case !s.crashes.RemoveHeld(held):
	case !g.wasSent():
		g.fail(errkind.New(errkind.DeadlineTooShort, "the request was held until its deadline because it may crash servers, and was not run"))
	default:
		g.fail(errkind.New(errkind.AnswerIncomplete, "the request was held until its deadline because it may crash servers"))
	}
}

func (s *Service) resumeHeldRequest(g *crashGuard, trialServer core.ServerID) {
	g.trialServer = trialServer
	err := s.startGuardedAttempt(g)
	if trialServer != "" && (errkind.Is(err, errkind.NoServer) || errkind.Is(err, errkind.Overloaded)) {
		err = s.startGuardedAttempt(g) // the trial server accepts no request: hold it again
	}
	if err != nil {
		g.fail(err)
		return
	}
	if g.trialServer != "" {
		s.timers.After(crash.TrialDuration(g.lastRunTime, g.continuesAnswer()), g.class, func() {
			s.crashes.PassTrial(g.fingerprint, s.ports.Clock.Now())
		})
	}
}

// acquireForAttempt picks a server; a trial runs only on the server that the
// peers allowed.
func (s *Service) acquireForAttempt(g *crashGuard, query routing.Query) (routing.Dispatch, error) {
	if g.trialServer == "" {
		return s.acquireServer(query)
	}
	query.Exclude = s.allServersExcept(g.trialServer)
	return s.acquireServerSlot(query)
}

// allServersExcept returns the servers on which a trial must not run.
func (s *Service) allServersExcept(trialServer core.ServerID) []core.ServerID {
	var others []core.ServerID
	for _, view := range s.servers.Views() {
		if view.VM.ID != trialServer {
			others = append(others, view.VM.ID)
		}
	}
	return others
}

// routingError returns the error that routing records for an attempt. A server
// that cut a trial was crashed by the request and must not be treated as worse
// than others.
func (g *crashGuard) routingError(err error) error {
	if g.trialServer != "" && errkind.Is(err, errkind.ServerFailed) {
		return errkind.Wrap(errkind.CrashesServers, err, "trial")
	}
	return err
}

// recordAttemptEnd records how an attempt ended in the crashes table and then
// calls next. A server that cut the attempt is probed first.
func (s *Service) recordAttemptEnd(g *crashGuard, server core.VM, err error, next func()) {
	if !errkind.Is(err, errkind.ServerFailed) {
		outcome := crash.Inconclusive
		if err == nil {
			outcome = crash.Clean
		}
		s.endGuardedAttempt(g, server.ID, outcome)
		next()
		return
	}
	laneErr := s.lanes.control.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		sentAt := s.ports.Clock.Now()
		probeErr := s.probeServer(ctx, server)
		if errkind.Is(probeErr, errkind.ServerRefused) {
			s.servers.MarkUnreachable(server.ID, sentAt)
		}
		s.pool.MustEnqueue(g.class, func() {
			s.recordCutAttempt(g, server.ID, probeErr != nil)
			next()
		})
	})
	if laneErr != nil {
		s.recordCutAttempt(g, server.ID, true)
		next()
	}
}

// probeServer checks whether a server answers.
func (s *Service) probeServer(ctx context.Context, server core.VM) error {
	if server.Kind == core.KindPlain {
		return s.ports.Plain.Probe(ctx, server)
	}
	_, err := s.ports.Engine.Status(ctx, server, 0)
	return err
}

func (s *Service) recordCutAttempt(g *crashGuard, server core.ServerID, died bool) {
	if !died {
		s.endGuardedAttempt(g, server, crash.Inconclusive)
		return
	}
	g.serverDied = true
	s.endGuardedAttempt(g, server, crash.ServerDied)
	s.scheduleCrashUpdates()
}

// afterCrashPropagation ends a request that is not retried. If its server died,
// the caller gets the error only after the crash update has had time to reach
// every process, so that none of them runs the same request again at once.
func (s *Service) afterCrashPropagation(g *crashGuard, end func()) {
	if !g.serverDied {
		end()
		return
	}
	s.timers.After(crashPropagationDelay, g.class, end)
}

func (s *Service) endGuardedAttempt(g *crashGuard, server core.ServerID, outcome crash.Outcome) {
	now := s.ports.Clock.Now()
	trialServer := g.trialServer
	g.trialServer = ""
	g.lastRunTime = now.Sub(g.startedAt)
	if trialServer != "" {
		s.crashes.EndTrial(g.fingerprint, trialServer, outcome, now)
		return
	}
	s.crashes.End(g.fingerprint, server, outcome, now)
}

// scheduleCrashUpdates sends suspicions to every live process after
// crashUpdateDelay.
func (s *Service) scheduleCrashUpdates() {
	if !s.crashUpdatePending.CompareAndSwap(false, true) {
		return
	}
	s.timers.After(crashUpdateDelay, core.ClassControl, func() {
		s.crashUpdatePending.Store(false)
		s.sendCrashUpdates()
	})
}

// sendCrashUpdates sends an extra heartbeat to every live process while there
// are suspicions or trials, since all of them must allow a trial.
func (s *Service) sendCrashUpdates() {
	if len(s.crashes.HeartbeatUpdates(s.ports.Clock.Now())) == 0 {
		return
	}
	heartbeat := s.members.Heartbeat()
	for _, member := range s.members.Live() {
		if member.VM != s.options.Self.VM {
			s.sendHeartbeat(membership.Send{VM: member.VM, Address: member.PeerAddress, Heartbeat: heartbeat})
		}
	}
}

// updateCrashTrials proposes trials and starts those that every live process
// allows.
func (s *Service) updateCrashTrials() {
	now := s.ports.Clock.Now()
	var goneVMs []core.VMID
	for _, member := range s.members.All() {
		if member.State == core.MemberGone {
			goneVMs = append(goneVMs, member.VM)
		}
	}
	s.crashes.Tick(goneVMs, now)
	var live map[string][]core.ServerID
	if s.crashes.HasHeld() {
		live = s.availableServers()
	}
	offset := int(s.random.Duration(time.Second))
	s.crashes.ProposeTrials(func(held *tables.HeldRequest) core.ServerID {
		servers := live[held.Service]
		if len(servers) == 0 {
			return ""
		}
		offset++
		return servers[offset%len(servers)]
	}, now)
	s.startTrials()
	s.sendCrashUpdates()
}

func (s *Service) startTrials() {
	var live []core.VMID
	for _, member := range s.members.Live() {
		live = append(live, member.VM)
	}
	s.crashes.StartTrials(live)
}

// availableServers returns the backend servers of each service that accept new
// work.
func (s *Service) availableServers() map[string][]core.ServerID {
	live := make(map[string][]core.ServerID)
	for _, view := range s.servers.Views() {
		if view.VM.State == core.VMLive && !view.Ejected {
			live[view.VM.Service] = append(live[view.VM.Service], view.VM.ID)
		}
	}
	return live
}

// applyCrashUpdates applies the crash updates of a heartbeat and returns the
// reply to them.
func (s *Service) applyCrashUpdates(heartbeat *core.Heartbeat) []core.CrashUpdate {
	reply := s.crashes.ApplyUpdates(heartbeat.Sender.VM, heartbeat.Crashes, s.ports.Clock.Now())
	s.startTrials()
	return reply
}
