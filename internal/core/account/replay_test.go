package account

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"fescuespar/internal/core/announce"
	"fescuespar/internal/virtualtime"
)

// Bounds that the users' settings give.
const (
	configApply = 4 * time.Second // until a configuration is in force where nothing is disturbed
	outerBound  = 6 * time.Second // added where the store turns some processes away
)

// Times and limits of adapters/detour, app/relay and platform/store.
const (
	pollInterval  = 300 * time.Millisecond
	keyInterval   = 250 * time.Millisecond
	readTimeout   = time.Second
	hedgeDelay    = 350 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	peerTimeout   = 3 * time.Second
	maxPeersTried = 6
	fullReads     = 30 * time.Second
)

// The platform as in docs/accounts-and-load.md.
const (
	storeTime      = 4 * time.Millisecond
	storeReads     = 6000 // a second
	rejectedFor    = 9 * time.Second
	versionsEvery  = 330 * time.Millisecond
	versions       = 12                     // in 4 s
	rejectedShare  = 3                      // one in so many processes
	firstWithin    = 500 * time.Millisecond // of the start of the rejection, while few processes have noticed it
	accounts       = 80
	keyReadsShare  = 0.25/2 + 0.1          // of all reads, for those at the regular interval and for requests
	randomKeyEvery = 10 * time.Millisecond // at each process, while a caller sends random keys
)

// Sizes of messages in bytes: requests and answers with their heads as Go's HTTP library
// writes them; what operators have published with 80 accounts of two keys.
var (
	requestBytes = 140
	emptyBytes   = 170
	configBytes  = emptyBytes + 4*(accounts*len(fmt.Sprintf(`{"Name":"hule930","KeyDigests":["%044d","%044d"],"Priority":1},`, 0, 0))+40*230)/3
)

// design is a way in which processes learn of a new version besides their own reads, which
// go through peers where the store turns them away.
type design struct {
	name        string
	announced   bool // each announcement carries its process's version
	onCalls     bool // answers to calls made for others carry the version
	randomKeys  bool // a caller sends random keys to every process
	storeHangs  bool // the store gives no answer to the rejected, else it refuses at once
	noRejection bool
	noChange    bool
}

type replayed struct {
	version   int
	rejected  bool
	down      bool
	probeAt   time.Duration
	preferred int
	dialed    map[int]bool
	reads     Reads
	scheduled bool
	fullAt    time.Duration
	announced int // version in the row that this process wrote last
	calls     int // of the store, for itself and for peers
	bytes     int // sent and received, to and from the store and peers
}

type replay struct {
	design
	clock     virtualtime.Clock
	random    *rand.Rand
	processes []*replayed
	published int
	ackedAt   []time.Duration // by version
	reached   []int           // processes by version
	everyone  []time.Duration // from the acknowledgement until in force everywhere, by version
	rejecting bool
}

// TestReplayRemovedKeys replays the removal of keys while the store turns a third of the
// processes away. It guards against a removed key that some process accepts for longer
// than the users allow, and against random keys that cause more than their share of reads.
func TestReplayRemovedKeys(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "processes\tdesign\tp50 ms\tmax ms\tB/s each\tstore calls/s each\tall together\t")
	designs := []design{
		{name: "no change", noRejection: true, noChange: true},
		{name: "no rejection", noRejection: true},
		{name: "refused"},
		{name: "no answer", storeHangs: true},
		{name: "no answer, announced", storeHangs: true, announced: true},
		{name: "no answer, on calls", storeHangs: true, onCalls: true},
		{name: "no answer, random keys", storeHangs: true, randomKeys: true},
	}
	for _, processes := range []int{10, 75, 300, 610} {
		for _, d := range designs {
			var all []time.Duration
			calls, bytes := 0.0, 0.0
			seeds := max(2, 60/processes)
			for seed := range seeds {
				r := newReplay(d, processes, uint64(seed))
				length := r.run()
				all = append(all, r.everyone[1:]...)
				for _, p := range r.processes {
					calls += float64(p.calls) / length.Seconds() / float64(processes*seeds)
					bytes += float64(p.bytes) / length.Seconds() / float64(processes*seeds)
				}
			}
			slices.Sort(all)
			most := all[len(all)-1]
			fmt.Fprintf(out, "%d\t%s\t%d\t%d\t%.0f\t%.2f\t%.0f\t\n", processes, d.name, all[len(all)/2].Milliseconds(),
				most.Milliseconds(), bytes, calls, calls*float64(processes))
			bound := configApply
			if !d.noRejection {
				bound += outerBound
			}
			if most > bound {
				t.Errorf("%d processes, %s: a removed key was accepted for %v, at most %v are allowed", processes, d.name, most, bound)
			}
			if together := calls * float64(processes); d.randomKeys && together > keyReadsShare*storeReads {
				t.Errorf("%d processes, %s: %.0f store calls a second, at most %.0f are for this", processes, d.name, together, keyReadsShare*storeReads)
			}
		}
	}
	if err := out.Flush(); err != nil {
		t.Error(err)
	}
}

func newReplay(d design, processes int, seed uint64) *replay {
	r := &replay{design: d, random: rand.New(rand.NewPCG(seed, uint64(processes))), reached: make([]int, versions+2),
		ackedAt: make([]time.Duration, versions+2), everyone: make([]time.Duration, versions+1)}
	for number := range processes {
		p := &replayed{rejected: !d.noRejection && number%rejectedShare == 0, preferred: -1, dialed: make(map[int]bool)}
		r.processes = append(r.processes, p)
		r.clock.After(time.Duration(r.random.Float64()*float64(pollInterval)), func() { r.poll(p) })
		if d.announced {
			r.periodically(announce.Interval(processes), func() { r.write(p) })
			r.periodically(announce.MemberReadInterval(pollInterval, processes), func() { r.readMembers(p) })
		}
		if d.onCalls { // registrations and crash records are read at intervals of their own
			r.periodically(announce.PollInterval(pollInterval, processes, storeReads), func() { r.otherCall(p) })
			r.periodically(announce.CrashReadInterval(pollInterval, processes, storeReads), func() { r.otherCall(p) })
		}
		if d.randomKeys {
			r.periodically(randomKeyEvery, func() { r.unknownKey(p) })
		}
	}
	return r
}

// periodically runs an action at an interval, first at a random time within it.
func (r *replay) periodically(interval time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		r.clock.After(interval, again)
	}
	r.clock.After(time.Duration(r.random.Float64()*float64(interval)), again)
}

// run publishes the versions while the store rejects processes, and returns the time that
// was replayed.
func (r *replay) run() time.Duration {
	const start = 10 * time.Second
	r.clock.After(start, func() { r.rejecting = true })
	r.clock.After(start+rejectedFor, func() { r.rejecting = false })
	first := start + time.Duration(r.random.Float64()*float64(firstWithin))
	for number := range versions {
		if r.noChange {
			break
		}
		r.clock.After(first+time.Duration(number)*versionsEvery, func() {
			r.published++
			r.ackedAt[r.published] = r.clock.Now()
		})
	}
	const end = start + rejectedFor + 2*(configApply+outerBound)
	r.clock.RunUntil(end)
	for version := 1; version <= versions; version++ {
		if r.everyone[version] == 0 && !r.noChange {
			r.everyone[version] = end - r.ackedAt[version]
		}
	}
	return end
}

func (r *replay) apply(p *replayed, version int) {
	for p.version < version {
		p.version++
		if r.reached[p.version]++; r.reached[p.version] == len(r.processes) {
			r.everyone[p.version] = r.clock.Now() - r.ackedAt[p.version]
		}
	}
}

// poll reads at the regular interval, counted from the newest read.
func (r *replay) poll(p *replayed) {
	interval := announce.PollInterval(pollInterval, len(r.processes), storeReads)
	if p.reads.Delay(r.clock.Time(), interval) == 0 {
		r.readVersion(p)
	}
	r.clock.After(p.reads.Delay(r.clock.Time(), interval), func() { r.poll(p) })
}

// unknownKey serves a request with a random key.
func (r *replay) unknownKey(p *replayed) {
	if p.scheduled || p.reads.Since(r.clock.Time()) != NotBegun {
		return
	}
	p.scheduled = true
	interval := announce.KeyReadInterval(keyInterval, len(r.processes), storeReads)
	r.clock.After(p.reads.Delay(r.clock.Time(), interval), func() {
		if p.scheduled && p.reads.Delay(r.clock.Time(), interval) == 0 {
			r.readVersion(p)
		}
		p.scheduled = false
	})
}

// readVersion reads what operators have published.
func (r *replay) readVersion(p *replayed) {
	began := r.clock.Time()
	p.reads.Begin(began)
	p.scheduled = false
	answer := emptyBytes
	if p.fullAt == 0 || r.clock.Now()-p.fullAt >= fullReads {
		p.fullAt, answer = r.clock.Now(), configBytes
	}
	r.read(p, answer, func(version int, ok bool) {
		if ok {
			r.apply(p, version)
		}
		p.reads.End(began, ok)
	})
}

// write writes this process's announcement.
func (r *replay) write(p *replayed) {
	version := p.version
	r.read(p, emptyBytes, func(_ int, ok bool) {
		if ok {
			p.announced = max(p.announced, version)
		}
	})
}

// readMembers reads the announcements, each with a version of 14 bytes in its encoding.
func (r *replay) readMembers(p *replayed) {
	r.read(p, emptyBytes+14*len(r.processes), func(_ int, ok bool) {
		newest := slices.MaxFunc(r.processes, func(a, b *replayed) int { return a.announced - b.announced }).announced
		if ok && newest > p.version {
			r.readVersion(p)
		}
	})
}

// otherCall makes a call that peers may answer with their version.
func (r *replay) otherCall(p *replayed) {
	r.read(p, emptyBytes, func(int, bool) {
		if p.preferred >= 0 && p.down && r.processes[p.preferred].version > p.version {
			r.readVersion(p)
		}
	})
}

// read makes a call as adapters/detour does, and returns the version that the store had.
// A new version adds the configuration to the answer.
func (r *replay) read(p *replayed, answer int, done func(version int, ok bool)) {
	ended := false
	end := func(version int, ok bool) {
		if ended {
			return
		}
		ended = true
		if ok && version > p.version {
			p.bytes += configBytes
		}
		done(version, ok)
	}
	r.clock.After(readTimeout, func() {
		if !ended && !p.down {
			r.setDown(p)
		}
		end(0, false)
	})
	if p.down {
		if r.clock.Now() >= p.probeAt {
			p.probeAt = r.clock.Now() + probeInterval
			r.call(p, answer, func(_ int, ok bool) { p.down = p.down && !ok })
		}
		r.viaPeers(p, answer, &ended, end)
		return
	}
	hedged := false
	hedge := func() {
		if !ended && !hedged {
			hedged = true
			r.viaPeers(p, answer, &ended, func(version int, ok bool) {
				if ok && !ended {
					r.setDown(p)
				}
				end(version, ok)
			})
		}
	}
	r.call(p, answer, func(version int, ok bool) {
		if ok {
			end(version, true)
			return
		}
		hedge()
	})
	r.clock.After(hedgeDelay, hedge)
}

func (r *replay) setDown(p *replayed) {
	p.down, p.probeAt = true, r.clock.Now()+probeInterval
}

// call calls the store directly.
func (r *replay) call(p *replayed, answer int, done func(version int, ok bool)) {
	p.calls++
	p.bytes += requestBytes
	switch {
	case p.rejected && r.rejecting && r.storeHangs:
		r.clock.After(peerTimeout, func() { done(0, false) })
	case p.rejected && r.rejecting:
		r.clock.After(storeTime, func() { done(0, false) })
	default:
		version := r.published
		r.clock.After(storeTime, func() {
			p.bytes += answer
			done(version, true)
		})
	}
}

// viaPeers makes a call through up to maxPeersTried peers, the preferred one first.
func (r *replay) viaPeers(p *replayed, answer int, ended *bool, done func(version int, ok bool)) {
	var order []int
	if p.preferred >= 0 {
		order = append(order, p.preferred)
	}
	for _, peer := range r.random.Perm(len(r.processes)) {
		if r.processes[peer] != p && peer != p.preferred && len(order) < maxPeersTried {
			order = append(order, peer)
		}
	}
	tried, failed := 0, 0
	var next func()
	next = func() {
		if *ended || tried == len(order) {
			return
		}
		peer := order[tried]
		tried++
		r.clock.After(hedgeDelay, next)
		r.askPeer(p, peer, answer, func(version int, ok bool) {
			if ok {
				p.preferred = peer
				done(version, true)
				return
			}
			if p.preferred == peer {
				p.preferred = -1
			}
			if failed++; failed == tried {
				next()
			}
		})
	}
	next()
}

// askPeer makes a call through a peer, over 2 to 40 ms and twice as long for a handshake.
func (r *replay) askPeer(p *replayed, peer, answer int, done func(version int, ok bool)) {
	oneWay := time.Duration(1+r.random.IntN(20)) * time.Millisecond
	there, q := oneWay, r.processes[peer]
	if !p.dialed[peer] {
		p.dialed[peer] = true
		there += 2 * oneWay
	}
	back := func(version int, ok bool) {
		r.clock.After(oneWay, func() {
			p.bytes, q.bytes = p.bytes+requestBytes+answer, q.bytes+requestBytes+answer
			done(version, ok)
		})
	}
	r.clock.After(there, func() {
		if q.down {
			back(0, false)
			return
		}
		r.call(q, answer, back)
	})
}
