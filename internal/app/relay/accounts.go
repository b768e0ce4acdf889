package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/route"
	"fescuespar/internal/errkind"
)

// hasAccounts reports whether the deployment has client accounts.
func (s *Service) hasAccounts() bool {
	table := s.routes.Current()
	return table != nil && table.Accounts != nil
}

// Admit implements ports.Relay.
func (s *Service) Admit(ctx context.Context, host, path string, credentials core.Credentials) (core.Admission, error) {
	var matched *core.Route
	isExempt := func(table *core.RouteTable) bool {
		if matched = nil; table != nil {
			matched, _ = route.Match(table, host, path)
		}
		return matched != nil && matched.AccountExempt
	}
	arrived := s.ports.Clock.Now()
	decision := s.authorize(ctx, credentials, isExempt)
	isConfirmed := true
	if decision.Refusal == account.NotRefused && matched == nil {
		isConfirmed = s.awaitNewest(ctx, arrived)
		decision = s.decide(credentials, isExempt)
	}
	if err := decision.Err(); err != nil {
		return core.Admission{}, err
	}
	if matched == nil {
		err := errNoRoute(host, path)
		if !isConfirmed {
			err = errRouteUnconfirmed(host, path)
		}
		s.recordMissingRoute(credentials.Request, err)
		return core.Admission{}, err
	}
	return core.Admission{Route: *matched, Caller: decision.Caller}, nil
}

// errRouteUnconfirmed is the error for a path that has no route in a table which may not
// be the newest.
func errRouteUnconfirmed(host, path string) error {
	return errkind.New(errkind.RouteUnconfirmed, "no route matches %s%s here, and the newest configuration could not be read", host, path)
}

// recordMissingRoute counts and logs that a request is refused because no route matches.
func (s *Service) recordMissingRoute(request core.RequestID, err error) {
	if errkind.Is(err, errkind.RouteUnconfirmed) {
		s.metrics.RoutesUnconfirmed.Inc(1)
	} else {
		s.metrics.RoutesMissing.Inc(1)
	}
	line := s.refusalLog.Warn().Err(err).Str("request", string(request))
	if table := s.routes.Current(); table != nil {
		line = line.Uint64("routes", table.Version)
	}
	if confirmed := s.accounts.ConfirmedAt(); !confirmed.IsZero() {
		line = line.Dur("confirmed_age", s.ports.Clock.Now().Sub(confirmed))
	}
	line.Msg(logs.RouteMissing)
}

// admitJobCall admits a call about a job. Jobs that were submitted without an account
// need no key if there are routes on which they can be.
func (s *Service) admitJobCall(ctx context.Context, credentials core.Credentials) (core.Caller, error) {
	decision := s.authorize(ctx, credentials, func(table *core.RouteTable) bool {
		return !credentials.HasKey() && account.ExemptsJobs(table)
	})
	return decision.Caller, decision.Err()
}

// authorize decides about a request. One that the route table in force refuses is decided
// about again once a newer one was looked for; if that fails the refusal is not final.
func (s *Service) authorize(ctx context.Context, credentials core.Credentials, isExempt func(*core.RouteTable) bool) account.Decision {
	arrived := s.ports.Clock.Now()
	decision := s.decide(credentials, isExempt)
	if !decision.MayChange() {
		return decision
	}
	isNewest := s.awaitNewest(ctx, arrived)
	decision = s.decide(credentials, isExempt)
	if !decision.MayChange() {
		s.metrics.KeysFound.Inc(1)
		return decision
	}
	if !isNewest {
		decision.Refusal = account.Unconfirmed
	}
	s.recordRefusal(credentials, decision)
	return decision
}

// recordRefusal counts and logs that a request is refused for its key.
func (s *Service) recordRefusal(credentials core.Credentials, decision account.Decision) {
	switch decision.Refusal {
	case account.NoKey:
		s.metrics.KeysMissing.Inc(1)
	case account.RemovedKey:
		s.metrics.KeysRemoved.Inc(1)
	case account.Unconfirmed:
		s.metrics.KeysUnconfirmed.Inc(1)
	default:
		s.metrics.KeysUnknown.Inc(1)
	}
	s.accounts.CountRefusal(decision)
	line := s.refusalLog.Warn().Str("request", string(credentials.Request)).Str("reason", string(decision.Refusal))
	if removal := decision.Removal; removal.Account != "" {
		line = line.Str("account", string(removal.Account)).Uint64("removed_by", removal.Version)
	}
	if table := s.routes.Current(); table != nil {
		line = line.Uint64("routes", table.Version)
	}
	line.Msg(logs.KeyRefused)
}

// decide decides about a request under the route table in force.
func (s *Service) decide(credentials core.Credentials, isExempt func(*core.RouteTable) bool) account.Decision {
	table, removed := s.routes.CurrentAccounts()
	return account.Authorize(table, removed, isExempt(table), credentials)
}

// keyReadInterval returns the interval between reads of published data for requests.
func (s *Service) keyReadInterval() time.Duration {
	return announce.KeyReadInterval(keyReadInterval, len(s.members.Live()), s.options.StoreReadsPerSecond)
}

// awaitNewest waits for a read of published data that began at a time or later, and causes
// one if there is none. It returns false if that read failed or did not end in time.
func (s *Service) awaitNewest(ctx context.Context, arrived time.Time) bool {
	interval := s.keyReadInterval()
	limit := time.NewTimer(interval + watchTimeout)
	defer limit.Stop()
	for {
		progress, readEnded := s.accounts.ReadsSince(arrived)
		switch progress {
		case account.Done:
			return true
		case account.Failed:
			return false
		case account.NotBegun:
			if delay, due := s.accounts.ScheduleRead(s.ports.Clock.Now(), interval); due {
				s.timers.After(delay, core.ClassControl, s.readForRequests)
			}
		}
		select {
		case <-readEnded:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// readForRequests makes the read that requests wait for, unless another one has begun.
func (s *Service) readForRequests() {
	now := s.ports.Clock.Now()
	delay, begun := s.accounts.BeginScheduledRead(now, s.keyReadInterval())
	switch {
	case begun:
		s.metrics.KeyReads.Inc(1)
		s.readPublished(now)
	case delay > 0:
		s.timers.After(delay, core.ClassControl, s.readForRequests)
	}
}

// checkOwner checks that a caller may use the job of an account. Errors: UnknownRequest.
func (s *Service) checkOwner(id core.JobID, owner core.AccountName, caller core.Caller) error {
	if account.MayUseJob(owner, caller) {
		return nil
	}
	s.metrics.JobsDenied.Inc(1)
	return errkind.New(errkind.UnknownRequest, "job %s does not exist for account %q", id, caller.Account)
}

// jobCallError returns the error of a call about a job. A caller without a key is not told
// whether a job exists that belongs to an account.
func jobCallError(caller core.Caller, err error) error {
	if caller.HasAccounts && caller.Account == "" && errkind.Is(err, errkind.UnknownRequest) {
		return account.Decision{Refusal: account.NoKey}.Err()
	}
	return err
}

// logRoutesInForce logs that a route table has replaced another one, which may be nil,
// and which accounts have lost keys.
func (s *Service) logRoutesInForce(replaced, table *core.RouteTable) {
	line := s.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes))
	if table.Accounts != nil {
		line = line.Int("accounts", len(table.AccountNames)).Int("keys", len(table.Accounts))
	}
	s.metrics.Accounts.Update(int64(len(table.AccountNames)))
	s.metrics.AccountKeys.Update(int64(len(table.Accounts)))
	if lost := account.CountRemoved(replaced, table); len(lost) > 0 {
		line = line.Any("keys_removed", lost)
	}
	line.Msg(logs.RoutesInForce)
}
