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

// documentedCommands returns the commands in a section of a documentation page.
func documentedCommands(t *testing.T, page, section string) []string {
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

// runDocumented runs a documented command of the product in a directory.
func runDocumented(ctx context.Context, t *testing.T, directory, command string) {
	t.Helper()
	arguments := strings.Fields(command)
	if arguments[0] != "fescuespar" {
		t.Fatalf("%q is not a command of the product", command)
	}
	process := exec.CommandContext(ctx, filepath.Join(binaries, arguments[0]), arguments[1:]...)
	process.Dir = directory
	if output, err := process.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", command, err, output)
	}
}

// forEntry returns a documented command with the files and address of an entry
// process.
func forEntry(command string, entry *site.Entry) string {
	replacer := strings.NewReplacer("keys/entry-1", entry.KeyDirectory, "entry-1", string(entry.VM), "192.0.2.10", net.IPv4(127, 0, 0, 1).String())
	return replacer.Replace(command)
}

// newCertificateRound is the round in which certificates of the new authority are
// issued.
const newCertificateRound = 1

// TestAuthorityIsReplacedUnderLoad runs the documented commands that replace the
// authority while callers and a trainer are served. Further entry processes join
// while only one of three processes has a certificate of the new authority, and
// again at the end, because they open new connections to all others.
func TestAuthorityIsReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	commands := documentedCommands(t, "../../docs/SECURITY.md", "Replacing the authority")
	if len(commands) != 4 {
		t.Fatalf("the page has %d commands, want 4", len(commands))
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	callerDone := make(chan caller.Summary, 1)
	go func() { callerDone <- loadUntil(loadCtx, ctx, entries) }()
	trainerDone := make(chan trainer.Summary, 1)
	go func() {
		summary, err := trainer.Run(ctx, trainerOptions(entries, 12))
		if err != nil {
			t.Error(err)
		}
		trainerDone <- summary
	}()
	runDocumented(ctx, t, s.Directory(), commands[0])
	for round, command := range commands[1:] {
		for number, entry := range entries {
			runDocumented(ctx, t, s.Directory(), forEntry(command, entry))
			if round == newCertificateRound && number == 0 {
				oldAuthority, newAuthority := s.AuthorityDirectory, filepath.Join(s.Directory(), "authority-new")
				s.AuthorityDirectory, s.TrustedAuthorities = newAuthority, []string{oldAuthority, newAuthority}
				entries = append(entries, startFurtherEntry(ctx, t, s))
				awaitAllAlive(ctx, t, s, entries)
			}
		}
		awaitAllAlive(ctx, t, s, entries)
	}
	s.TrustedAuthorities = nil
	entries = append(entries, startFurtherEntry(ctx, t, s))
	awaitAllAlive(ctx, t, s, entries)
	endLoad()
	if load := <-callerDone; load.Correct != load.Requests || load.Requests == 0 {
		t.Errorf("callers: %+v", load)
	} else {
		t.Logf("%d of %d answers complete, slowest %d ms", load.Correct, load.Requests, load.SlowestMS)
	}
	if summary := <-trainerDone; !summary.IsValid() || summary.Steps != 12 {
		t.Errorf("trainer: %+v", summary)
	}
}

// loadUntil sends rounds of completions until the context until ends.
func loadUntil(until, ctx context.Context, entries []*site.Entry) caller.Summary {
	var all caller.Summary
	for round := 0; until.Err() == nil; round++ {
		options := callerOptions(entries, fmt.Sprintf("load-%d", round), 60)
		options.Concurrency = 12
		summary, _ := caller.Run(ctx, options)
		all.Requests += summary.Requests
		all.Correct += summary.Correct
		all.SlowestMS = max(all.SlowestMS, summary.SlowestMS)
		all.Notes = append(all.Notes, summary.Notes...)
	}
	return all
}

// startFurtherEntry starts another entry process of the site.
func startFurtherEntry(ctx context.Context, t *testing.T, s *site.Site) *site.Entry {
	t.Helper()
	entry, err := s.StartEntry(ctx, "z1", "r")
	if err != nil {
		t.Fatal(err)
	}
	awaitGeneration(ctx, t, entry, 1)
	return entry
}

// awaitAllAlive waits until every entry process sees all others alive with the
// generation in force, which it learns only from heartbeats, and warns neither of
// silent members nor of unusable keys.
func awaitAllAlive(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry) {
	t.Helper()
	for _, observer := range entries {
		for !seesAllAlive(ctx, s, observer, len(entries)) {
			if ctx.Err() != nil {
				status, err := s.Status(context.Background(), observer)
				t.Fatalf("%s: %+v, %v", observer.VM, status, err)
			}
			sleep(100 * time.Millisecond)
		}
	}
}

func seesAllAlive(ctx context.Context, s *site.Site, observer *site.Entry, count int) bool {
	status, err := statusOf(ctx, s, observer)
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
