package demo

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/caller"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

func stepNumber(step int) core.Step             { return core.Step(step) }
func versionNumber(step int) core.WeightVersion { return core.WeightVersion(step) }

// killDelay is long enough for a request to be in mid-answer.
const killDelay = 400 * time.Millisecond

// during runs an act while something else is at work.
func during(act func()) {
	timer := time.NewTimer(killDelay)
	defer timer.Stop()
	<-timer.C
	act()
}

// answeringCount is how many answers are under way when their entry process is
// killed.
const answeringCount = 3

// killDuringAnswer kills an entry process when the first tokens of some answers
// have come from it.
func (d *demo) killDuringAnswer(ctx context.Context) error {
	options := d.callers("kill")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "Why does it flicker? ", 120
	options.Count, options.Concurrency = 9, 9
	var started atomic.Int64
	answering := make(chan string, 1)
	options.Answering = func(address string) {
		if started.Add(1) == answeringCount {
			answering <- address
		}
	}
	type outcome struct {
		summary caller.Summary
		err     error
	}
	ended := make(chan outcome, 1)
	go func() {
		summary, err := caller.Run(ctx, options)
		ended <- outcome{summary, err}
	}()
	select {
	case address := <-answering:
		d.kill(slices.IndexFunc(d.entries, func(entry *site.Entry) bool { return entry.Address == address }))
	case <-ctx.Done():
	}
	o := <-ended
	d.record(o.err == nil && o.summary.Whole == options.Count && o.summary.Resumes > 0,
		"answers whole after an entry process was killed", "%d of %d, %d resumed in mid-answer, %v",
		o.summary.Whole, o.summary.Requests, o.summary.Resumes, o.summary.Notes)
	return o.err
}

// busiest returns the entry process with the most requests in flight.
func (d *demo) busiest(ctx context.Context) int {
	busiest, most := 0, -1
	for at, entry := range d.entries {
		if inFlight := d.site.InFlight(ctx, entry); inFlight > most {
			busiest, most = at, inFlight
		}
	}
	return busiest
}

func (d *demo) kill(at int) {
	d.entries[at].Kill()
	d.entries = append(d.entries[:at:at], d.entries[at+1:]...)
}

// killDuringStep kills the coordinator while a step's samples are made.
func (d *demo) killDuringStep(ctx context.Context) error {
	replacement, err := d.site.StartEntry(ctx, otherZone, region)
	if err != nil {
		return err
	}
	d.entries = append(d.entries, replacement)
	type outcome struct {
		summary trainer.Summary
		err     error
	}
	ended := make(chan outcome, 1)
	go func() {
		summary, err := trainer.Run(ctx, d.trainers(2, 3))
		ended <- outcome{summary, err}
	}()
	during(func() { d.killCoordinator(ctx) })
	o := <-ended
	d.record(o.err == nil && o.summary.Sound() && o.summary.Steps == 3, "steps delivered once after the coordinator was killed",
		"%d steps, %d samples, %d repeated, %d too old", o.summary.Steps, o.summary.Samples, o.summary.Repeated, o.summary.Stale)
	return o.err
}

// killCoordinator kills the entry process that coordinates the demo's deployment.
func (d *demo) killCoordinator(ctx context.Context) {
	owner := d.coordinator(ctx)
	for at, entry := range d.entries {
		if entry.VM == owner {
			d.kill(at)
			return
		}
	}
}

func (d *demo) coordinator(ctx context.Context) core.VMID {
	status, err := d.site.Status(ctx, d.entries[0])
	if err != nil || len(status.Deployments) == 0 {
		return ""
	}
	for _, deployment := range status.Deployments {
		if deployment.Name == "coach" {
			return core.VMID(deployment.Owner)
		}
	}
	return ""
}

// shutDown asks the entry process that serves most to leave.
func (d *demo) shutDown(ctx context.Context) error {
	options := d.callers("leave")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "The kettle leaks. ", 120
	options.Count, options.Concurrency = 6, 6
	var leaving *site.Entry
	ended := make(chan caller.Summary, 1)
	go func() {
		summary, _ := caller.Run(ctx, options)
		ended <- summary
	}()
	during(func() {
		leaving = d.entries[d.busiest(ctx)]
		_ = leaving.Terminate()
	})
	summary := <-ended
	left := waitExit(ctx, leaving)
	d.record(summary.Whole == options.Count && summary.Resumes == 0 && left, "planned stop cut off no answer",
		"%d of %d whole, %d cut, exit code %d", summary.Whole, summary.Requests, summary.Resumes, leaving.ExitCode())
	return nil
}

// exitTimeout bounds the wait for a planned stop.
const exitTimeout = 15 * time.Second

func waitExit(ctx context.Context, entry *site.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, exitTimeout)
	defer cancel()
	select {
	case <-entry.Exited():
		return entry.ExitCode() == 0
	case <-ctx.Done():
		entry.Kill()
		return false
	}
}
