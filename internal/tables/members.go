package tables

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/lockrank"
)

// Members is the shared table of the other entry processes.
type Members struct {
	// mu guards all fields below.
	mu     lockrank.Mutex
	view   *membership.View
	random *rand.Rand
}

// NewMembers returns the table of a process that knows its seed addresses only.
func NewMembers(self core.Member, seeds []string, random *rand.Rand) *Members {
	return &Members{mu: lockrank.New(lockrank.RankMembers), view: membership.New(self, seeds), random: random}
}

// with runs f under the lock.
func with[T any](m *Members, f func(*membership.View) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f(m.view)
}

func (m *Members) do(f func(*membership.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.view)
}

// Round returns the heartbeats of a round and when the next round is due. The
// latter may move earlier with every other call: see NextRound.
func (m *Members) Round(now time.Time) (sends []membership.Send, next time.Time) {
	m.do(func(v *membership.View) {
		sends = v.Round(now, m.random)
		next = v.NextRound()
	})
	return sends, next
}

// NextRound returns when the next round is due.
func (m *Members) NextRound() time.Time {
	return with(m, (*membership.View).NextRound)
}

// Beat returns a heartbeat that may be sent out of turn to any member.
func (m *Members) Beat() core.Heartbeat { return with(m, (*membership.View).Beat) }

// Receive takes a heartbeat and returns the answer to it.
func (m *Members) Receive(now time.Time, beat core.Heartbeat) (answer core.Heartbeat, news membership.News) {
	m.do(func(v *membership.View) { answer, news = v.Receive(now, beat) })
	return answer, news
}

// Answered takes the answer to a heartbeat of a round.
func (m *Members) Answered(now time.Time, beat core.Heartbeat) membership.News {
	return with(m, func(v *membership.View) membership.News { return v.Answered(now, beat) })
}

// Missed takes note that a heartbeat of a round failed.
func (m *Members) Missed(now time.Time, vm core.VMID) {
	m.do(func(v *membership.View) { v.Missed(now, vm) })
}

// ObserveVMs takes the platform's VM list.
func (m *Members) ObserveVMs(now time.Time, vms []core.VM) {
	m.do(func(v *membership.View) { v.ObserveVMs(now, vms) })
}

// SetGeneration tells that the process has applied a generation.
func (m *Members) SetGeneration(generation core.Generation) {
	m.do(func(v *membership.View) { v.SetGeneration(generation) })
}

// SetWeights tells of a published weight version; false when it is not newer.
func (m *Members) SetWeights(news core.WeightNews) bool {
	return with(m, func(v *membership.View) bool { return v.SetWeights(news) })
}

// SetLoad sets the requests in flight that the process reports.
func (m *Members) SetLoad(load uint32) {
	m.do(func(v *membership.View) { v.SetLoad(load) })
}

// Leave withdraws the process's address.
func (m *Members) Leave() { m.do((*membership.View).Leave) }

// All returns all members and the process itself, by VM.
func (m *Members) All() []core.Member { return with(m, (*membership.View).Members) }

// Addresses chooses the entry addresses that a caller is told.
func (m *Members) Addresses(query membership.AddressQuery) membership.AddressAnswer {
	return membership.Addresses(query, m.All())
}

// TakeChanges returns the changes of state since the last call, for the log.
func (m *Members) TakeChanges() []membership.Change {
	return with(m, (*membership.View).TakeChanges)
}

// MembersState is the table's part of the state dump.
type MembersState struct {
	Self    core.VMID       `json:"self"`
	Newest  core.Generation `json:"newest_generation"` // heard of, applied or not
	Members []MemberState   `json:"members"`
}

// MemberState is one member in the state dump.
type MemberState struct {
	VM          core.VMID        `json:"vm"`
	Incarnation core.Incarnation `json:"incarnation"`
	State       string           `json:"state"`
	Zone        core.ZoneName    `json:"zone"`
	Region      core.RegionName  `json:"region"`
	PeerAddress string           `json:"peer_address"`
	CallAddress string           `json:"call_address"`
	Generation  core.Generation  `json:"generation"` // known to be applied
	Load        uint32           `json:"load"`
}

// State returns the table's content for the state dump.
func (m *Members) State() MembersState {
	var state MembersState
	var members []core.Member
	m.do(func(v *membership.View) {
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

// Member returns a known entry process, this one included.
func (m *Members) Member(vm core.VMID) (core.Member, bool) {
	members := m.All()
	at := slices.IndexFunc(members, func(member core.Member) bool { return member.VM == vm })
	if at < 0 {
		return core.Member{}, false
	}
	return members[at], true
}

// Live returns the entry processes that are believed to serve, this one
// included while it does.
func (m *Members) Live() []core.Member {
	return slices.DeleteFunc(m.All(), func(member core.Member) bool { return member.State != core.MemberAlive })
}
