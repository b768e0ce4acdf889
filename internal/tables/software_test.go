package tables

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/software"
)

// softwareReplay is a service with servers of changing versions, processes that begin
// streams at them, and the rows that they share.
type softwareReplay struct {
	random     *rand.Rand
	now        time.Time
	record     core.SoftwareRecord
	found      bool
	rows       map[int]core.SoftwareVersion // by stream
	registered []core.SoftwareVersion
	processes  []*replayedProcess
	streams    []replayedStream
}

// replayedProcess goes by the servers that it read last, while it is cut off from the store.
type replayedProcess struct {
	*Software
	registered []core.SoftwareVersion
	cutUntil   time.Time
}

type replayedStream struct {
	software core.SoftwareVersion
	began    time.Time
}

const replayedService = "coach"

// begin begins a stream at a random version that a process knows, as the application does.
func (r *softwareReplay) begin() {
	process := r.processes[r.random.IntN(len(r.processes))]
	version := process.registered[r.random.IntN(len(process.registered))]
	record, refresh, known := process.Record(replayedService, r.now)
	if r.now.Before(process.cutUntil) && (!known || software.NeedsRow(record, version, 1)) {
		return // refused
	}
	if refresh && r.now.Before(process.cutUntil) {
		process.RefreshFailed(replayedService)
		refresh = false
	}
	if !known || refresh || software.NeedsRow(record, version, 1) && !record.Mixed {
		next, changed := software.Begin(r.record, r.found, version)
		if changed {
			r.record, r.found = next, true
		}
		if process.SetRecord(replayedService, next, r.now); !known || software.NeedsRow(record, version, 1) {
			record = next
		}
	}
	if software.NeedsRow(record, version, 1) {
		r.rows[len(r.streams)] = version
	}
	r.streams = append(r.streams, replayedStream{version, r.now})
}

// resume checks that a process which never saw a stream finds its version.
func (r *softwareReplay) resume(stream int) string {
	version, stored := r.rows[stream]
	if !stored {
		version = software.OfStream(r.record, r.found, true, 1)
	}
	if version != r.streams[stream].software {
		return fmt.Sprintf("stream %d of %s, begun %v ago, goes on at %q, record %+v", stream, r.streams[stream].software, r.now.Sub(r.streams[stream].began), version, r.record)
	}
	return ""
}

// TestReplaySoftwareOfStreams guards against a stream that goes on at another version than
// began it. The load is releases, rollbacks and pauses while processes go by records that
// they read before they were cut off from the store, and by servers that have left.
func TestReplaySoftwareOfStreams(t *testing.T) {
	const horizon = software.MinHorizon
	rows, streams, settled := 0, 0, 0
	for seed := range uint64(20) {
		r := &softwareReplay{random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), rows: make(map[int]core.SoftwareVersion), registered: []core.SoftwareVersion{"v0"}}
		for range 4 {
			r.processes = append(r.processes, &replayedProcess{Software: NewSoftware()})
		}
		oldest := 0
		for step := range 6000 {
			r.now = r.now.Add(time.Duration(r.random.IntN(1000)) * time.Millisecond)
			if step%400 == 399 {
				r.now = r.now.Add(9 * time.Second) // without streams
			}
			if r.random.IntN(300) == 0 { // a version joins, or one leaves
				if version := core.SoftwareVersion(fmt.Sprint("v", r.random.IntN(3))); len(r.registered) == 1 {
					r.registered = append(r.registered, version)
				} else {
					r.registered = r.registered[r.random.IntN(2):][:1]
				}
			}
			for _, process := range r.processes {
				if r.random.IntN(1000) == 0 {
					process.cutUntil = r.now.Add(time.Duration(r.random.Int64N(int64(2 * software.MaxRecordAge))))
				}
				if !r.now.Before(process.cutUntil) {
					process.registered = slices.Clone(r.registered)
					process.ObserveServers(map[string][]core.SoftwareVersion{replayedService: r.registered}, r.now)
				}
			}
			r.begin()
			owner := r.processes[r.random.IntN(len(r.processes))]
			only, lasted := owner.OnlyVersion(replayedService)
			if next, changed := software.Settle(r.record, only, lasted, horizon); changed && r.found && !r.now.Before(owner.cutUntil) {
				r.record, settled = next, settled+1
			}
			if len(r.streams) == 0 {
				continue
			}
			for oldest < len(r.streams)-1 && r.now.Sub(r.streams[oldest].began) > horizon {
				oldest++
			}
			if r.now.Sub(r.streams[oldest].began) > horizon {
				continue
			}
			if problem := r.resume(oldest + r.random.IntN(len(r.streams)-oldest)); problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, problem)
			}
		}
		rows, streams = rows+len(r.rows), streams+len(r.streams)
	}
	t.Logf("%d of %d streams have rows, services settled %d times", rows, streams, settled)
	if settled == 0 {
		t.Error("no service settled on a new base version, which is the case that this test is for")
	}
}
