package tables

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/lockrank"
)

// Members holds this process's view of all entry processes.
type Members struct {
	// mu guards all fields below.
	mu     lockrank.Mutex
	view   *membership.View
	random *rand.Rand
}

// NewMembers returns the table of a process that knows only the seed addresses.
func NewMembers(self core.Member, seeds []string, random *rand.Rand) *Members {
	return &Members{mu: lockrank.New(lockrank.RankMembers), view: membership.New(self, seeds), random: random}
}

// withView runs f under the lock and returns its result.
func withView[T any](m *Members, f func(*membership.View) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f(m.view)
}

// updateView runs f under the lock.
func (m *Members) updateView(f func(*membership.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.view)
}

// BeginRound returns the heartbeats of a round and when the next round is due. Later
// calls of other methods may move that time forward; see NextRound.
func (m *Members) BeginRound(now time.Time) (sends []membership.Send, next time.Time) {
	m.updateView(func(v *membership.View) {
		sends = v.Round(now, m.random)
		next = v.NextRound()
	})
	return sends, next
}

// NextRound returns when the next round is due.
func (m *Members) NextRound() time.Time {
	return withView(m, (*membership.View).NextRound)
}

// Heartbeat returns a heartbeat that may be sent to any member between rounds.
func (m *Members) Heartbeat() core.Heartbeat { return withView(m, (*membership.View).Heartbeat) }

// ReceiveHeartbeat applies a peer's heartbeat and returns the answer to it.
func (m *Members) ReceiveHeartbeat(now time.Time, heartbeat core.Heartbeat) (answer core.Heartbeat, result membership.HeartbeatResult) {
	m.updateView(func(v *membership.View) { answer, result = v.Receive(now, heartbeat) })
	return answer, result
}

// ReceiveAnswer applies the answer to a heartbeat of a round.
func (m *Members) ReceiveAnswer(now time.Time, answer core.Heartbeat) membership.HeartbeatResult {
	return withView(m, func(v *membership.View) membership.HeartbeatResult { return v.ReceiveAnswer(now, answer) })
}

// RecordMissed records that a member did not answer a heartbeat of a round.
func (m *Members) RecordMissed(now time.Time, vm core.VMID) {
	m.updateView(func(v *membership.View) { v.RecordMissed(now, vm) })
}

// ObserveVMs applies the platform's VM list.
func (m *Members) ObserveVMs(now time.Time, vms []core.VM) {
	m.updateView(func(v *membership.View) { v.ObserveVMs(now, vms) })
}

// SetGeneration sets the configuration generation that this process has applied.
func (m *Members) SetGeneration(generation core.Generation) {
	m.updateView(func(v *membership.View) { v.SetGeneration(generation) })
}

// SetWeights records a published weight version. It returns false if the version
// is not newer than the known one.
func (m *Members) SetWeights(update core.WeightUpdate) bool {
	return withView(m, func(v *membership.View) bool { return v.SetWeights(update) })
}

// SetLoad sets the number of requests in flight that this process reports.
func (m *Members) SetLoad(load uint32) {
	m.updateView(func(v *membership.View) { v.SetLoad(load) })
}

// WithdrawAddress withdraws this process's address, so that callers are no
// longer sent to it.
func (m *Members) WithdrawAddress() { m.updateView((*membership.View).Leave) }

// All returns all members including this process, sorted by VM.
func (m *Members) All() []core.Member { return withView(m, (*membership.View).Members) }

// Addresses selects the entry addresses to return to a caller.
func (m *Members) Addresses(query membership.AddressQuery) membership.AddressAnswer {
	return membership.Addresses(query, m.All())
}

// TakeChanges returns the changes of members' states since the last call, for
// the log.
func (m *Members) TakeChanges() []membership.StateChange {
	return withView(m, (*membership.View).DrainChanges)
}

// MembersState is the table's part of the state dump.
type MembersState struct {
	Self    core.VMID       `json:"self"`
	Newest  core.Generation `json:"newest_generation"` // newest one known, applied or not
	Members []MemberState   `json:"members"`
}

// MemberState is one member's part of the state dump.
type MemberState struct {
	VM          core.VMID        `json:"vm"`
	Incarnation core.Incarnation `json:"incarnation"`
	State       string           `json:"state"`
	Zone        core.ZoneName    `json:"zone"`
	Region      core.RegionName  `json:"region"`
	PeerAddress string           `json:"peer_address"`
	CallAddress string           `json:"call_address"`
	Generation  core.Generation  `json:"generation"` // newest one that the member reported as applied
	Load        uint32           `json:"load"`
}

// State returns the table's contents for the state dump.
func (m *Members) State() MembersState {
	var state MembersState
	var members []core.Member
	m.updateView(func(v *membership.View) {
		state = MembersState{Self: v.Self().VM, Newest: v.Newest()}
		members = v.Members()
	})
	for _, member := range members {
		state.Members = append(state.Members, memberState(member))
	}
	return state
}

func memberState(m core.Member) MemberState {
	return MemberState{
		VM: m.VM, Incarnation: m.Incarnation, State: m.State.String(), Zone: m.Zone, Region: m.Region,
		PeerAddress: m.PeerAddress, CallAddress: m.CallAddress, Generation: m.Generation, Load: m.Load,
	}
}

// Member returns a known entry process, which may be this one.
func (m *Members) Member(vm core.VMID) (core.Member, bool) {
	members := m.All()
	index := slices.IndexFunc(members, func(member core.Member) bool { return member.VM == vm })
	if index < 0 {
		return core.Member{}, false
	}
	return members[index], true
}

// Live returns the members in state MemberAlive, which may include this process.
func (m *Members) Live() []core.Member {
	return slices.DeleteFunc(m.All(), func(member core.Member) bool { return member.State != core.MemberAlive })
}
