package membership

import (
	"fmt"
	"slices"
	"testing"

	"fescuespar/internal/core"
)

func fleet(count int) []core.Member {
	var members []core.Member
	for i := range count {
		m := member(core.VMID(fmt.Sprintf("e%02d", i)))
		m.Zone = core.ZoneName([]string{"z0", "z1", "z2"}[i%3])
		members = append(members, m)
	}
	return members
}

func TestAddressesAvoidSuspectAndLeavingMembers(t *testing.T) {
	cases := []struct {
		name   string
		states []core.MemberState
		want   []string
	}{
		{"alive", []core.MemberState{core.MemberAlive, core.MemberSuspect, core.MemberLeaving, core.MemberGone}, []string{"e00:2"}},
		{"suspect", []core.MemberState{core.MemberLeaving, core.MemberSuspect, core.MemberLeaving, core.MemberGone}, []string{"e01:2"}},
		{"leaving", []core.MemberState{core.MemberLeaving, core.MemberGone, core.MemberGone, core.MemberGone}, []string{"e00:2"}},
		{"none", []core.MemberState{core.MemberGone, core.MemberGone, core.MemberGone, core.MemberGone}, nil},
	}
	for _, c := range cases {
		members := fleet(4)
		for i, state := range c.states {
			members[i].State = state
		}
		answer := Addresses(AddressQuery{Caller: "x", Zone: "z1", Count: 3}, members)
		if !slices.Equal(answer.Addresses, c.want) {
			t.Errorf("%s: %v, want %v", c.name, answer.Addresses, c.want)
		}
	}
}

func TestAddressesPreferCallerZoneAndIncludeAnother(t *testing.T) {
	members := fleet(30)
	answer := Addresses(AddressQuery{Caller: "x", Zone: "z2", Count: 3}, members)
	var zones []core.ZoneName
	for _, address := range answer.Addresses {
		at := slices.IndexFunc(members, func(m core.Member) bool { return m.CallAddress == address })
		zones = append(zones, members[at].Zone)
	}
	if len(zones) != 3 || zones[0] != "z2" || zones[1] != "z2" || zones[2] == "z2" {
		t.Errorf("zones = %v", zones)
	}
}

func TestAddressesBalanceCallersAndStayStable(t *testing.T) {
	const callers = 3000
	firstChoices := make(map[string]int)
	movedFromOthers, movedTotal := 0, 0
	members, withSuspect := fleet(10), fleet(10)
	withSuspect[4].State = core.MemberSuspect
	loaded := fleet(10)
	loaded[7].Load = 1000
	overloadedChoices := 0
	for i := range callers {
		query := AddressQuery{Caller: core.CallerName(fmt.Sprintf("caller-%d", i)), Count: 1}
		address := Addresses(query, members).Addresses[0]
		firstChoices[address]++
		if after := Addresses(query, withSuspect).Addresses[0]; after != address {
			movedTotal++
			if address != "e04:2" {
				movedFromOthers++
			}
		}
		if Addresses(query, loaded).Addresses[0] == "e07:2" {
			overloadedChoices++
		}
	}
	for address, count := range firstChoices {
		if count < callers/10*3/4 || count > callers/10*5/4 {
			t.Errorf("%s is the first choice of %d of %d callers", address, count, callers)
		}
	}
	if movedFromOthers != 0 || movedTotal == 0 {
		t.Errorf("after e04 became suspect, %d callers of other members and %d callers in total moved", movedFromOthers, movedTotal)
	}
	if overloadedChoices == 0 || overloadedChoices > firstChoices["e07:2"]/3 {
		t.Errorf("the overloaded member is the first choice of %d callers, was of %d", overloadedChoices, firstChoices["e07:2"])
	}
}
