package main

import (
	"context"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// statusInterval is the time between two status requests.
const statusInterval = 250 * time.Millisecond

// wait returns when every live process reports the generation, or at once
// without --wait. Errors: Timeout when some processes do not report it in time;
// they are then in p.laggingMembers.
func (p *publication) wait(ctx context.Context, generation core.Generation) error {
	if !p.command.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.command.WaitTimeout)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		if lastErr = p.checkStatus(ctx, generation, lastErr); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-ticker.C:
		}
	}
}

// checkStatus requests the status once and returns nil when every live process
// reports the generation, otherwise the reason to go on waiting. When the
// deadline interrupts the request, it returns lastErr, the previous reason.
func (p *publication) checkStatus(ctx context.Context, generation core.Generation, lastErr error) error {
	status, err := p.client.Status(ctx)
	if err != nil && ctx.Err() != nil && lastErr != nil {
		return lastErr
	}
	if err != nil {
		return err
	}
	p.liveCount, p.laggingMembers = findLaggingMembers(status, generation)
	if p.liveCount == 0 {
		return errkind.New(errkind.Timeout, "the status shows no live process")
	}
	if len(p.laggingMembers) > 0 {
		return errkind.New(errkind.Timeout, "%d of %d live processes do not report generation %d",
			len(p.laggingMembers), p.liveCount, generation)
	}
	return nil
}

// findLaggingMembers counts the live processes and returns those that report an older
// generation. A suspected process counts as live, since it may only be slow. A
// leaving one does not: it is no longer announced to callers and may have exited
// already.
func findLaggingMembers(status configjson.Status, generation core.Generation) (live int, missing []configjson.MemberStatus) {
	for _, member := range status.Members {
		if member.State == core.MemberGone.String() || member.State == core.MemberLeaving.String() {
			continue
		}
		live++
		if core.Generation(member.Generation) < generation {
			missing = append(missing, member)
		}
	}
	return live, missing
}
