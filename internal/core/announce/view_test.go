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

func TestMemberExpiresWithoutAnnouncements(t *testing.T) {
	view := NewView()
	for i := range 10 {
		view.Observe(rows(map[core.VMID]uint64{"a": uint64(i), "b": 1}), at(0.3*float64(i)))
	}
	live := view.Live()
	if len(live) != 1 || live[0].VM != "a" {
		t.Errorf("live members %+v, want only a", live)
	}
}

// TestOutageExpiresNoMember has an outage of ten seconds in which rows could be
// neither read nor written.
func TestOutageExpiresNoMember(t *testing.T) {
	view := NewView()
	view.Observe(rows(map[core.VMID]uint64{"a": 1, "b": 1}), at(0))
	view.Observe(rows(map[core.VMID]uint64{"a": 1, "b": 1}), at(10))
	if live := view.Live(); len(live) != 2 {
		t.Errorf("%d members live after an outage, want 2", len(live))
	}
}

// TestMemberStaysLiveForOneIntervalAfterOutage starts an outage just before a
// member's next write. The member must stay live for the interval that it needs to
// write after the outage.
func TestMemberStaysLiveForOneIntervalAfterOutage(t *testing.T) {
	view := NewView()
	row := rows(map[core.VMID]uint64{"a": 1})
	readInterval := every.Seconds() / 4
	now := 0.0
	for ; now < every.Seconds(); now += readInterval {
		view.Observe(row, at(now))
	}
	for now += 10; now < 10+2*every.Seconds(); now += readInterval {
		view.Observe(row, at(now))
		if len(view.Live()) == 0 {
			t.Fatalf("member expired %.2f s after the outage", now-10-every.Seconds())
		}
	}
}

// TestStrongUsesAnnouncedPower has VMs of unequal power: the power that a VM
// announces must be used in the choice of coordinators.
func TestStrongUsesAnnouncedPower(t *testing.T) {
	found := rows(map[core.VMID]uint64{"strong": 1, "weak": 1})
	for id, power := range map[core.VMID]int{"strong": 800, "weak": 192} {
		record := found[id]
		record.Power = power
		found[id] = record
	}
	view := NewView()
	view.Observe(found, at(0))
	if strong := StrongMembers(view.Live()); len(strong) != 1 || strong[0].VM != "strong" {
		t.Errorf("strong members %+v, want only strong", strong)
	}
}

// TestWeakVMIsNoCandidate has more weak than strong VMs, so that many weak ones
// rank before the strong ones.
func TestWeakVMIsNoCandidate(t *testing.T) {
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
	if candidates != lease.CandidatesPerLease {
		t.Errorf("%d candidates, want %d", candidates, lease.CandidatesPerLease)
	}
}

func TestLeavingMemberIsNotLive(t *testing.T) {
	found := rows(map[core.VMID]uint64{"a": 1, "b": 1})
	leaving := found["b"]
	leaving.Leaving = true
	found["b"] = leaving
	view := NewView()
	view.Observe(found, at(0))
	if live := view.Live(); len(live) != 1 || live[0].VM != "a" {
		t.Errorf("live members %+v, want only a", live)
	}
}

func TestAddressesPreferRegionWithEnoughMembers(t *testing.T) {
	member := func(id int, region core.RegionName) core.Member {
		return core.Member{VM: core.VMID(fmt.Sprint(id)), CallAddress: fmt.Sprint(region, id), Region: region}
	}
	live := []core.Member{member(1, "east"), member(2, "east"), member(3, "west")}
	if got := Addresses(live, "1", "east"); len(got) != 2 {
		t.Errorf("addresses for east: %v, want its two members", got)
	}
	if got := Addresses(live, "1", "west"); len(got) != 3 {
		t.Errorf("addresses for west, which has one member: %v, want all", got)
	}
}

// TestAddressesAreSpread has a region with more members than callers use: every zone
// must be among the addresses, and all processes together must name all members.
func TestAddressesAreSpread(t *testing.T) {
	const zones, perZone = 3, 50
	var live []core.Member
	zoneOf := make(map[string]int)
	for i := range zones * perZone {
		address := fmt.Sprintf("10.0.0.%d", i)
		zoneOf[address] = i / perZone
		live = append(live, core.Member{
			VM: core.VMID(fmt.Sprintf("vm-%03d", i)), CallAddress: address, Region: "east", Zone: core.ZoneName(fmt.Sprint("zone-", i/perZone)),
		})
	}
	named := make(map[string]bool)
	for _, process := range live {
		addresses := Addresses(live, process.VM, "east")
		if len(addresses) != maxAddresses {
			t.Fatalf("%d addresses, want %d", len(addresses), maxAddresses)
		}
		count := make(map[int]int)
		for _, address := range addresses {
			named[address] = true
			count[zoneOf[address]]++
		}
		for zone := range zones {
			if count[zone] < maxAddresses/zones {
				t.Fatalf("%d addresses in zone %d, want at least %d", count[zone], zone, maxAddresses/zones)
			}
		}
	}
	if len(named) != len(live) {
		t.Errorf("%d of %d members are named by any process", len(named), len(live))
	}
}

// TestReadsStayWithinTableServiceRate covers fleets up to the size expected in two
// years, at the rates of a large site: 6,000 reads per second, changes in force
// everywhere within 4 s, and processes that count as in contact after 4 s.
func TestReadsStayWithinTableServiceRate(t *testing.T) {
	const reads, least, inForce, inContact = 6000, 300 * time.Millisecond, 4 * time.Second, 4 * time.Second
	for _, members := range []int{1, 10, 59, 300, 610} {
		pollInterval, memberReadInterval := PollInterval(least, members, reads), MemberReadInterval(least, members)
		crashReadInterval, keyReadInterval := CrashReadInterval(least, members, reads), KeyReadInterval(least, members, reads)
		perSecond := float64(members) * (2/pollInterval.Seconds() + 1/memberReadInterval.Seconds() +
			1/crashReadInterval.Seconds() + 1/keyReadInterval.Seconds())
		if perSecond > reads/2 {
			t.Errorf("%d members make %.0f reads per second, want at most half of %d", members, perSecond, reads)
		}
		if pollInterval < least || pollInterval > inForce/4 {
			t.Errorf("%d members poll routes every %v, want %v to %v", members, pollInterval, least, inForce/4)
		}
		if crashReadInterval < least || crashReadInterval > inContact {
			t.Errorf("%d members poll crash records every %v, want %v to %v", members, crashReadInterval, least, inContact)
		}
		if rows := float64(members) / memberReadInterval.Seconds(); rows > 1000 {
			t.Errorf("each of %d members reads %.0f rows per second, want at most 1,000", members, rows)
		}
	}
}

func TestAnnouncementsStayWithinTableServiceRate(t *testing.T) {
	for _, members := range []int{1, 10, 100, 610} {
		perSecond := float64(members) / Interval(members).Seconds()
		if perSecond > announcementsPerSecond {
			t.Errorf("%d members write %.0f rows per second, want at most %d", members, perSecond, announcementsPerSecond)
		}
	}
}

func TestStrongSelectsByPower(t *testing.T) {
	live := []core.Member{{VM: "a", Power: 800}, {VM: "b", Power: 192}, {VM: "c", Power: 700}}
	if got := StrongMembers(live); len(got) != 2 || got[0].VM != "a" || got[1].VM != "c" {
		t.Errorf("strong %+v, want a and c", got)
	}
	withoutPower := []core.Member{{VM: "a"}, {VM: "b"}}
	if got := StrongMembers(withoutPower); len(got) != 2 {
		t.Errorf("%d strong members of two without a known power, want both", len(got))
	}
}
