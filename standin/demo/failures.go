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

// killDelay leaves enough time for the generation of a step's samples to
// start.
const killDelay = 400 * time.Millisecond

// runAfterKillDelay runs action after killDelay, while another goroutine sends
// requests.
func runAfterKillDelay(action func()) {
	timer := time.NewTimer(killDelay)
	defer timer.Stop()
	<-timer.C
	action()
}

// answersBeforeFailure is the number of answers that must have started before
// an entry process that streams one of them is killed or terminated.
const answersBeforeFailure = 3

// awaitStreaming waits until answersBeforeFailure answers have started. It
// returns the index in d.entries of the process that sends the last of them,
// or false if ctx ends first.
func (d *demo) awaitStreaming(ctx context.Context, started <-chan string) (int, bool) {
	address := ""
	for range answersBeforeFailure {
		select {
		case address = <-started:
		case <-ctx.Done():
			return 0, false
		}
	}
	for index, entry := range d.entries {
		if entry.Address == address {
			return index, true
		}
	}
	return 0, false
}

// killDuringAnswer kills an entry process while it streams answers, and checks
// that all answers are completed.
func (d *demo) killDuringAnswer(ctx context.Context) error {
	options := d.callerOptions("kill")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "Why does it flicker? ", 120
	options.Count, options.Concurrency = 9, 9
	started := make(chan string, options.Count)
	options.OnFirstTokens = func(address string) { started <- address }
	type outcome struct {
		summary caller.Summary
		err     error
	}
	finished := make(chan outcome, 1)
	go func() {
		summary, err := caller.Run(ctx, options)
		finished <- outcome{summary, err}
	}()
	if index, ok := d.awaitStreaming(ctx, started); ok {
		d.killEntry(index)
	}
	result := <-finished
	d.record(result.err == nil && result.summary.Correct == options.Count && result.summary.Resumes > 0,
		"answers complete after an entry process was killed", "%d of %d, %d resumed, notes %v",
		result.summary.Correct, result.summary.Requests, result.summary.Resumes, result.summary.Notes)
	return result.err
}

func (d *demo) killEntry(index int) {
	d.entries[index].Kill()
	d.entries = append(d.entries[:index:index], d.entries[index+1:]...)
}

// killDuringStep kills the coordinator while a step's samples are generated,
// and checks that every batch is delivered once.
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
	finished := make(chan outcome, 1)
	go func() {
		summary, err := trainer.Run(ctx, d.trainerOptions(2, 3))
		finished <- outcome{summary, err}
	}()
	runAfterKillDelay(func() { d.killCoordinator(ctx) })
	result := <-finished
	d.record(result.err == nil && result.summary.IsValid() && result.summary.Steps == 3, "batches delivered once after the coordinator was killed",
		"%d steps, %d samples, %d repeated, %d stale", result.summary.Steps, result.summary.Samples, result.summary.Repeated, result.summary.Stale)
	return result.err
}

// killCoordinator kills the entry process that coordinates the demo's
// deployment.
func (d *demo) killCoordinator(ctx context.Context) {
	owner := d.coordinatorVM(ctx)
	for index, entry := range d.entries {
		if entry.VM == owner {
			d.killEntry(index)
			return
		}
	}
}

func (d *demo) coordinatorVM(ctx context.Context) core.VMID {
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

// checkGracefulShutdown terminates an entry process while it streams answers,
// and checks that no answer is interrupted.
func (d *demo) checkGracefulShutdown(ctx context.Context) error {
	options := d.callerOptions("leave")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "The kettle leaks. ", 120
	options.Count, options.Concurrency = 6, 6
	started := make(chan string, options.Count)
	options.OnFirstTokens = func(address string) { started <- address }
	finished := make(chan caller.Summary, 1)
	go func() {
		summary, _ := caller.Run(ctx, options)
		finished <- summary
	}()
	index, ok := d.awaitStreaming(ctx, started)
	if !ok {
		return ctx.Err()
	}
	entry := d.entries[index]
	_ = entry.Terminate()
	summary := <-finished
	exited := waitExit(ctx, entry)
	d.record(summary.Correct == options.Count && summary.Resumes == 0 && exited, "graceful shutdown interrupted no answer",
		"%d of %d complete, %d interrupted, exit code %d", summary.Correct, summary.Requests, summary.Resumes, entry.ExitCode())
	return nil
}

// exitTimeout limits the wait for a terminated process to exit.
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
