package membership

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
)

// entry is what the process knows of one other member.
type entry struct {
	member    core.Member
	heard     time.Time // last heartbeat from the member itself
	since     time.Time // when it got its state
	missed    int       // consecutive heartbeats that it did not answer
	witnesses map[core.VMID]time.Time
	asked     []core.VMID // members asked to confirm that it is unreachable

	listed        bool // seen in the VM list
	listedLeaving bool
	unlisted      time.Time // since when the VM list lacks it, zero while it has it

	sends    int // transmissions left of its update
	tagSends int // transmissions left of its applied tag
}

// effective returns the member with the state that callers are told.
func (e *entry) effective() core.Member {
	m := e.member
	if m.State == core.MemberAlive && e.listedLeaving {
		m.State = core.MemberLeaving
	}
	return m
}

// Change tells that a member's state changed in this process's view.
type Change struct {
	VM       core.VMID
	From, To core.MemberState
}

// maxChanges bounds the changes kept until TakeChanges.
const maxChanges = 1024

// View is one entry process's view of all. It is not safe for concurrent use;
// tables.Members guards it.
type View struct {
	self     core.Member
	seeds    []string
	entries  map[core.VMID]*entry
	order    []*entry                  // by VM
	tags     map[core.MemberTag]*entry // nil for an ambiguous tag
	partners []partner

	newest  core.Generation // newest generation heard of
	weights map[core.DeploymentName]*weight
	updates []*entry // with sends left, oldest change first
	applied []*entry // with tagSends left
	cursor  int      // next entry of order to send without a change
	turn    int      // next deployment's weights to send without a change

	denied    time.Time // when the process last denied being unreachable
	lastRound time.Time
	urgent    int // urgent rounds left
	changes   []Change
}

type weight struct {
	news  core.WeightNews
	sends int
}

// New returns the view of a process that knows its seeds only. Self is the
// process's own record; seeds are peer addresses from its settings.
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

// Beat returns a heartbeat that may be sent out of turn to any member.
func (v *View) Beat() core.Heartbeat { return v.beat(math.MaxInt) }

// Self returns the process's own record.
func (v *View) Self() core.Member { return v.self }

// Members returns the known members and the process itself, by VM, in the
// state that callers are told.
func (v *View) Members() []core.Member {
	members := make([]core.Member, 0, len(v.order)+1)
	for _, e := range v.order {
		members = append(members, e.effective())
	}
	at, _ := slices.BinarySearchFunc(members, v.self.VM, func(m core.Member, vm core.VMID) int {
		return strings.Compare(string(m.VM), string(vm))
	})
	return slices.Insert(members, at, v.self)
}

// Newest returns the newest generation heard of.
func (v *View) Newest() core.Generation { return v.newest }

// SetLoad sets the requests in flight that the process reports.
func (v *View) SetLoad(load uint32) { v.self.Load = load }

// SetGeneration tells that the process has applied a generation. Older ones
// than it applied before are ignored.
func (v *View) SetGeneration(generation core.Generation) {
	if generation <= v.self.Generation {
		return
	}
	v.self.Generation = generation
	v.raiseNewest(generation)
	v.urgent = urgentRounds
}

// SetWeights tells of a published weight version. It returns false when the
// version is not newer than the one known.
func (v *View) SetWeights(news core.WeightNews) bool {
	known, found := v.weights[news.Deployment]
	if found && known.news.Version >= news.Version {
		return false
	}
	v.weights[news.Deployment] = &weight{news, transmitLimit(v.count(), core.MemberAlive)}
	v.urgent = urgentRounds
	return true
}

// Leave marks the process as leaving, for good.
func (v *View) Leave() {
	if v.self.State == core.MemberLeaving {
		return
	}
	v.self.State = core.MemberLeaving
	v.self.Sequence++
	v.urgent = urgentRounds
}

// TakeChanges returns the changes of state since the last call.
func (v *View) TakeChanges() []Change {
	taken := v.changes
	v.changes = nil
	return taken
}

// count returns the alive members, the process included.
func (v *View) count() int {
	alive := 1
	for _, e := range v.order {
		if e.member.State == core.MemberAlive {
			alive++
		}
	}
	return alive
}

// known returns the members of which a heartbeat told.
func (v *View) known() int {
	known := 1
	for _, e := range v.order {
		if e.member.Incarnation != 0 {
			known++
		}
	}
	return known
}

// add inserts a new member.
func (v *View) add(now time.Time, member core.Member) *entry {
	e := &entry{member: member, since: now}
	v.entries[member.VM] = e
	at, _ := slices.BinarySearchFunc(v.order, member.VM, compareEntry)
	v.order = slices.Insert(v.order, at, e)
	v.index(e)
	return e
}

// remove forgets a member.
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

// replace takes over a newer record of a member.
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
		v.changes = append(v.changes, Change{e.member.VM, e.member.State, state})
	}
	e.member.State = state
	e.since = now
}

// index makes a member's tag findable; a shared tag finds nobody.
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
