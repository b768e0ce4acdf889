package announce

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

const every = 500 * time.Millisecond

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func rows(beats map[core.VMID]uint64) map[core.VMID]core.MemberRecord {
	found := make(map[core.VMID]core.MemberRecord)
	for id, beat := range beats {
		found[id] = core.MemberRecord{CallAddress: string(id), Region: "r", Beat: beat, Every: every}
	}
	return found
}

func TestAMemberThatStopsIsGone(t *testing.T) {
	view := NewView()
	for i := range 10 {
		view.Observe(rows(map[core.VMID]uint64{"a": uint64(i), "b": 1}), at(0.3*float64(i)))
	}
	live := view.Live()
	if len(live) != 1 || live[0].VM != "a" {
		t.Errorf("live %+v, want a alone", live)
	}
}

// TestAnOutageCountsForNobody reads nothing for ten seconds, in which nobody
// could write either.
func TestAnOutageCountsForNobody(t *testing.T) {
	view := NewView()
	view.Observe(rows(map[core.VMID]uint64{"a": 1, "b": 1}), at(0))
	view.Observe(rows(map[core.VMID]uint64{"a": 1, "b": 1}), at(10))
	if live := view.Live(); len(live) != 2 {
		t.Errorf("%d members live after an outage, want 2", len(live))
	}
}

// TestStrongMembersAreFoundAmongTheAnnounced gives a fleet of unequal VMs: what a
// VM announces of its power must reach the choice of coordinators.
// TestMembersAreKeptUntilTheyCanWriteAgain lets an outage begin when a member is
// about to write, and gives it one interval after the outage.
func TestMembersAreKeptUntilTheyCanWriteAgain(t *testing.T) {
	view := NewView()
	row := rows(map[core.VMID]uint64{"a": 1})
	look := every.Seconds() / 4
	now := 0.0
	for ; now < every.Seconds(); now += look {
		view.Observe(row, at(now))
	}
	for now += 10; now < 10+2*every.Seconds(); now += look {
		view.Observe(row, at(now))
		if len(view.Live()) == 0 {
			t.Fatalf("gone %.2f s after the outage", now-10-every.Seconds())
		}
	}
}

func TestStrongMembersAreFoundAmongTheAnnounced(t *testing.T) {
	found := rows(map[core.VMID]uint64{"strong": 1, "weak": 1})
	for id, power := range map[core.VMID]int{"strong": 800, "weak": 192} {
		record := found[id]
		record.Power = power
		found[id] = record
	}
	view := NewView()
	view.Observe(found, at(0))
	if strong := Strong(view.Live()); len(strong) != 1 || strong[0].VM != "strong" {
		t.Errorf("strong members %+v, want strong alone", strong)
	}
}

// TestNoWeakVMIsACandidate goes over a fleet in which weak VMs outnumber strong
// ones, so that many of them rank before the strong.
func TestNoWeakVMIsACandidate(t *testing.T) {
	var live []core.Member
	for i := range 40 {
		live = append(live, core.Member{VM: core.VMID(fmt.Sprint("vm-", i)), Power: 192})
	}
	for i := range 4 {
		live = append(live, core.Member{VM: core.VMID(fmt.Sprint("strong-", i)), Power: 800})
	}
	candidates := 0
	for _, member := range live {
		if !IsCandidate("x", member.VM, live) {
			continue
		}
		candidates++
		if member.Power != 800 {
			t.Errorf("%s with %d thousandths of a core is a candidate", member.VM, member.Power)
		}
	}
	if candidates != lease.Candidates {
		t.Errorf("%d candidates, want %d", candidates, lease.Candidates)
	}
}

func TestALeavingMemberIsNotListed(t *testing.T) {
	found := rows(map[core.VMID]uint64{"a": 1, "b": 1})
	leaving := found["b"]
	leaving.Leaving = true
	found["b"] = leaving
	view := NewView()
	view.Observe(found, at(0))
	if live := view.Live(); len(live) != 1 || live[0].VM != "a" {
		t.Errorf("live %+v, want a alone", live)
	}
}

func TestAddressesAreOfTheRegionWhileItHasEnough(t *testing.T) {
	member := func(id int, region core.RegionName) core.Member {
		return core.Member{VM: core.VMID(fmt.Sprint(id)), CallAddress: fmt.Sprint(region, id), Region: region}
	}
	live := []core.Member{member(1, "east"), member(2, "east"), member(3, "west")}
	if got := Addresses(live, "east"); len(got) != 2 {
		t.Errorf("east gets %v", got)
	}
	if got := Addresses(live, "west"); len(got) != 3 {
		t.Errorf("west, with one member, gets %v, want all", got)
	}
}

// TestReadsStayWithinTheStoresRate goes up to the two-year size at the rates of
// a grown site: 6,000 reads a second, a change in force everywhere within 4 s.
func TestReadsStayWithinTheStoresRate(t *testing.T) {
	const reads, least, inForce = 6000, 300 * time.Millisecond, 4 * time.Second
	for _, members := range []int{1, 10, 59, 300, 610} {
		each, look := ReadEvery(least, members, reads), LookEvery(least, members)
		perSecond := float64(members) * (2/each.Seconds() + 1/look.Seconds())
		if perSecond > reads/2 {
			t.Errorf("%d members read %.0f times a second, want at most half of %d", members, perSecond, reads)
		}
		if each < least || each > inForce/4 {
			t.Errorf("%d members look at routes each %v, want %v to %v", members, each, least, inForce/4)
		}
		if rows := float64(members) / look.Seconds(); rows > 1000 {
			t.Errorf("each of %d members reads %.0f rows a second, want at most 1,000", members, rows)
		}
	}
}

func TestAnnouncementsStayWithinTheStoresRate(t *testing.T) {
	for _, members := range []int{1, 10, 100, 610} {
		perSecond := float64(members) / Every(members).Seconds()
		if perSecond > beatsPerSecond {
			t.Errorf("%d members write %.0f rows a second, at most %d", members, perSecond, beatsPerSecond)
		}
	}
}

func TestStrongMembersCoordinate(t *testing.T) {
	live := []core.Member{{VM: "a", Power: 800}, {VM: "b", Power: 192}, {VM: "c", Power: 700}}
	if got := Strong(live); len(got) != 2 || got[0].VM != "a" || got[1].VM != "c" {
		t.Errorf("strong %+v, want a and c", got)
	}
	untold := []core.Member{{VM: "a"}, {VM: "b"}}
	if got := Strong(untold); len(got) != 2 {
		t.Errorf("%d of two members count where no power is told", len(got))
	}
}
