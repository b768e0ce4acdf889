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
	// crashTick separates the looks at suspicions and trials.
	crashTick = 250 * time.Millisecond
	// probeTimeout is how long a server that cut a stream has to show that it lives.
	probeTimeout = time.Second
)

// guard is one run as the crashes' table counts it.
type guard struct {
	fingerprint uint64
	trial       core.ServerID // the only server that may run it; empty outside a trial
	begun       time.Time
	lasted      time.Duration // of the run before
}

func completionFingerprint(request *core.CompletionRequest) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{string(request.Deployment), request.Prompt} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// startAttempt dispatches the request unless its fingerprint is suspected to
// crash servers; then it is held until a trial may begin or the suspicion ends.
// Errors: CrashesServers and those of dispatchAttempt.
func (s *Service) startAttempt(c *completion) error {
	if c.guard.trial == "" {
		run, err := s.beginGuarded(c)
		if err != nil || !run {
			return err
		}
	}
	c.guard.begun = s.ports.Clock.Now()
	err := s.dispatchAttempt(c)
	if err != nil {
		s.endGuarded(c, "", crash.Other)
	}
	return err
}

func (s *Service) beginGuarded(c *completion) (bool, error) {
	c.guard.fingerprint = completionFingerprint(&c.request)
	resume := func(trial core.ServerID) {
		s.pool.MustEnqueue(c.request.Class, func() { s.resumeHeld(c, trial) })
	}
	now := s.ports.Clock.Now()
	verdict, held, err := s.crashes.Begin(c.guard.fingerprint, c.deployment.Service, resume, now)
	switch {
	case err != nil:
		return false, err
	case verdict == crash.Refuse:
		return false, errkind.New(errkind.CrashesServers, "servers that ran the request have crashed")
	case verdict == crash.Run:
		return true, nil
	}
	s.pushCrashes()
	s.timers.After(c.request.Deadline.Sub(now), c.request.Class, func() { s.dropHeld(c, held) })
	return false, nil
}

// dropHeld ends a request that was held until its deadline.
func (s *Service) dropHeld(c *completion, held *tables.Held) {
	switch {
	case !s.crashes.Drop(held):
	case c.attempt == 0:
		s.fail(c, errkind.New(errkind.DeadlineTooShort, "the request waited for a trial until its deadline and was not run"))
	default:
		s.fail(c, errkind.New(errkind.AnswerIncomplete, "the request waited for a trial until its deadline"))
	}
}

func (s *Service) resumeHeld(c *completion, trial core.ServerID) {
	c.guard.trial = trial
	err := s.startAttempt(c)
	if trial != "" && (errkind.Is(err, errkind.NoServer) || errkind.Is(err, errkind.Overloaded)) {
		err = s.startAttempt(c) // the server of the trial takes none: held again
	}
	if err != nil {
		s.fail(c, err)
		return
	}
	if c.guard.trial != "" {
		fingerprint := c.guard.fingerprint
		s.timers.After(crash.TrialTime(c.guard.lasted, c.held > 0), c.request.Class, func() {
			s.crashes.Passed(fingerprint, s.ports.Clock.Now())
		})
	}
}

// acquireGuarded picks a server, for a trial the one that peers allowed.
func (s *Service) acquireGuarded(c *completion, query routing.Query) (routing.Dispatch, error) {
	if c.guard.trial == "" {
		return s.acquire(query)
	}
	query.Exclude = s.only(c.guard.trial)
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

// judgeAttempt tells the crashes' table how an attempt ended, and then goes on.
// A server that cut the stream is asked whether it lives.
func (s *Service) judgeAttempt(c *completion, server core.VM, err error, next func()) {
	cut := errkind.Is(err, errkind.ServerFailed)
	if !cut {
		outcome := crash.Other
		if err == nil {
			outcome = crash.Clean
		}
		s.endGuarded(c, server.ID, outcome)
		next()
		return
	}
	probe := s.lanes.control.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, failed := s.ports.Engine.Status(ctx, server, 0)
		s.pool.MustEnqueue(c.request.Class, func() {
			s.judgeCut(c, server.ID, failed != nil)
			next()
		})
	})
	if probe != nil {
		s.judgeCut(c, server.ID, true)
		next()
	}
}

func (s *Service) judgeCut(c *completion, server core.ServerID, died bool) {
	if !died {
		s.endGuarded(c, server, crash.Other)
		return
	}
	s.endGuarded(c, server, crash.Died)
	s.pushCrashes()
}

func (s *Service) endGuarded(c *completion, server core.ServerID, outcome crash.Outcome) {
	now := s.ports.Clock.Now()
	trial := c.guard.trial
	c.guard.trial = ""
	c.guard.lasted = now.Sub(c.guard.begun)
	if trial != "" {
		s.crashes.EndTrial(c.guard.fingerprint, trial, outcome, now)
		return
	}
	s.crashes.End(c.guard.fingerprint, server, outcome, now)
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

// liveServers returns the live backend servers of each service.
func (s *Service) liveServers() map[string][]core.ServerID {
	live := make(map[string][]core.ServerID)
	for _, view := range s.servers.Views() {
		if view.VM.State == core.VMLive {
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
