package membership

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
)

// entry holds the state of one other member.
type entry struct {
	member        core.Member
	lastHeartbeat time.Time               // when the member last sent a heartbeat
	stateSince    time.Time               // when the member entered its state
	missed        int                     // consecutive heartbeats that the member did not answer
	reporters     map[core.VMID]time.Time // members that reported it as unreachable, and when
	confirmers    []core.VMID             // members that are asked to confirm that it is unreachable

	listed        bool // has been in the VM list
	listedLeaving bool
	unlistedSince time.Time // when it disappeared from the VM list; zero while it is listed

	sendsLeft    int // remaining transmissions of its update
	tagSendsLeft int // remaining transmissions of its tag
}

// effectiveMember returns the member with its state as reported outside the view: an
// alive member that the VM list shows as leaving is leaving.
func (e *entry) effectiveMember() core.Member {
	m := e.member
	if m.State == core.MemberAlive && e.listedLeaving {
		m.State = core.MemberLeaving
	}
	return m
}

// StateChange is a change of a member's state in the view of this process.
type StateChange struct {
	VM       core.VMID
	From, To core.MemberState
}

// maxChanges limits the changes stored until DrainChanges; later ones are dropped.
const maxChanges = 1024

// View is the view that one entry process has of all members. It is not safe for
// concurrent use; tables.Members guards it.
type View struct {
	self     core.Member
	seeds    []string
	entries  map[core.VMID]*entry
	order    []*entry                  // sorted by VM
	tags     map[core.MemberTag]*entry // nil for a tag that several members share
	partners []partner

	newest       core.Generation // newest known generation
	weights      map[core.DeploymentName]*weight
	updates      []*entry // entries with sendsLeft > 0, oldest change first
	applied      []*entry // entries with tagSendsLeft > 0
	orderCursor  int      // last entry of order that appendUnchanged sent
	weightCursor int      // last deployment whose weights were sent in round-robin order

	lastDenial       time.Time // when this process last denied being unreachable
	lastRound        time.Time
	urgentRoundsLeft int // remaining urgent rounds
	changes          []StateChange
}

// weight is the newest known weight version of a deployment.
type weight struct {
	update    core.WeightUpdate
	sendsLeft int
}

// New returns the view of a process that knows only its seeds: peer addresses from
// its settings. Self is the record of the process itself.
func New(self core.Member, seeds []string) *View {
	self.State = core.MemberAlive
	self.Sequence = max(self.Sequence, 1)
	return &View{
		self:    self,
		seeds:   slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == self.PeerAddress }),
		entries: make(map[core.VMID]*entry),
		tags:    make(map[core.MemberTag]*entry),
		newest:  self.Generation,
		weights: make(map[core.DeploymentName]*weight),
	}
}

// Heartbeat returns a heartbeat that may be sent to any member, also between rounds.
func (v *View) Heartbeat() core.Heartbeat { return v.buildHeartbeat(math.MaxInt) }

// Self returns the record of this process.
func (v *View) Self() core.Member { return v.self }

// Members returns the known members and this process, sorted by VM, with the
// states that are reported to callers.
func (v *View) Members() []core.Member {
	members := make([]core.Member, 0, len(v.order)+1)
	for _, e := range v.order {
		members = append(members, e.effectiveMember())
	}
	at, _ := slices.BinarySearchFunc(members, v.self.VM, func(m core.Member, vm core.VMID) int {
		return strings.Compare(string(m.VM), string(vm))
	})
	return slices.Insert(members, at, v.self)
}

// Newest returns the newest known generation.
func (v *View) Newest() core.Generation { return v.newest }

// SetLoad sets the number of requests in flight that the process reports.
func (v *View) SetLoad(load uint32) { v.self.Load = load }

// SetGeneration records that the process has applied a generation. It ignores
// generations that are not newer than the applied one.
func (v *View) SetGeneration(generation core.Generation) {
	if generation <= v.self.Generation {
		return
	}
	v.self.Generation = generation
	v.raiseNewest(generation)
	v.urgentRoundsLeft = urgentRounds
}

// SetWeights records a published weight version. It returns false if the version
// is not newer than the known one.
func (v *View) SetWeights(update core.WeightUpdate) bool {
	known, found := v.weights[update.Deployment]
	if found && known.update.Version >= update.Version {
		return false
	}
	v.weights[update.Deployment] = &weight{update, transmitLimit(v.aliveCount(), core.MemberAlive)}
	v.urgentRoundsLeft = urgentRounds
	return true
}

// Leave marks the process as leaving. It cannot be undone.
func (v *View) Leave() {
	if v.self.State == core.MemberLeaving {
		return
	}
	v.self.State = core.MemberLeaving
	v.self.Sequence++
	v.urgentRoundsLeft = urgentRounds
}

// DrainChanges returns the state changes since the previous call and clears them.
func (v *View) DrainChanges() []StateChange {
	changes := v.changes
	v.changes = nil
	return changes
}

// aliveCount returns the number of alive members, including this process.
func (v *View) aliveCount() int {
	alive := 1
	for _, e := range v.order {
		if e.member.State == core.MemberAlive {
			alive++
		}
	}
	return alive
}

// knownCount returns the number of members known from a heartbeat, including this
// process.
func (v *View) knownCount() int {
	known := 1
	for _, e := range v.order {
		if e.member.Incarnation != 0 {
			known++
		}
	}
	return known
}

// add inserts an entry for a new member.
func (v *View) add(now time.Time, member core.Member) *entry {
	e := &entry{member: member, stateSince: now}
	v.entries[member.VM] = e
	at, _ := slices.BinarySearchFunc(v.order, member.VM, compareEntry)
	v.order = slices.Insert(v.order, at, e)
	v.index(e)
	return e
}

// remove deletes the entry of a member.
func (v *View) remove(e *entry) {
	delete(v.entries, e.member.VM)
	v.order = slices.DeleteFunc(v.order, func(other *entry) bool { return other == e })
	v.updates = slices.DeleteFunc(v.updates, func(other *entry) bool { return other == e })
	v.applied = slices.DeleteFunc(v.applied, func(other *entry) bool { return other == e })
	clear(v.tags)
	for _, other := range v.order {
		v.index(other)
	}
}

// replace stores a newer record of a member.
func (v *View) replace(now time.Time, e *entry, member core.Member) {
	v.setState(now, e, member.State)
	restarted := member.Incarnation != e.member.Incarnation
	if !restarted {
		member.Generation = max(member.Generation, e.member.Generation)
	}
	if restarted && v.tags[tagOf(e.member)] == e {
		delete(v.tags, tagOf(e.member))
	}
	e.member = member
	if restarted {
		v.index(e)
	}
}

func (v *View) setState(now time.Time, e *entry, state core.MemberState) {
	if e.member.State == state {
		return
	}
	if len(v.changes) < maxChanges {
		v.changes = append(v.changes, StateChange{e.member.VM, e.member.State, state})
	}
	e.member.State = state
	e.stateSince = now
}

// index adds the tag of a member to the index. A tag that several members share
// maps to nil.
func (v *View) index(e *entry) {
	tag := tagOf(e.member)
	other, found := v.tags[tag]
	if found && other != e {
		v.tags[tag] = nil
		return
	}
	v.tags[tag] = e
}

func compareEntry(e *entry, vm core.VMID) int {
	return strings.Compare(string(e.member.VM), string(vm))
}

func tagOf(m core.Member) core.MemberTag {
	h := fnv.New32a()
	h.Write([]byte(m.VM))
	incarnation := uint64(m.Incarnation)
	for range 8 {
		h.Write([]byte{byte(incarnation)})
		incarnation >>= 8
	}
	return core.MemberTag(h.Sum32())
}
