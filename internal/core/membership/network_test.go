package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/adapters/peerquic"
	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
)

// network simulates the exchanges between views on a virtual clock. Each message
// takes oneWay; a lost request or answer is a missed heartbeat.
type network struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	queue  events
	views  []*membership.View
	byPeer map[string]int
	dead   map[int]bool
	cut    func(from, to int) bool // reports whether messages are dropped
	due    []time.Time             // time of each view's next round
	loss   float64                 // probability that a message is lost
	size   func(core.Heartbeat) int

	counting         bool
	bytes, exchanges int               // of all members; each message is counted once
	falseSuspicions  int               // times that a live member became suspect
	suspects         map[int]time.Time // when a view first suspected a dead member
	applied          map[int]time.Time // when a member applied the watched generation
	watched          core.Generation
}

const oneWay = 6 * time.Millisecond

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func record(i int) core.Member {
	return core.Member{
		VM: core.VMID(fmt.Sprintf("entry-%04d", i)), Incarnation: 1_700_000_000_000 + core.Incarnation(i),
		PeerAddress: fmt.Sprintf("10.1.%d.%d:7443", i/250, i%250), CallAddress: fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250),
		Zone: core.ZoneName(fmt.Sprintf("qc-est-%d", i%12)), Region: core.RegionName(fmt.Sprintf("region-%d", i%5)), Generation: 1000, Sequence: 1,
	}
}

// newNetwork returns a network whose members know each other from the VM list.
func newNetwork(t testing.TB, members int, loss float64, seed uint64) *network {
	n := &network{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), byPeer: map[string]int{},
		dead: map[int]bool{}, cut: func(int, int) bool { return false }, loss: loss, suspects: map[int]time.Time{}, applied: map[int]time.Time{}}
	n.size = func(beat core.Heartbeat) int {
		size, err := peerquic.HeartbeatSize(beat)
		if err != nil {
			t.Fatal(err)
		}
		return size
	}
	var list []core.VM
	for i := range members {
		m := record(i)
		list = append(list, core.VM{ID: core.ServerID(m.VM), Kind: core.KindEntry, Address: m.PeerAddress, Zone: m.Zone, Region: m.Region, State: core.VMLive})
	}
	n.due = make([]time.Time, members)
	for i := range members {
		m := record(i)
		v := membership.New(m, nil)
		v.ObserveVMs(n.now, list)
		n.views = append(n.views, v)
		n.byPeer[m.PeerAddress] = i
		n.schedule(i, n.now.Add(time.Duration(n.random.Int64N(int64(time.Second)))))
	}
	return n
}

func (n *network) after(d time.Duration, run func()) { heap.Push(&n.queue, event{n.now.Add(d), run}) }

// run advances the virtual clock and runs the events that are due.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
	}
	n.now = end
}

func (n *network) schedule(i int, at time.Time) {
	if n.due[i].Equal(at) {
		return
	}
	n.due[i] = at
	n.after(at.Sub(n.now), func() {
		if n.due[i].Equal(at) && !n.dead[i] {
			n.round(i)
		}
	})
}

func (n *network) round(i int) {
	for _, send := range n.views[i].Round(n.now, n.random) {
		n.exchange(i, send)
	}
	n.observe(i)
}

// observe schedules the view's next round and records its state changes.
func (n *network) observe(i int) {
	next := n.views[i].NextRound()
	if next.Before(n.now) {
		next = n.now
	}
	n.schedule(i, next)
	for _, change := range n.views[i].DrainChanges() {
		var member int
		fmt.Sscanf(string(change.VM), "entry-%d", &member)
		_, seen := n.suspects[i]
		switch {
		case change.To == core.MemberSuspect && !n.dead[member]:
			n.falseSuspicions++
		case change.To == core.MemberSuspect && !seen:
			n.suspects[i] = n.now
		}
	}
}

func (n *network) lost() bool { return n.random.Float64() < n.loss }

func (n *network) exchange(from int, send membership.Send) {
	to, known := n.byPeer[send.Address]
	if n.counting {
		n.exchanges++
	}
	n.count(send.Heartbeat)
	if !known || n.lost() || n.dead[to] || n.cut(from, to) {
		n.miss(from, send.VM)
		return
	}
	n.after(oneWay, func() {
		answer, result := n.views[to].Receive(n.now, send.Heartbeat)
		n.apply(to, result)
		n.count(answer)
		if n.lost() {
			n.miss(from, send.VM)
			return
		}
		n.after(oneWay, func() {
			n.apply(from, n.views[from].ReceiveAnswer(n.now, answer))
		})
	})
}

func (n *network) count(beat core.Heartbeat) {
	if n.counting {
		n.bytes += n.size(beat)
	}
}

func (n *network) miss(from int, vm core.VMID) {
	n.after(membership.HeartbeatTimeout, func() {
		n.views[from].RecordMissed(n.now, vm)
		n.observe(from)
	})
}

// apply simulates the fetch of a newer configuration from the process that reported
// it. Its request or answer may be lost.
func (n *network) apply(i int, result membership.HeartbeatResult) {
	n.observe(i)
	if result.Generation == 0 || n.lost() || n.lost() {
		return
	}
	n.after(2*oneWay, func() { n.setGeneration(i, result.Generation) })
}

func (n *network) setGeneration(i int, generation core.Generation) {
	n.views[i].SetGeneration(generation)
	if _, found := n.applied[i]; !found && generation == n.watched {
		n.applied[i] = n.now
	}
	n.observe(i)
}
