package demo

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/caller"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

func stepNumber(step int) core.Step             { return core.Step(step) }
func versionNumber(step int) core.WeightVersion { return core.WeightVersion(step) }

// killDelay is long enough for a step's samples to be in the making.
const killDelay = 400 * time.Millisecond

// during runs an act while something else is at work.
func during(act func()) {
	timer := time.NewTimer(killDelay)
	defer timer.Stop()
	<-timer.C
	act()
}

// startedAnswers is how many answers have begun to come when an entry process
// that sends them is killed or asked to leave.
const startedAnswers = 3

// streaming returns the place of the entry process that sends the last of
// several answers that have begun to come, and false when ctx is over before.
func (d *demo) streaming(ctx context.Context, begun <-chan string) (int, bool) {
	address := ""
	for range startedAnswers {
		select {
		case address = <-begun:
		case <-ctx.Done():
			return 0, false
		}
	}
	for at, entry := range d.entries {
		if entry.Address == address {
			return at, true
		}
	}
	return 0, false
}

// killDuringAnswer kills an entry process while it streams answers.
func (d *demo) killDuringAnswer(ctx context.Context) error {
	options := d.callers("kill")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "Why does it flicker? ", 120
	options.Count, options.Concurrency = 9, 9
	begun := make(chan string, options.Count)
	options.Streaming = func(address string) { begun <- address }
	type outcome struct {
		summary caller.Summary
		err     error
	}
	ended := make(chan outcome, 1)
	go func() {
		summary, err := caller.Run(ctx, options)
		ended <- outcome{summary, err}
	}()
	if at, ok := d.streaming(ctx, begun); ok {
		d.kill(at)
	}
	o := <-ended
	d.record(o.err == nil && o.summary.Whole == options.Count && o.summary.Resumes > 0,
		"answers whole after an entry process was killed", "%d of %d, %d resumed in mid-answer, %v",
		o.summary.Whole, o.summary.Requests, o.summary.Resumes, o.summary.Notes)
	return o.err
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

// shutDown asks an entry process that streams answers to leave.
func (d *demo) shutDown(ctx context.Context) error {
	options := d.callers("leave")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "The kettle leaks. ", 120
	options.Count, options.Concurrency = 6, 6
	begun := make(chan string, options.Count)
	options.Streaming = func(address string) { begun <- address }
	ended := make(chan caller.Summary, 1)
	go func() {
		summary, _ := caller.Run(ctx, options)
		ended <- summary
	}()
	at, ok := d.streaming(ctx, begun)
	if !ok {
		return ctx.Err()
	}
	leaving := d.entries[at]
	_ = leaving.Terminate()
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
