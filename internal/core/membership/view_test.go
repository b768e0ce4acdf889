package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
)

var start = time.Unix(1e9, 0)

func member(vm core.VMID) core.Member {
	return core.Member{VM: vm, Incarnation: 1, Sequence: 1, PeerAddress: string(vm) + ":1", CallAddress: string(vm) + ":2"}
}

// viewOf returns the view of member a after a heartbeat from each of the others.
func viewOf(others ...core.VMID) *View {
	v := New(member("a"), nil)
	for _, vm := range others {
		v.Receive(start, core.Heartbeat{Sender: member(vm)})
	}
	return v
}

func stateOf(v *View, vm core.VMID) core.MemberState { return v.entries[vm].member.State }

func TestLaterRecordWins(t *testing.T) {
	known := core.Member{VM: "b", Incarnation: 5, Sequence: 5, State: core.MemberSuspect}
	cases := []struct {
		name     string
		received core.Member
		want     bool
	}{
		{"later incarnation", core.Member{Incarnation: 6}, true},
		{"earlier incarnation", core.Member{Incarnation: 4, Sequence: 9, State: core.MemberLeaving}, false},
		{"later sequence", core.Member{Incarnation: 5, Sequence: 6}, true},
		{"earlier sequence", core.Member{Incarnation: 5, Sequence: 4, State: core.MemberGone}, false},
		{"larger state", core.Member{Incarnation: 5, Sequence: 5, State: core.MemberLeaving}, true},
		{"smaller state", core.Member{Incarnation: 5, Sequence: 5, State: core.MemberAlive}, false},
		{"the same", known, false},
	}
	for _, c := range cases {
		if got := isNewer(c.received, known); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSuspicionRequiresReports(t *testing.T) {
	v := viewOf("b", "c", "d", "e")
	for range 20 {
		v.RecordMissed(start, "b")
	}
	if got := stateOf(v, "b"); got != core.MemberAlive {
		t.Fatalf("without reports: %v", got)
	}
	v.Receive(start, core.Heartbeat{Sender: member("c"), Unreached: []core.VMID{"b"}})
	v.Receive(start, core.Heartbeat{Sender: member("c"), Unreached: []core.VMID{"b"}})
	if got := stateOf(v, "b"); got != core.MemberAlive {
		t.Fatalf("with two reports by the same member: %v", got)
	}
	late := start.Add(ReportLifetime + time.Second)
	v.Receive(late, core.Heartbeat{Sender: member("d"), Unreached: []core.VMID{"b"}})
	if got := stateOf(v, "b"); got != core.MemberAlive {
		t.Fatalf("with one valid and one expired report: %v", got)
	}
	v.Receive(late, core.Heartbeat{Sender: member("e"), Unreached: []core.VMID{"b"}})
	if got := stateOf(v, "b"); got != core.MemberSuspect {
		t.Fatalf("with reports by two members: %v", got)
	}
	v.Receive(late, core.Heartbeat{Sender: member("b")})
	if got := stateOf(v, "b"); got != core.MemberAlive {
		t.Fatalf("after its own heartbeat: %v", got)
	}
}

func TestMemberRefutesSuspicionOfItself(t *testing.T) {
	v := viewOf("b")
	suspected := v.Self()
	suspected.State = core.MemberSuspect
	answer, _ := v.Receive(start, core.Heartbeat{Sender: member("b"), Members: []core.Member{suspected}})
	if answer.Sender.State != core.MemberAlive || !isNewer(answer.Sender, suspected) {
		t.Errorf("answer's sender is %+v", answer.Sender)
	}
	other := viewOf("b")
	other.setState(start, other.entries["b"], core.MemberSuspect)
	answer, _ = other.Receive(start, core.Heartbeat{Sender: member("b")})
	last := answer.Members[len(answer.Members)-1]
	if last.VM != "b" || last.State != core.MemberSuspect {
		t.Errorf("the answer to b does not report that b was suspect: %+v", answer.Members)
	}
}

func TestLeavingMemberIsWithdrawnPermanently(t *testing.T) {
	v := viewOf("b")
	leaving := member("b")
	leaving.Sequence, leaving.State = 2, core.MemberLeaving
	v.Receive(start, core.Heartbeat{Sender: leaving})
	v.Receive(start, core.Heartbeat{Sender: member("c"), Members: []core.Member{member("b")}})
	if got := stateOf(v, "b"); got != core.MemberLeaving {
		t.Errorf("after an old record: %v", got)
	}
	answer := Addresses(AddressQuery{Caller: "x", Count: 3}, v.Members())
	if len(answer.Addresses) != 2 || answer.CacheFor != ShortAddressCacheTime {
		t.Errorf("answer = %+v, want a and c for a short time", answer)
	}
	v.Leave()
	if v.Self().State != core.MemberLeaving || v.Self().Sequence != 2 || v.NextRound().Sub(v.lastRound) != UrgentInterval {
		t.Errorf("own record after Leave: %+v", v.Self())
	}
}

func TestVMListWithdrawsAndRemovesMembers(t *testing.T) {
	v := viewOf("b")
	random := rand.New(rand.NewPCG(1, 1))
	list := []core.VM{{ID: "b", Kind: core.KindEntry, State: core.VMLeaving}, {ID: "e", Kind: core.KindEngine}}
	v.ObserveVMs(start, list)
	if got := v.Members()[1].State; len(v.Members()) != 2 || got != core.MemberLeaving {
		t.Fatalf("members %+v", v.Members())
	}
	v.ObserveVMs(start, nil)
	v.setState(start, v.entries["b"], core.MemberSuspect)
	steps := []struct {
		after time.Duration
		want  core.MemberState
	}{{UnlistedTimeout - time.Second, core.MemberSuspect}, {UnlistedTimeout, core.MemberGone}}
	for _, s := range steps {
		v.Round(start.Add(s.after), random)
		if got := stateOf(v, "b"); got != s.want {
			t.Errorf("after %v: %v, want %v", s.after, got, s.want)
		}
	}
	v.Round(start.Add(UnlistedTimeout+GoneRetention), random)
	if len(v.Members()) != 1 || len(v.tags) != 0 {
		t.Errorf("not removed: %+v", v.Members())
	}
}

func TestSeedsAreTriedWhileIsolated(t *testing.T) {
	v := New(member("a"), []string{"a:1", "b:1", "c:1", "d:1"})
	random := rand.New(rand.NewPCG(1, 1))
	if sends := v.Round(start, random); len(sends) != maxSeeds {
		t.Errorf("sends = %+v", sends)
	}
	v.ReceiveAnswer(start, core.Heartbeat{Sender: member("b")})
	if sends := v.Round(start, random); len(sends) != 1 || sends[0].VM != "b" {
		t.Errorf("sends = %+v, want b only", sends)
	}
}

func TestAmbiguousTagIsIgnored(t *testing.T) {
	first, second := sameTag(t)
	v := New(member("a"), nil)
	for _, vm := range []core.VMID{first, second, "z"} {
		v.Receive(start, core.Heartbeat{Sender: member(vm)})
	}
	tags := []core.MemberTag{tagOf(member(first)), tagOf(member("z"))}
	v.Receive(start, core.Heartbeat{Sender: member("z"), Newest: 7, Applied: tags})
	for _, vm := range []core.VMID{first, second} {
		if v.entries[vm].member.Generation != 0 {
			t.Errorf("%s was marked by a tag that it shares with another member", vm)
		}
	}
	if v.entries["z"].member.Generation != 7 {
		t.Error("z was not marked by its unambiguous tag")
	}
}

// sameTag returns two VMs whose members have the same tag.
func sameTag(t *testing.T) (a, b core.VMID) {
	seen := make(map[core.MemberTag]core.VMID)
	for i := range 1 << 20 {
		vm := core.VMID(fmt.Sprintf("entry-%d", i))
		if other, found := seen[tagOf(member(vm))]; found {
			return other, vm
		}
		seen[tagOf(member(vm))] = vm
	}
	t.Fatal("no two VM names with the same tag found")
	return "", ""
}

func TestGenerationNeverDecreases(t *testing.T) {
	v := viewOf("b")
	v.SetGeneration(5)
	v.SetGeneration(4)
	sender := member("b")
	sender.Generation = 4
	_, result := v.Receive(start, core.Heartbeat{Sender: sender, Newest: 4})
	if v.Self().Generation != 5 || v.Newest() != 5 || result.Generation != 0 {
		t.Errorf("own %d, newest %d, result %+v", v.Self().Generation, v.Newest(), result)
	}
	sender.Generation = 6
	_, result = v.Receive(start, core.Heartbeat{Sender: sender, Newest: 6})
	if result.Generation != 6 || result.From != "b:1" {
		t.Errorf("result = %+v", result)
	}
}
