package tables

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

type memberRow struct {
	member core.Member
	heard  time.Time
}

// Members holds what this process knows of the other entry processes.
type Members struct {
	seeds []string

	// mu guards all fields below.
	mu     lockrank.Mutex
	self   core.Member
	rows   map[core.VMID]*memberRow
	listed []string // peer addresses in the platform's VM list
}

// NewMembers returns a table that knows this process and the seed addresses.
func NewMembers(self core.Member, seeds []string) *Members {
	return &Members{
		mu: lockrank.New(lockrank.RankMembers), self: self, seeds: seeds,
		rows: make(map[core.VMID]*memberRow),
	}
}

// ApplyVMs takes the entry VMs of a VM list.
func (t *Members) ApplyVMs(vms []core.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = t.listed[:0]
	for _, vm := range vms {
		if vm.Kind == core.KindEntry {
			t.listed = append(t.listed, vm.Address)
		}
	}
}

// Targets returns the addresses to send a heartbeat to.
func (t *Members) Targets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := append(slices.Clone(t.seeds), t.listed...)
	for _, row := range t.rows {
		targets = append(targets, row.member.PeerAddress)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(address string) bool { return address == t.self.PeerAddress })
}

// Beat returns the heartbeat to send.
func (t *Members) Beat(weights []core.WeightNews) core.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Sequence++
	return core.Heartbeat{Sender: t.self, Weights: weights}
}

// Merge takes in a heartbeat.
func (t *Members) Merge(beat core.Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if beat.Sender.VM == t.self.VM {
		return
	}
	row := t.rows[beat.Sender.VM]
	if row == nil {
		row = &memberRow{}
		t.rows[beat.Sender.VM] = row
	}
	if beat.Sender.Incarnation < row.member.Incarnation {
		return
	}
	row.member = beat.Sender
	row.heard = now
}

// Expire marks members as suspect that were not heard of since the given time.
func (t *Members) Expire(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		if row.member.State == core.MemberAlive && row.heard.Before(before) {
			row.member.State = core.MemberSuspect
		}
	}
}

// SetGeneration records the configuration in force here.
func (t *Members) SetGeneration(generation core.Generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Generation = generation
}

// SetLeaving withdraws this process.
func (t *Members) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = core.MemberLeaving
}

// Member returns a known entry process, this one included.
func (t *Members) Member(vm core.VMID) (core.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if vm == t.self.VM {
		return t.self, true
	}
	row := t.rows[vm]
	if row == nil {
		return core.Member{}, false
	}
	return row.member, true
}

// All returns every known entry process, this one included, sorted by VM.
func (t *Members) All() []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []core.Member{t.self}
	for _, row := range t.rows {
		all = append(all, row.member)
	}
	slices.SortFunc(all, func(a, b core.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return all
}

// Live returns the entry processes that are believed to serve.
func (t *Members) Live() []core.Member {
	return slices.DeleteFunc(t.All(), func(m core.Member) bool { return m.State != core.MemberAlive })
}
