package software_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/software"
	"fescuespar/internal/virtualtime"
)

// The load: a release that replaces the servers within a minute, while callers begin streams.
const (
	releaseBegins = 20 * time.Second
	releaseEnds   = 80 * time.Second
	replayEnds    = 120 * time.Second
	firstEvent    = 100 * time.Millisecond // after a stream is sent to its server
	streamLasts   = 3 * time.Second
	callersWait   = 12 * time.Second     // the longest deadline of the users' sheets
	commitTakes   = 7 * time.Millisecond // the users' store: 3 ms of a transaction and 4 ms of an answer
)

// Bytes of messages with their heads, as the client of the store writes them.
const (
	callBytes   = 350 // of a commit without entries, and its answer
	rowBytes    = 230
	removeBytes = 90
	readBytes   = 420
)

// targetWait is the time to the first event that the users' sheets ask for at the sites in
// force, which the wait for a row must not add to twice.
const targetWait = 400 * time.Millisecond

type costReplay struct {
	clock     virtualtime.Clock
	random    *rand.Rand
	interval  time.Duration
	processes []*costProcess

	commits, rows, removals int
	perSecond               [int(replayEnds/time.Second) + 1]int
	waits                   []time.Duration // beyond the first event
}

type costProcess struct {
	waiting   []entry
	inFlight  bool
	notBefore time.Duration
	scheduled bool
}

type entry struct {
	isRow bool
	done  func()
}

// TestReplayCostOfStreams replays a release and tells what the rows of streams cost. It
// guards against more commits than the processes' share of the store's writes.
func TestReplayCostOfStreams(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "processes\tstreams/s\trows\tcommits/s, busiest\tshare\tB/s of each\twait p50 ms\tp99 ms\treads after a kill of all\tresumed within s\t")
	for _, site := range []struct{ processes, streams, writes, reads int }{{10, 40, 800, 2000}, {61, 240, 1200, 6000}, {610, 2000, 4000, 16000}} {
		r := &costReplay{random: rand.New(rand.NewPCG(1, uint64(site.processes))), interval: announce.StreamWriteInterval(site.processes, site.writes)}
		for range site.processes {
			r.processes = append(r.processes, &costProcess{})
		}
		r.scheduleStream(float64(site.streams))
		r.clock.RunUntil(replayEnds)
		slices.Sort(r.waits)
		p50, p99 := r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100]
		bytes := float64(r.commits*callBytes+r.rows*rowBytes+r.removals*removeBytes) / (replayEnds - releaseBegins).Seconds() / float64(site.processes)
		// Half of the streams in flight are of the base version, for which all partitions are read.
		broken := site.streams * int(streamLasts/time.Second)
		reads := broken + broken/2*len(software.Partitions()) + broken/2*(len(software.Partitions())+1)/2
		resumed := float64(reads) * announce.StreamReadInterval(site.processes, site.reads).Seconds() / float64(site.processes)
		busiestSecond, busiestWindow := r.busiest(1), r.busiest(window)
		share := float64(busiestSecond) / float64(site.writes)
		fmt.Fprintf(out, "%d\t%d\t%d\t%d\t%.2f\t%.0f\t%d\t%d\t%d (%d B)\t%.1f\t\n", site.processes, site.streams, r.rows, busiestSecond, share, bytes,
			p50.Milliseconds(), p99.Milliseconds(), reads, reads*readBytes, resumed)
		// A quarter of the writes, and a commit of each process at the edge of the time.
		if allowed := site.writes/4*window + site.processes; busiestWindow > allowed {
			t.Errorf("%d processes: %d commits in the busiest %d s, at most %d are allowed", site.processes, busiestWindow, window, allowed)
		}
		if site.processes < 100 && p99 > targetWait {
			t.Errorf("%d processes: first events wait %v for their rows (p99), want at most %v", site.processes, p99, targetWait)
		}
	}
	if err := out.Flush(); err != nil {
		t.Error(err)
	}
}

// window is the time in seconds over which the processes keep to their share.
const window = 10

// busiest returns the most commits in a number of consecutive seconds.
func (r *costReplay) busiest(seconds int) int {
	most, sum := 0, 0
	for n, commits := range r.perSecond {
		if sum += commits; n >= seconds {
			sum -= r.perSecond[n-seconds]
		}
		most = max(most, sum)
	}
	return most
}

// scheduleStream begins streams at random times.
func (r *costReplay) scheduleStream(perSecond float64) {
	r.clock.After(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.beginStream()
		r.scheduleStream(perSecond)
	})
}

func (r *costReplay) beginStream() {
	now := r.clock.Now()
	share := float64(now-releaseBegins) / float64(releaseEnds-releaseBegins)
	version := core.SoftwareVersion("v1")
	if r.random.Float64() < share {
		version = "v2"
	}
	if !software.NeedsRow(core.SoftwareRecord{Base: "v1", Mixed: true}, version, 1) {
		return
	}
	p := r.processes[r.random.IntN(len(r.processes))]
	r.enqueue(p, entry{true, func() {
		r.waits = append(r.waits, max(0, r.clock.Now()-now-firstEvent))
		r.clock.After(software.RowLifetime(r.clock.Time().Add(callersWait), r.clock.Time(), software.MinHorizon), func() { r.enqueue(p, entry{false, func() {}}) })
	}})
}

func (r *costReplay) enqueue(p *costProcess, e entry) {
	p.waiting = append(p.waiting, e)
	r.flush(p)
}

// flush commits as the application does.
func (r *costReplay) flush(p *costProcess) {
	now := r.clock.Now()
	switch {
	case p.inFlight || len(p.waiting) == 0:
		return
	case now < p.notBefore:
		if !p.scheduled {
			p.scheduled = true
			r.clock.After(p.notBefore-now, func() {
				p.scheduled = false
				r.flush(p)
			})
		}
		return
	}
	batch := p.waiting[:min(len(p.waiting), claim.MaxBatchRows)]
	p.waiting = p.waiting[len(batch):]
	p.inFlight, p.notBefore = true, now+r.interval
	r.countCommit(now, batch)
	r.clock.After(commitTakes, func() {
		p.inFlight = false
		for _, e := range batch {
			e.done()
		}
		r.flush(p)
	})
}

func (r *costReplay) countCommit(now time.Duration, batch []entry) {
	r.commits++
	r.perSecond[int(now/time.Second)]++
	for _, e := range batch {
		if e.isRow {
			r.rows++
		} else {
			r.removals++
		}
	}
}
