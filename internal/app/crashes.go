package app

import (
	"context"
	"hash/fnv"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

const (
	// crashPushDelay gathers suspicions that arise together into one heartbeat.
	crashPushDelay = 10 * time.Millisecond
	// crashNewsDelay is the time that news need to every process.
	crashNewsDelay = 200 * time.Millisecond
	// crashTick separates the looks at suspicions and trials.
	crashTick = 250 * time.Millisecond
	// probeTimeout is how long a server that cut a stream has to show that it lives.
	probeTimeout = time.Second
)

// guard is what the crashes' table sees of one request and its runs.
type guard struct {
	fingerprint uint64
	service     string
	class       core.Class
	deadline    time.Time
	dispatch    func() error  // sends one attempt
	fail        func(error)   // ends the request
	sent        func() bool   // an attempt was sent before
	resumes     func() bool   // the attempt starts where the one before was cut
	died        bool          // its last server died
	trial       core.ServerID // the only server that may run it; empty outside a trial
	begun       time.Time
	lasted      time.Duration // of the run before
}

func completionFingerprint(request *core.CompletionRequest) uint64 {
	return crashFingerprint(request.Deployment, request.Prompt)
}

func crashFingerprint(deployment core.DeploymentName, parts ...string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(deployment))
	for _, part := range parts {
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(part))
	}
	return hash.Sum64()
}

// startAttempt sends a completion's next attempt. Errors: those of startGuarded.
func (s *Service) startAttempt(c *completion) error {
	if c.guard.dispatch == nil {
		c.guard = guard{
			fingerprint: completionFingerprint(&c.request), service: c.deployment.Service,
			class: c.request.Class, deadline: c.request.Deadline,
			dispatch: func() error { return s.dispatchAttempt(c) },
			fail:     func(err error) { s.fail(c, err) },
			sent:     func() bool { return c.attempt > 0 },
			resumes:  func() bool { return c.held > 0 },
		}
	}
	return s.startGuarded(&c.guard)
}

// startGuarded dispatches a request unless its fingerprint is suspected to
// crash servers; then it is held until a trial may begin or the suspicion ends.
// Errors: CrashesServers and those of the dispatch.
func (s *Service) startGuarded(g *guard) error {
	if g.trial == "" {
		run, err := s.beginGuarded(g)
		if err != nil || !run {
			return err
		}
	}
	g.begun, g.died = s.ports.Clock.Now(), false
	err := g.dispatch()
	if err != nil {
		s.endGuarded(g, "", crash.Other)
	}
	return err
}

func (s *Service) beginGuarded(g *guard) (bool, error) {
	resume := func(trial core.ServerID) {
		s.pool.MustEnqueue(g.class, func() { s.resumeHeld(g, trial) })
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
	s.pushCrashes()
	s.timers.After(g.deadline.Sub(now), g.class, func() { s.dropHeld(g, held) })
	return false, nil
}

// dropHeld ends a request that was held until its deadline.
func (s *Service) dropHeld(g *guard, held *tables.Held) {
	switch {
	case !s.crashes.Drop(held):
	case !g.sent():
		g.fail(errkind.New(errkind.DeadlineTooShort, "the request waited for a trial until its deadline and was not run"))
	default:
		g.fail(errkind.New(errkind.AnswerIncomplete, "the request waited for a trial until its deadline"))
	}
}

func (s *Service) resumeHeld(g *guard, trial core.ServerID) {
	g.trial = trial
	err := s.startGuarded(g)
	if trial != "" && (errkind.Is(err, errkind.NoServer) || errkind.Is(err, errkind.Overloaded)) {
		err = s.startGuarded(g) // the server of the trial takes none: held again
	}
	if err != nil {
		g.fail(err)
		return
	}
	if g.trial != "" {
		s.timers.After(crash.TrialTime(g.lasted, g.resumes()), g.class, func() {
			s.crashes.Passed(g.fingerprint, s.ports.Clock.Now())
		})
	}
}

// acquireGuarded picks a server, for a trial the one that peers allowed.
func (s *Service) acquireGuarded(g *guard, query routing.Query) (routing.Dispatch, error) {
	if g.trial == "" {
		return s.acquire(query)
	}
	query.Exclude = s.only(g.trial)
	return s.acquirePlace(query)
}

// only returns the servers that a trial must not run on: all but its own.
func (s *Service) only(trial core.ServerID) []core.ServerID {
	var others []core.ServerID
	for _, view := range s.servers.Views() {
		if view.VM.ID != trial {
			others = append(others, view.VM.ID)
		}
	}
	return others
}

// blame returns how an attempt's end is told to routing: a server that cuts a
// trial was crashed by the request and is no worse than others.
func (g *guard) blame(err error) error {
	if g.trial != "" && errkind.Is(err, errkind.ServerFailed) {
		return errkind.Wrap(errkind.CrashesServers, err, "trial")
	}
	return err
}

// judgeAttempt tells the crashes' table how an attempt ended, and then goes on.
// A server that cut it is asked whether it lives.
func (s *Service) judgeAttempt(g *guard, server core.VM, err error, next func()) {
	if !errkind.Is(err, errkind.ServerFailed) {
		outcome := crash.Other
		if err == nil {
			outcome = crash.Clean
		}
		s.endGuarded(g, server.ID, outcome)
		next()
		return
	}
	probe := s.lanes.control.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		asked := s.ports.Clock.Now()
		failed := s.probe(ctx, server)
		if errkind.Is(failed, errkind.ServerRefused) {
			s.servers.Unreachable(server.ID, asked)
		}
		s.pool.MustEnqueue(g.class, func() {
			s.judgeCut(g, server.ID, failed != nil)
			next()
		})
	})
	if probe != nil {
		s.judgeCut(g, server.ID, true)
		next()
	}
}

// probe finds out whether a server lives.
func (s *Service) probe(ctx context.Context, server core.VM) error {
	if server.Kind == core.KindPlain {
		return s.ports.Plain.Probe(ctx, server)
	}
	_, err := s.ports.Engine.Status(ctx, server, 0)
	return err
}

func (s *Service) judgeCut(g *guard, server core.ServerID, died bool) {
	if !died {
		s.endGuarded(g, server, crash.Other)
		return
	}
	g.died = true
	s.endGuarded(g, server, crash.Died)
	s.pushCrashes()
}

// afterNews ends a request that is not repeated. When its server died the
// caller is told once the news have had time to reach every process, so that
// none of them runs what the caller sends again at once.
func (s *Service) afterNews(g *guard, end func()) {
	if !g.died {
		end()
		return
	}
	s.timers.After(crashNewsDelay, g.class, end)
}

func (s *Service) endGuarded(g *guard, server core.ServerID, outcome crash.Outcome) {
	now := s.ports.Clock.Now()
	trial := g.trial
	g.trial = ""
	g.lasted = now.Sub(g.begun)
	if trial != "" {
		s.crashes.EndTrial(g.fingerprint, trial, outcome, now)
		return
	}
	s.crashes.End(g.fingerprint, server, outcome, now)
}

// pushCrashes sends suspicions to every live process soon.
func (s *Service) pushCrashes() {
	if !s.crashPush.CompareAndSwap(false, true) {
		return
	}
	s.timers.After(crashPushDelay, core.ClassControl, func() {
		s.crashPush.Store(false)
		s.sendCrashNews()
	})
}

// sendCrashNews sends a heartbeat out of turn to every live process while there
// are suspicions or trials, since a trial needs the leave of all of them.
func (s *Service) sendCrashNews() {
	if len(s.crashes.News(s.ports.Clock.Now())) == 0 {
		return
	}
	beat := s.members.Beat()
	for _, member := range s.members.Live() {
		if member.VM != s.options.Self.VM {
			s.sendHeartbeat(membership.Send{VM: member.VM, Address: member.PeerAddress, Beat: beat})
		}
	}
}

// tendCrashes proposes trials and starts those that every live process allows.
func (s *Service) tendCrashes() {
	now := s.ports.Clock.Now()
	var gone []core.VMID
	for _, member := range s.members.All() {
		if member.State == core.MemberGone {
			gone = append(gone, member.VM)
		}
	}
	s.crashes.Tick(gone, now)
	var live map[string][]core.ServerID
	if s.crashes.Holds() {
		live = s.liveServers()
	}
	offset := int(s.random.Duration(time.Second))
	s.crashes.Propose(func(held *tables.Held) core.ServerID {
		servers := live[held.Service]
		if len(servers) == 0 {
			return ""
		}
		offset++
		return servers[offset%len(servers)]
	}, now)
	s.startTrials()
	s.sendCrashNews()
}

func (s *Service) startTrials() {
	var live []core.VMID
	for _, member := range s.members.Live() {
		live = append(live, member.VM)
	}
	s.crashes.Start(live)
}

// liveServers returns the backend servers of each service that take new work.
func (s *Service) liveServers() map[string][]core.ServerID {
	live := make(map[string][]core.ServerID)
	for _, view := range s.servers.Views() {
		if view.VM.State == core.VMLive && !view.Ejected {
			live[view.VM.Service] = append(live[view.VM.Service], view.VM.ID)
		}
	}
	return live
}

// takeCrashNews takes the crashes' part of a heartbeat and returns the answer.
func (s *Service) takeCrashNews(beat *core.Heartbeat) []core.CrashNews {
	answer := s.crashes.Heard(beat.Sender.VM, beat.Crashes, s.ports.Clock.Now())
	s.startTrials()
	return answer
}
