package process

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/caller"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

// printed returns the commands that a section of a page prints.
func printed(t *testing.T, page, section string) []string {
	t.Helper()
	body, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(body), "\n## "+section+"\n")
	if !found {
		t.Fatalf("%s has no section %q", page, section)
	}
	rest, _, _ = strings.Cut(rest, "\n## ")
	var commands []string
	for _, match := range regexp.MustCompile(`(?m)^ {4,}(\S.*)$`).FindAllStringSubmatch(rest, -1) {
		commands = append(commands, match[1])
	}
	return commands
}

// runPrinted runs a printed command of the product in a directory.
func runPrinted(ctx context.Context, t *testing.T, directory, command string) {
	t.Helper()
	arguments := strings.Fields(command)
	if arguments[0] != "fescuespar" {
		t.Fatalf("%q is no command of the product", command)
	}
	process := exec.CommandContext(ctx, filepath.Join(binaries, arguments[0]), arguments[1:]...)
	process.Dir = directory
	if output, err := process.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", command, err, output)
	}
}

// forEntry returns a printed command with an entry process's files and address.
func forEntry(command string, entry *site.Entry) string {
	replaced := strings.NewReplacer("keys/entry-1", entry.Keys, "entry-1", string(entry.VM), "192.0.2.10", net.IPv4(127, 0, 0, 1).String())
	return replaced.Replace(command)
}

// issueRound is the round in which certificates of the new authority are issued.
const issueRound = 1

// TestAuthorityIsReplacedUnderLoad runs the printed commands that replace the
// authority while callers and a trainer are served. Further entry processes
// join when one process has a certificate of the new authority and two have not,
// and at the end: they open new connections to all others.
func TestAuthorityIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	commands := printed(t, "../../docs/SECURITY.md", "Replacing the authority")
	if len(commands) != 4 {
		t.Fatalf("%d commands are printed, want 4", len(commands))
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	answered := make(chan caller.Summary, 1)
	go func() { answered <- loadUntil(loadCtx, ctx, entries) }()
	trained := make(chan trainer.Summary, 1)
	go func() {
		summary, err := trainer.Run(ctx, trainers(entries, 12))
		if err != nil {
			t.Error(err)
		}
		trained <- summary
	}()
	runPrinted(ctx, t, s.Directory(), commands[0])
	for round, command := range commands[1:] {
		for number, entry := range entries {
			runPrinted(ctx, t, s.Directory(), forEntry(command, entry))
			if round == issueRound && number == 0 {
				older, newer := s.Authority, filepath.Join(s.Directory(), "authority-new")
				s.Authority, s.Trust = newer, []string{older, newer}
				entries = append(entries, join(ctx, t, s))
				awaitAllAlive(ctx, t, s, entries)
			}
		}
		awaitAllAlive(ctx, t, s, entries)
	}
	s.Trust = nil
	entries = append(entries, join(ctx, t, s))
	awaitAllAlive(ctx, t, s, entries)
	endLoad()
	if load := <-answered; load.Whole != load.Requests || load.Requests == 0 {
		t.Errorf("callers: %+v", load)
	} else {
		t.Logf("%d of %d answers whole, slowest %d ms", load.Whole, load.Requests, load.SlowestMS)
	}
	if summary := <-trained; !summary.Sound() || summary.Steps != 12 {
		t.Errorf("trainer: %+v", summary)
	}
}

// loadUntil sends completions in rounds until the first context ends.
func loadUntil(until, ctx context.Context, entries []*site.Entry) caller.Summary {
	var all caller.Summary
	for round := 0; until.Err() == nil; round++ {
		options := callers(entries, fmt.Sprintf("load-%d", round), 60)
		options.Concurrency = 12
		summary, _ := caller.Run(ctx, options)
		all.Requests += summary.Requests
		all.Whole += summary.Whole
		all.SlowestMS = max(all.SlowestMS, summary.SlowestMS)
		all.Notes = append(all.Notes, summary.Notes...)
	}
	return all
}

// join starts a further entry process.
func join(ctx context.Context, t *testing.T, s *site.Site) *site.Entry {
	t.Helper()
	entry, err := s.StartEntry(ctx, "z1", "r")
	if err != nil {
		t.Fatal(err)
	}
	awaitGeneration(ctx, t, entry, 1)
	return entry
}

// awaitAllAlive waits until every entry process sees all others alive with the
// generation in force, which only heartbeats tell, and has nothing to say of its
// keys but that they end soon.
func awaitAllAlive(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry) {
	t.Helper()
	for _, asked := range entries {
		for !seesAllAlive(ctx, s, asked, len(entries)) {
			if ctx.Err() != nil {
				status, err := s.Status(context.Background(), asked)
				t.Fatalf("%s: %+v, %v", asked.VM, status, err)
			}
			pause(100 * time.Millisecond)
		}
	}
}

func seesAllAlive(ctx context.Context, s *site.Site, asked *site.Entry, count int) bool {
	status, err := statusOf(ctx, s, asked)
	if err != nil {
		return false
	}
	alive := 0
	for _, member := range status.Members {
		if member.State == core.MemberAlive.String() && member.Generation == status.Generation {
			alive++
		}
	}
	for _, warning := range status.Warnings {
		switch core.WarningKind(warning.Kind) {
		case core.WarnKeysUnusable, core.WarnMemberSilent:
			return false
		}
	}
	return alive == count
}
