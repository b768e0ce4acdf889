package main

import (
	"context"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// statusInterval is the time between two looks at the status.
const statusInterval = 250 * time.Millisecond

// wait returns when every live process reports the generation, if the command
// waits at all. Errors: Timeout when some do not in time; the publication then
// holds them.
func (p *publication) wait(ctx context.Context, generation core.Generation) error {
	if !p.command.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.command.WaitTimeout)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var last error
	for {
		if last = p.look(ctx, generation, last); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}

// look asks for the status once. It returns why the wait is not over; when the
// deadline cut the question off, that is the reason found before.
func (p *publication) look(ctx context.Context, generation core.Generation, last error) error {
	status, err := p.client.Status(ctx)
	if err != nil && ctx.Err() != nil && last != nil {
		return last
	}
	if err != nil {
		return err
	}
	p.live, p.missing = lagging(status, generation)
	if p.live == 0 {
		return errkind.New(errkind.Timeout, "the status shows no live process")
	}
	if len(p.missing) > 0 {
		return errkind.New(errkind.Timeout, "%d of %d live processes do not report generation %d",
			len(p.missing), p.live, generation)
	}
	return nil
}

// lagging counts the live processes and returns those that report an older
// generation. A suspected process counts as live: it may only be slow. A leaving
// one does not: callers are no longer told of it, and it may have ended already.
func lagging(status configjson.Status, generation core.Generation) (live int, missing []configjson.MemberStatus) {
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
