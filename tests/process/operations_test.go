package process

import (
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/core"
	"fescuespar/standin/caller"
	"fescuespar/standin/engine"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

// operationsTest is a site that goes through the operations and faults listed in
// docs/OPERATIONS.md.
type operationsTest struct {
	t             *testing.T
	ctx           context.Context
	site          *site.Site
	entries       []*site.Entry
	farEntry      *site.Entry   // the entry process of the second region
	farEngine     *site.Process // the engine of the second region
	engineAddress string        // address of farEngine
}

// TestOperationsPage goes through the planned work and the faults of the
// operators' page with real processes, and checks the effects that the page
// describes. Each step starts from the state that the previous one left.
func TestOperationsPage(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 2)
	o := &operationsTest{t: t, ctx: ctx, site: s, entries: entries}
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"adding an entry VM", o.addEntry},
		{"adding a region", o.addRegion},
		{"bad weights", o.badWeights},
		{"a region is cut off", o.cutRegion},
		{"lost entry VM", o.loseEntry},
		{"second SIGTERM", o.terminateTwice},
		{"full queue", o.fillQueue},
	} {
		started := time.Now()
		step.run()
		if t.Failed() {
			t.Fatalf("%s failed", step.name)
		}
		t.Logf("%s: %.1f s", step.name, time.Since(started).Seconds())
	}
}

func (o *operationsTest) addEntry() {
	o.entries = append(o.entries, startFurtherEntry(o.ctx, o.t, o.site))
	awaitAllAlive(o.ctx, o.t, o.site, o.entries)
	o.awaitLimitMembers(len(o.entries))
}

func (o *operationsTest) addRegion() {
	place := site.Server{ID: "engine-far", Service: "coach-model", Zone: "f1", Region: "far"}
	var err error
	o.farEngine, o.engineAddress, err = o.site.StartServer(o.ctx, "engine", place, "--model", "coach-model", "--step", "10ms")
	if err != nil {
		o.t.Fatal(err)
	}
	if o.farEntry, err = o.site.StartEntry(o.ctx, "f1", "far"); err != nil {
		o.t.Fatal(err)
	}
	awaitAllAlive(o.ctx, o.t, o.site, append(slices.Clone(o.entries), o.farEntry))
	o.awaitLimitMembers(len(o.entries) + 1)
	o.expectAllComplete(callerOptions([]*site.Entry{o.farEntry}, "far", 8))
}

// badWeights makes one engine refuse the orders for a new version.
func (o *operationsTest) badWeights() {
	o.setEngineFaults(engine.Faults{Refuse: true})
	summary, err := trainer.Run(o.ctx, trainerOptions(o.entries, 2))
	if err != nil || !summary.IsValid() || summary.Steps != 2 {
		o.t.Errorf("%+v, %v", summary, err)
	}
	o.awaitWarning(core.WarnWeightsLag, "coach", true)
	o.setEngineFaults(engine.Faults{})
	o.awaitWarning(core.WarnWeightsLag, "coach", false)
}

// cutRegion freezes the entry process of the second region, so that the first
// region sees it as cut off.
func (o *operationsTest) cutRegion() {
	if err := o.farEntry.Suspend(); err != nil {
		o.t.Fatal(err)
	}
	o.awaitWarning(core.WarnMemberSilent, string(o.farEntry.VM), true)
	o.awaitLimitMembers(len(o.entries) + 1)
	o.expectAllComplete(callerOptions(o.entries, "cut", 20))
	if err := o.farEntry.Resume(); err != nil {
		o.t.Fatal(err)
	}
	o.awaitWarning(core.WarnMemberSilent, string(o.farEntry.VM), false)
	o.expectAllComplete(callerOptions([]*site.Entry{o.farEntry}, "healed", 8))
}

// loseEntry kills the entry process of the second region.
func (o *operationsTest) loseEntry() {
	o.farEntry.Kill()
	o.awaitWarning(core.WarnMemberSilent, string(o.farEntry.VM), true)
	o.expectAllComplete(callerOptions(o.entries, "lost", 20))
}

// terminateTwice sends SIGTERM twice to an entry process while it serves requests.
func (o *operationsTest) terminateTwice() {
	leaving := o.entries[len(o.entries)-1]
	options := callerOptions([]*site.Entry{leaving}, "leaving", 8)
	options.Concurrency, options.MaxTokens = 8, 120
	callerDone := make(chan caller.Summary, 1)
	go func() {
		summary, _ := caller.Run(o.ctx, options)
		callerDone <- summary
	}()
	for o.site.InFlight(o.ctx, leaving) < 1 && o.ctx.Err() == nil {
		sleep(10 * time.Millisecond)
	}
	for range 2 {
		if err := leaving.Terminate(); err != nil {
			o.t.Fatal(err)
		}
		sleep(100 * time.Millisecond)
	}
	if summary := <-callerDone; summary.Correct != options.Count || summary.Resumes != 0 {
		o.t.Errorf("answers during the planned stop: %+v", summary)
	}
	select {
	case <-leaving.Exited():
	case <-o.ctx.Done():
		o.t.Fatalf("the process did not exit: %s", strings.Join(leaving.Lines(), "\n"))
	}
	if code := leaving.ExitCode(); code != 0 {
		o.t.Errorf("exit code %d", code)
	}
	o.entries = o.entries[:len(o.entries)-1]
}

// exitNotInForceEverywhere is the exit code of publish when the generation does
// not come into force on every process before the timeout.
const exitNotInForceEverywhere = 3

// fillQueue publishes small limits and sends more requests than they admit. The
// publish waits for the lost entry process, but not for the one that has left.
func (o *operationsTest) fillQueue() {
	folder := filepath.Join(o.t.TempDir(), "small")
	copyWithReplacements(o.t, "../../examples/demo", folder, strings.NewReplacer("= 64\n", "= 4\n"))
	publish := exec.CommandContext(o.ctx, filepath.Join(binaries, "fescuespar"), "publish", folder,
		"--address", o.entries[0].Address, "--token", site.OperatorToken, "--wait", "--wait-timeout", "5s")
	output, _ := publish.CombinedOutput()
	if code := publish.ProcessState.ExitCode(); code != exitNotInForceEverywhere || !strings.Contains(string(output), "1 of 3 live processes") ||
		!strings.Contains(string(output), "missing on "+string(o.farEntry.VM)+" (suspect)") {
		o.t.Errorf("exit code %d: %s", code, output)
	}
	options := callerOptions(o.entries[:1], "many", 40)
	options.Concurrency, options.Timeout = 40, 2*time.Second
	summary, err := caller.Run(o.ctx, options)
	if err != nil || summary.MayHaveRun != 0 || summary.Wrong != 0 || summary.Correct == 0 || summary.Correct == options.Count {
		o.t.Errorf("%+v, %v", summary, err)
	}
	o.awaitWarning(core.WarnQueueFull, "coach", true)
}

// expectAllComplete sends requests and fails the test unless every answer is
// complete.
func (o *operationsTest) expectAllComplete(options caller.Options) {
	o.t.Helper()
	summary, err := caller.Run(o.ctx, options)
	if err != nil || summary.Correct != options.Count {
		o.t.Errorf("%+v, %v", summary, err)
	}
}

func (o *operationsTest) setEngineFaults(faults engine.Faults) {
	o.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		o.t.Fatal(err)
	}
	response, err := http.Post("http://"+o.engineAddress+engine.FaultsPath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		o.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// awaitWarning waits until an entry process reports a warning of the kind and
// subject or, if present is false, until none does.
func (o *operationsTest) awaitWarning(kind core.WarningKind, subject string, present bool) {
	o.t.Helper()
	for o.ctx.Err() == nil {
		if o.hasWarning(kind, subject) == present {
			return
		}
		sleep(100 * time.Millisecond)
	}
	o.t.Fatalf("warning %s of %s: present did not become %v", kind, subject, present)
}

func (o *operationsTest) hasWarning(kind core.WarningKind, subject string) bool {
	return slices.ContainsFunc(o.entries, func(entry *site.Entry) bool {
		status, err := statusOf(o.ctx, o.site, entry)
		return err == nil && slices.ContainsFunc(status.Warnings, func(w configjson.Warning) bool {
			return w.Kind == string(kind) && w.Subject == subject
		})
	})
}

// awaitLimitMembers waits until the limits are divided among count processes.
func (o *operationsTest) awaitLimitMembers(count int) {
	o.t.Helper()
	client := operatorclient.New(o.entries[0].Address, site.OperatorToken, 0)
	for o.ctx.Err() == nil {
		var state struct {
			Limits []struct {
				Members int `json:"members"`
			} `json:"limits"`
		}
		dump, err := client.Dump(o.ctx)
		if err == nil && json.Unmarshal(dump, &state) == nil && len(state.Limits) > 0 && state.Limits[0].Members == count {
			return
		}
		sleep(100 * time.Millisecond)
	}
	o.t.Fatalf("the limits were not divided among %d processes in time", count)
}
