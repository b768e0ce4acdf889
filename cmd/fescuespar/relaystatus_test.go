package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"fescuespar/internal/app/relay"
	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/pace"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// runCommand parses args, runs a subcommand and returns its output.
func runCommand(t *testing.T, command flags.Commander, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	previous := stdout
	stdout = &out
	defer func() { stdout = previous }()
	_, err := flags.NewParser(command, flags.PassDoubleDash).ParseArgs(args)
	if err == nil {
		err = command.Execute(nil)
	}
	return out.String(), err
}

func TestRelayStatus(t *testing.T) {
	state := relay.State{
		Phase: "serving", InFlight: 3, Routes: 17, RoutesConfirmedAt: time.Unix(1e9+5, 0),
		Outages: []core.PlatformOutage{{Service: "servers", Since: time.Unix(1e9, 0)}},
		Members: []core.Member{{VM: "entry-2", State: core.MemberSuspect, Zone: "z", CallAddress: "10.0.0.2:80"}},
		Leases:  []tables.LeaseState{{Name: "work|service/m", State: "held", Owner: "entry-1", Fence: 9}},
		Jobs:    []job.Summary{{Job: "j-4", Account: "hule930", Running: 5, Stored: 7}},
		Accounts: &tables.AccountsState{
			Accounts: 80, Keys: 161, ConfirmedAt: time.Unix(1e9, 0),
			Refused: map[account.Refusal]uint64{account.NoKey: 4, account.RemovedKey: 3}, Removed: map[core.AccountName]uint64{"fida11": 3},
		},
		Slots: []tables.SlotState{{Service: "coach", Stream: true, Slots: 352, Short: 41}},
		Usage: &relay.UsageState{
			Holder: "entry-3", Window: 353445121, CountedThrough: 353445119, Lost: 4, ClockDeviation: 1500 * time.Millisecond,
			Reports: &usage.Summary{Next: 353445119, Owed: 6, Late: 2, Oldest: 353445112},
		},
		Servers: []routing.View{
			{VM: core.VM{ID: "i-1", Service: "m"}, Ejected: true, EjectedUntil: time.Unix(1e9, 0)},
			{VM: core.VM{ID: "i-2", Service: "m"}},
			{VM: core.VM{ID: "i-3", Service: "m"}, Paced: pace.Cold, PaceShare: 0.25},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(state); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	text, err := runCommand(t, &statusCommand{}, "--relay", "--address", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"route table 17 in force, as read at " + time.Unix(1e9+5, 0).Format(time.RFC3339), "does not answer: servers", "entry-2", "suspect", "work|service/m", "j-4", "i-1", "ejected until",
		"80 accounts with 161 keys in force", "refused with no_key: 4", "removed keys of account fida11: 3", "hule930",
		"streams", "352", "41", "i-3", "is cold, gets 25%",

		"window 353445121", "4 requests lost", "off by 1.5s", "reported by entry-3", "6 owed, 2 of them late, oldest of window 353445112"} {
		if !strings.Contains(text, want) {
			t.Errorf("output does not contain %q:\n%s", want, text)
		}
	}
	if strings.Contains(text, "i-2") {
		t.Errorf("output lists i-2, which is not excluded from work:\n%s", text)
	}
	if _, err := runCommand(t, &statusCommand{}, "--relay", "--address", "127.0.0.1:1"); !errkind.Is(err, errkind.PeerUnreachable) {
		t.Errorf("status of a closed port: error %v, want %s", err, errkind.PeerUnreachable)
	}
}

const sampleLog = `{"level":"warn","vm":"entry-1","server":"i-3","why":"fails","time":"2026-12-04T10:00:01Z","message":"backend server ejected"}
{"level":"info","vm":"entry-1","request":"r-7","attempt":1,"server":"i-3","why":"cut","time":"2026-12-04T10:00:02Z","message":"attempt failed"}
{"level":"info","vm":"entry-1","request":"r-7","routes":17,"time":"2026-12-04T10:00:03Z","message":"request ended"}
{"level":"warn","vm":"entry-1","request":"r-8","reason":"removed_key","account":"fida11","removed_by":18,"time":"2026-12-04T10:00:04Z","message":"key refused"}
`

func TestExplainAndReport(t *testing.T) {
	directory := t.TempDir()
	file := filepath.Join(directory, "entry-1.log")
	if err := os.WriteFile(file, []byte(sampleLog), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want []string
		not  string
	}{
		{[]string{"r-7", file}, []string{"attempt failed", "2 of 4 lines name r-7"}, "ejected"},
		{[]string{"--around", "10s", "r-7", file}, []string{". 10:00:01.000", "why=fails"}, ""},
		{[]string{"routes=17", file}, []string{"request ended", "1 of 4 lines"}, "attempt failed"},
		{[]string{"r-8", file}, []string{"key refused", "reason=removed_key", "account=fida11", "removed_by=18"}, ""},
	} {
		text, err := runCommand(t, &explainCommand{}, c.args...)
		if err != nil {
			t.Errorf("%v: %v", c.args, err)
		}
		for _, want := range c.want {
			if !strings.Contains(text, want) || c.not != "" && strings.Contains(text, c.not) {
				t.Errorf("explain %v: want %q and not %q in the output:\n%s", c.args, want, c.not, text)
			}
		}
	}
	page := filepath.Join(t.TempDir(), "report.html")
	text, err := runCommand(t, &reportCommand{}, directory, "--page", page)
	if err != nil || !strings.Contains(text, "requests: served") || !strings.Contains(text, "backend server ejected") {
		t.Errorf("report: %v\n%s", err, text)
	}
	if content, err := os.ReadFile(page); err != nil || !strings.Contains(string(content), "<svg") {
		t.Errorf("page is missing or has no chart: %v", err)
	}
	if _, err := runCommand(t, &reportCommand{}, t.TempDir(), "--page", page); exitCode(err) != exitUsage {
		t.Errorf("report on an empty directory: error %v, want exit code %d", err, exitUsage)
	}
}
