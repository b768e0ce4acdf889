package warnings

import (
	"os"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
)

var now = time.Date(2027, 3, 4, 5, 6, 7, 0, time.UTC)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// healthy returns facts that cause no warning.
func healthy() Facts {
	return Facts{
		Now: now, Generation: 7,
		Members: []core.Member{
			{VM: "entry-1", State: core.MemberAlive, Generation: 7},
			{VM: "entry-2", State: core.MemberGone, Generation: 6},
		},
		Outages: []core.PlatformOutage{{Service: core.PlatformTables, Since: ago(time.Second), Seen: now}},
		Keys:    core.KeysState{CertificateUntil: now.Add(365 * 24 * time.Hour), AuthorityUntil: now.Add(3650 * 24 * time.Hour)},
		Deployments: []Deployment{{
			Name: "coach", Refused: 9, RefusedAt: ago(time.Hour),
			Weights: Weights{Newest: 12, Learned: ago(20 * time.Second), Engines: 9, Behind: 4},
			Step:    Step{Number: 3, Since: ago(2 * time.Minute), Work: 3 * time.Minute},
		}},
	}
}

var cases = []struct {
	name   string
	change func(*Facts, *Deployment)
	kind   core.WarningKind // empty for no warning
	want   string           // part of the message
}{
	{"healthy", func(*Facts, *Deployment) {}, "", ""},
	{"platform out", func(f *Facts, _ *Deployment) {
		f.Outages = []core.PlatformOutage{{Service: core.PlatformVMList, Since: ago(time.Minute), Seen: ago(time.Second)}}
	}, core.WarnPlatformOutage, "the platform's VM list has not answered since 2027-03-04 05:05:07 UTC, last call 1s ago"},
	{"silent entry VM", func(f *Facts, _ *Deployment) { f.Members[0].State = core.MemberSuspect },
		core.WarnMemberSilent, "entry VM entry-1 does not answer heartbeats"},
	{"entry VM behind", func(f *Facts, _ *Deployment) { f.Generation = 8 },
		core.WarnMemberBehind, "entry VM entry-1 runs an older configuration, generation 7"},
	{"certificate expires soon", func(f *Facts, _ *Deployment) { f.Keys.CertificateUntil = now.Add(72 * time.Hour) },
		core.WarnKeysExpire, "the certificate of this entry VM ends on 2027-03-07 05:06:07 UTC, in 72h0m0s"},
	{"certificate expired", func(f *Facts, _ *Deployment) { f.Keys.CertificateUntil = ago(time.Second) },
		core.WarnKeysExpire, "the certificate of this entry VM ended on 2027-03-04 05:06:06 UTC"},
	{"authority expires soon", func(f *Facts, _ *Deployment) { f.Keys.AuthorityUntil = now.Add(time.Hour) },
		core.WarnKeysExpire, "the authority of this entry VM ends on"},
	{"changed keys not in use", func(f *Facts, _ *Deployment) { f.Keys.Problem = "load certificate.pem" },
		core.WarnKeysUnusable, "changed key files are not in use, the old ones are: load certificate.pem"},
	{"ejected server", func(f *Facts, _ *Deployment) {
		f.Ejected = []Ejection{{Server: "engine-1", Service: "coach-model", Until: now.Add(time.Minute)}}
	}, core.WarnServerEjected, "backend server engine-1 of coach-model is ejected until 2027-03-04 05:07:07 UTC"},
	{"full queue", func(_ *Facts, d *Deployment) { d.RefusedAt, d.Waiting = ago(2*time.Second), 64 },
		core.WarnQueueFull, "deployment coach refuses requests for its limits: 9 since this process started, the last 2s ago; 64 wait"},
	{"weights lag", func(_ *Facts, d *Deployment) { d.Weights.Learned = ago(time.Minute) },
		core.WarnWeightsLag, "4 of 9 engines of coach do not serve weight version 12, known for 1m0s"},
	{"weights slow but complete", func(_ *Facts, d *Deployment) { d.Weights.Learned, d.Weights.Behind = ago(time.Minute), 0 }, "", ""},
	{"swap failed", func(_ *Facts, d *Deployment) { d.Weights.Failing = 2 },
		core.WarnWeightsLag, "known for 20s; the last order to 2 of them failed"},
	{"prompts missing", func(_ *Facts, d *Deployment) { d.Problem = "prompts p cannot be read" },
		core.WarnPromptsMissing, "prompts p cannot be read"},
	{"trainer waits longer than it works", func(_ *Facts, d *Deployment) { d.Step.Since = ago(4 * time.Minute) },
		core.WarnTrainerWaits, "the trainer of coach asked for step 3 at 2027-03-04 05:02:07 UTC and has waited for 4m0s; its work on a step takes 3m0s"},
	{"trainer waits for its first step", func(_ *Facts, d *Deployment) { d.Step.Work, d.Step.Since = 0, ago(61*time.Second) },
		core.WarnTrainerWaits, "has waited for 1m1s; its work on a step takes a time not yet known"},
	{"trainer does not wait", func(_ *Facts, d *Deployment) { d.Step.Since = time.Time{} }, "", ""},
}

// TestFindReportsEachFault also checks that the section of each warning exists on
// core.WarningPage.
func TestFindReportsEachFault(t *testing.T) {
	page, err := os.ReadFile("../../../" + core.WarningPage)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range cases {
		facts := healthy()
		test.change(&facts, &facts.Deployments[0])
		found := Find(&facts)
		if test.kind == "" {
			if len(found) > 0 {
				t.Errorf("%s: %+v, want no warning", test.name, found)
			}
			continue
		}
		if len(found) != 1 || found[0].Kind != test.kind || !strings.Contains(found[0].Message, test.want) {
			t.Errorf("%s: %+v, want only a warning %s with %q", test.name, found, test.kind, test.want)
			continue
		}
		if found[0].Subject == "" || !strings.Contains(string(page), "\n| "+found[0].Section+" |") {
			t.Errorf("%s: subject %q must be set and section %q must be on the page", test.name, found[0].Subject, found[0].Section)
		}
	}
}

// TestWarningsBeyondLimitAreCounted ejects all servers of a large site.
func TestWarningsBeyondLimitAreCounted(t *testing.T) {
	const servers = 6100
	facts := healthy()
	facts.Members[0].State = core.MemberSuspect
	facts.Ejected = make([]Ejection, servers)
	found := Find(&facts)
	last := found[len(found)-1]
	if len(found) != 1+maxPerKind+1 || last.Kind != core.WarnServerEjected || last.Message != "6090 more of the kind server_ejected" {
		t.Errorf("%d warnings, the last is %+v", len(found), last)
	}
}
