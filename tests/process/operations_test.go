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

// operations is a site during the faults that docs/OPERATIONS.md lists.
type operations struct {
	t       *testing.T
	ctx     context.Context
	site    *site.Site
	entries []*site.Entry
	far     *site.Entry   // the entry process of the second region
	engine  *site.Process // its engine
	control string        // address of the engine
}

// TestOperationsPage goes through the planned work and the faults of the
// operators' page with real processes, and looks at what the page says is seen.
// Each step starts from the site that the one before has left.
func TestOperationsPage(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 2)
	n := &operations{t: t, ctx: ctx, site: s, entries: entries}
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"adding an entry VM", n.addEntry},
		{"adding a region", n.addRegion},
		{"bad weights", n.badWeights},
		{"a region is cut off", n.cutRegion},
		{"lost entry VM", n.loseEntry},
		{"second SIGTERM", n.terminateTwice},
		{"full queue", n.fillQueue},
	} {
		started := time.Now()
		step.run()
		if t.Failed() {
			t.Fatalf("%s failed", step.name)
		}
		t.Logf("%s: %.1f s", step.name, time.Since(started).Seconds())
	}
}

func (n *operations) addEntry() {
	n.entries = append(n.entries, join(n.ctx, n.t, n.site))
	awaitAllAlive(n.ctx, n.t, n.site, n.entries)
	n.awaitParts(len(n.entries))
}

func (n *operations) addRegion() {
	place := site.Server{ID: "engine-far", Service: "coach-model", Zone: "f1", Region: "far"}
	var err error
	n.engine, n.control, err = n.site.StartServer(n.ctx, "engine", place, "--model", "coach-model", "--step", "10ms")
	if err != nil {
		n.t.Fatal(err)
	}
	if n.far, err = n.site.StartEntry(n.ctx, "f1", "far"); err != nil {
		n.t.Fatal(err)
	}
	awaitAllAlive(n.ctx, n.t, n.site, append(slices.Clone(n.entries), n.far))
	n.awaitParts(len(n.entries) + 1)
	n.whole(callers([]*site.Entry{n.far}, "far", 8))
}

// badWeights has one engine refuse the orders of a new version.
func (n *operations) badWeights() {
	n.faults(engine.Faults{Refuse: true})
	summary, err := trainer.Run(n.ctx, trainers(n.entries, 2))
	if err != nil || !summary.Sound() || summary.Steps != 2 {
		n.t.Errorf("%+v, %v", summary, err)
	}
	n.awaitWarning(core.WarnWeightsLag, "coach", true)
	n.faults(engine.Faults{})
	n.awaitWarning(core.WarnWeightsLag, "coach", false)
}

// cutRegion freezes the second region: to the first one it is cut off.
func (n *operations) cutRegion() {
	if err := n.far.Freeze(); err != nil {
		n.t.Fatal(err)
	}
	n.awaitWarning(core.WarnMemberSilent, string(n.far.VM), true)
	n.awaitParts(len(n.entries) + 1)
	n.whole(callers(n.entries, "cut", 20))
	if err := n.far.Thaw(); err != nil {
		n.t.Fatal(err)
	}
	n.awaitWarning(core.WarnMemberSilent, string(n.far.VM), false)
	n.whole(callers([]*site.Entry{n.far}, "healed", 8))
}

// loseEntry kills the second region's entry process without notice.
func (n *operations) loseEntry() {
	n.far.Kill()
	n.awaitWarning(core.WarnMemberSilent, string(n.far.VM), true)
	n.whole(callers(n.entries, "lost", 20))
}

// terminateTwice asks an entry process twice to leave while it serves.
func (n *operations) terminateTwice() {
	leaving := n.entries[len(n.entries)-1]
	options := callers([]*site.Entry{leaving}, "leaving", 8)
	options.Concurrency, options.MaxTokens = 8, 120
	ended := make(chan caller.Summary, 1)
	go func() {
		summary, _ := caller.Run(n.ctx, options)
		ended <- summary
	}()
	for n.site.InFlight(n.ctx, leaving) < 1 && n.ctx.Err() == nil {
		pause(10 * time.Millisecond)
	}
	for range 2 {
		if err := leaving.Terminate(); err != nil {
			n.t.Fatal(err)
		}
		pause(100 * time.Millisecond)
	}
	if summary := <-ended; summary.Whole != options.Count || summary.Resumes != 0 {
		n.t.Errorf("answers at the planned stop: %+v", summary)
	}
	select {
	case <-leaving.Exited():
	case <-n.ctx.Done():
		n.t.Fatalf("the process did not end: %s", strings.Join(leaving.Lines(), "\n"))
	}
	if code := leaving.ExitCode(); code != 0 {
		n.t.Errorf("exit code %d", code)
	}
	n.entries = n.entries[:len(n.entries)-1]
}

// exitNotEverywhere is the exit code of a publish that is not in force on every
// process in time.
const exitNotEverywhere = 3

// fillQueue publishes small limits and sends more than they hold. The lost entry
// process is waited for, the one that has left is not.
func (n *operations) fillQueue() {
	folder := filepath.Join(n.t.TempDir(), "small")
	copyReplaced(n.t, "../../examples/demo", folder, strings.NewReplacer("= 64\n", "= 4\n"))
	publish := exec.CommandContext(n.ctx, filepath.Join(binaries, "fescuespar"), "publish", folder,
		"--address", n.entries[0].Address, "--token", site.OperatorToken, "--wait", "--wait-timeout", "5s")
	output, _ := publish.CombinedOutput()
	if code := publish.ProcessState.ExitCode(); code != exitNotEverywhere || !strings.Contains(string(output), "1 of 3 live processes") ||
		!strings.Contains(string(output), "missing on "+string(n.far.VM)+" (suspect)") {
		n.t.Errorf("exit code %d: %s", code, output)
	}
	options := callers(n.entries[:1], "many", 40)
	options.Concurrency, options.Timeout = 40, 2*time.Second
	summary, err := caller.Run(n.ctx, options)
	if err != nil || summary.MayHaveRun != 0 || summary.Wrong != 0 || summary.Whole == 0 || summary.Whole == options.Count {
		n.t.Errorf("%+v, %v", summary, err)
	}
	n.awaitWarning(core.WarnQueueFull, "coach", true)
}

// whole sends requests and wants every answer whole.
func (n *operations) whole(options caller.Options) {
	n.t.Helper()
	summary, err := caller.Run(n.ctx, options)
	if err != nil || summary.Whole != options.Count {
		n.t.Errorf("%+v, %v", summary, err)
	}
}

func (n *operations) faults(faults engine.Faults) {
	n.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		n.t.Fatal(err)
	}
	response, err := http.Post("http://"+n.control+engine.FaultsPath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		n.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// awaitWarning waits until some entry process warns of a kind and a subject, or
// until none does.
func (n *operations) awaitWarning(kind core.WarningKind, subject string, present bool) {
	n.t.Helper()
	for n.ctx.Err() == nil {
		if n.warns(kind, subject) == present {
			return
		}
		pause(100 * time.Millisecond)
	}
	n.t.Fatalf("warning %s of %s: never %v", kind, subject, present)
}

func (n *operations) warns(kind core.WarningKind, subject string) bool {
	return slices.ContainsFunc(n.entries, func(entry *site.Entry) bool {
		status, err := statusOf(n.ctx, n.site, entry)
		return err == nil && slices.ContainsFunc(status.Warnings, func(w configjson.Warning) bool {
			return w.Kind == string(kind) && w.Subject == subject
		})
	})
}

// awaitParts waits until the limits are divided among so many processes.
func (n *operations) awaitParts(count int) {
	n.t.Helper()
	client := operatorclient.New(n.entries[0].Address, site.OperatorToken, http.DefaultClient)
	for n.ctx.Err() == nil {
		var state struct {
			Limits []struct {
				Members int `json:"members"`
			} `json:"limits"`
		}
		dump, err := client.Dump(n.ctx)
		if err == nil && json.Unmarshal(dump, &state) == nil && len(state.Limits) > 0 && state.Limits[0].Members == count {
			return
		}
		pause(100 * time.Millisecond)
	}
	n.t.Fatalf("the limits were never divided among %d processes", count)
}
