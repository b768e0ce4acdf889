package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
)

// quicBytes is the overhead of one exchange beyond the two messages: packet
// headers, acknowledgements, UDP and IP (BenchmarkHeartbeat in peerquic).
const quicBytes = 306

// measureSpread publishes a generation at the first member. It returns the time
// until the last live member has applied it, whether all have, and the number of
// members that the first one knows to have applied it after another 15 s.
func measureSpread(n *network, limit time.Duration) (last time.Duration, everywhere bool, acknowledged int) {
	n.watched = n.views[0].Newest() + 1
	clear(n.applied)
	start := n.now
	n.setGeneration(0, n.watched)
	n.run(limit)
	for _, at := range n.applied {
		last = max(last, at.Sub(start))
	}
	everywhere = len(n.applied) == len(n.views)-len(n.dead)
	n.run(15 * time.Second)
	for _, m := range n.views[0].Members() {
		if m.Generation == n.watched {
			acknowledged++
		}
	}
	return last, everywhere, acknowledged
}

// measurements are the results for one fleet size and packet loss.
type measurements struct {
	idle, changing  float64       // bytes per second that a member sends and receives
	allToAll        float64       // the same if all members send to all
	spread          time.Duration // until all members have applied a generation
	everywhere      bool          // all members applied the generation within FleetSpreadTime
	acknowledged    int           // members that the publisher knows to have applied it
	firstSuspicion  time.Duration
	lastSuspicion   time.Duration
	suspecting      int // members that suspect the dead member after 60 s
	falseSuspicions int
}

func measure(t testing.TB, members int, loss float64) measurements {
	n := newNetwork(t, members, loss, 1)
	n.run(settleTime)
	n.counting = true
	n.run(idleTime)
	f := measurements{idle: perSecond(n, idleTime), allToAll: allToAll(n)}
	f.spread, f.everywhere, f.acknowledged = measureSpread(n, membership.FleetSpreadTime)
	n.bytes, n.exchanges = 0, 0
	for range changes {
		n.setGeneration(0, n.views[0].Newest()+1)
		n.run(changeInterval)
	}
	f.changing = perSecond(n, changes*changeInterval)
	n.dead[members-1] = true
	died := n.now
	n.run(detectionTime)
	f.firstSuspicion = time.Hour
	for _, at := range n.suspects {
		f.firstSuspicion = min(f.firstSuspicion, at.Sub(died))
		f.lastSuspicion = max(f.lastSuspicion, at.Sub(died))
	}
	f.suspecting = len(n.suspects)
	f.falseSuspicions = n.falseSuspicions
	return f
}

const (
	settleTime     = 240 * time.Second
	idleTime       = 30 * time.Second
	changes        = 2
	changeInterval = 23 * time.Second // 3,800 changes per day
	detectionTime  = 60 * time.Second
)

// TestBudgets checks traffic, spread time and failure detection against the
// budgets, from a small fleet up to FleetSize.
func TestBudgets(t *testing.T) {
	cases := []struct {
		members int
		loss    float64
		spread  time.Duration // maximum
	}{
		{10, 0, membership.SmallFleetSpreadTime},
		{10, 0.05, membership.SmallFleetSpreadTime},
		{10, 0.20, membership.SmallFleetSpreadTime},
		{100, 0.05, membership.FleetSpreadTime},
		{membership.FleetSize, 0.05, membership.FleetSpreadTime},
	}
	for _, c := range cases {
		f := measure(t, c.members, c.loss)
		t.Logf("%d members, loss %v: %+v", c.members, c.loss, f)
		if !f.everywhere || f.spread > c.spread {
			t.Errorf("new generation applied by all members: %v, after %v, want within %v", f.everywhere, f.spread, c.spread)
		}
		if c.loss <= 0.05 && f.changing > membership.BytesPerSecondBudget {
			t.Errorf("%.0f bytes/s per member, want at most %d", f.changing, membership.BytesPerSecondBudget)
		}
		if c.loss <= 0.05 && f.falseSuspicions > 0 {
			t.Errorf("%d false suspicions", f.falseSuspicions)
		}
		if f.suspecting != c.members-1 {
			t.Errorf("%d of %d members suspect the dead member", f.suspecting, c.members-1)
		}
	}
}

// BenchmarkFigures prints the table of docs/design/membership.md. Run it once:
// -benchtime 1x.
func BenchmarkFigures(b *testing.B) {
	for _, members := range []int{10, 100, 300, membership.FleetSize} {
		for _, loss := range []float64{0, 0.05, 0.20} {
			b.Logf("%d members, loss %v: %+v", members, loss, measure(b, members, loss))
		}
	}
}

// handshakeBytes is the size of a first exchange on the wire (BenchmarkHandshake in
// peerquic). Each member starts one and answers one for each new partner.
const (
	handshakeBytes    = 7452
	partnersPerSecond = 1.0 / 60
)

// perSecond returns the bytes per second that one member sends and receives,
// including handshakes with new partners.
func perSecond(n *network, d time.Duration) float64 {
	total := float64(n.bytes + quicBytes*n.exchanges)
	handshakes := 0.0
	if len(n.views) > membership.SmallFleetSize {
		handshakes = 2 * handshakeBytes * partnersPerSecond
	}
	return 2*total/float64(len(n.views))/d.Seconds() + handshakes
}

// allToAll returns the same as perSecond for a protocol in which every member
// exchanges its own record with every other member once per second.
func allToAll(n *network) float64 {
	beat := core.Heartbeat{Sender: record(0)}
	return 2 * float64(len(n.views)-1) * float64(2*n.size(beat)+quicBytes)
}

var benchSizes = []int{10, 100, 300, membership.FleetSize}

// settled returns a network that has reached its steady state. It is shared by all
// benchmarks of the same size.
func settled(b *testing.B, members int) *network {
	if n, found := settledNetworks[members]; found {
		n.t = b
		return n
	}
	n := newNetwork(b, members, 0, 1)
	n.run(settleTime)
	settledNetworks[members] = n
	return n
}

var settledNetworks = make(map[int]*network)

func BenchmarkReceive(b *testing.B) {
	for _, members := range benchSizes {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n := settled(b, members)
			beat := n.views[1].Round(n.now, n.random)[0].Heartbeat
			b.ResetTimer()
			for range b.N {
				n.views[0].Receive(n.now, beat)
			}
		})
	}
}

func BenchmarkRound(b *testing.B) {
	for _, members := range benchSizes {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			n := settled(b, members)
			b.ResetTimer()
			for range b.N {
				n.views[0].Round(n.now, n.random)
			}
		})
	}
}

// BenchmarkMemory reports the heap of one view that knows all members.
func BenchmarkMemory(b *testing.B) {
	for _, members := range benchSizes {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := newNetwork(b, members, 0, 1)
			n.run(memoryTime)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members), "B/view")
			runtime.KeepAlive(n)
		})
	}
}

// memoryTime is long enough for all members to know each other.
const memoryTime = 60 * time.Second
