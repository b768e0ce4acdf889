package routing

import (
	"math"
	"time"
)

// prefixWays is the number of servers and hashes that share a set of the index.
const prefixWays = 8

// prefixEntry says that a server is believed to hold a prefix.
type prefixEntry struct {
	hash     uint64
	learned  int64   // nanoseconds since the epoch; zero marks a free entry
	epoch    uint32  // of the server's cache when the entry was learnt
	slot     uint32  // of the server
	survival float32 // logarithm of the server's survival when it was learnt
	byEvent  bool
}

// prefixIndex finds servers by prefix hash. It is a set-associative table of
// fixed size: a new entry replaces the oldest of its set.
type prefixIndex struct {
	sets        [][prefixWays]prefixEntry
	dispatchAge int64 // nanoseconds
	eventAge    int64
}

func newPrefixIndex(policy *Policy) prefixIndex {
	sets := max(1, policy.PrefixEntries/prefixWays)
	return prefixIndex{
		sets:        make([][prefixWays]prefixEntry, sets),
		dispatchAge: int64(policy.DispatchMemory),
		eventAge:    int64(policy.EventMemory),
	}
}

func (x *prefixIndex) set(hash uint64) *[prefixWays]prefixEntry {
	return &x.sets[(hash^hash>>32)%uint64(len(x.sets))]
}

// usable reports whether an entry is young enough.
func (x *prefixIndex) usable(entry *prefixEntry, now int64) bool {
	if entry.learned == 0 {
		return false
	}
	if entry.byEvent {
		return now-entry.learned <= x.eventAge
	}
	return now-entry.learned <= x.dispatchAge
}

// learn notes that a server holds a prefix.
func (x *prefixIndex) learn(hash uint64, row *server, byEvent bool, now time.Time) {
	set := x.set(hash)
	target := &set[0]
	for i := range set {
		entry := &set[i]
		if entry.hash == hash && entry.slot == row.slot && entry.epoch == row.epoch && entry.learned != 0 {
			target = entry
			byEvent = byEvent || entry.byEvent
			break
		}
		if entry.learned < target.learned {
			target = entry
		}
	}
	*target = prefixEntry{
		hash: hash, learned: now.UnixNano(), epoch: row.epoch, slot: row.slot,
		survival: float32(row.survival), byEvent: byEvent,
	}
}

// forget takes back what was learnt before the time of an eviction.
func (x *prefixIndex) forget(hash uint64, row *server, evicted time.Time) {
	set := x.set(hash)
	for i := range set {
		entry := &set[i]
		same := entry.hash == hash && entry.slot == row.slot
		if same && (entry.byEvent || entry.learned <= evicted.UnixNano()) {
			*entry = prefixEntry{}
		}
	}
}

// believed returns the chance that a server holds a prefix, zero when nothing
// is known.
func (x *prefixIndex) believed(hash uint64, row *server, now time.Time) float64 {
	set := x.set(hash)
	for i := range set {
		entry := &set[i]
		same := entry.hash == hash && entry.slot == row.slot && entry.epoch == row.epoch
		if same && x.usable(entry, now.UnixNano()) {
			return trust(entry, row)
		}
	}
	return 0
}

// trust returns the chance that a server still holds an entry, given the cache
// events that were lost since.
func trust(entry *prefixEntry, row *server) float64 {
	lost := row.survival - float64(entry.survival)
	if lost >= 0 {
		return 1
	}
	return math.Exp(lost)
}

// checkpoints are the blocks at whose ends dispatches are learnt and prompts
// are looked up: a match is found to within a third of its length.
var checkpoints = [...]int{0, 1, 2, 3, 5, 7, 11, 15, 23, 31, 47, 63, 95, 127, 191, 255, 383, 511, 767, 1023}

// checkpointsBelow returns how many checkpoints lie before the last block of a
// prompt, which is always a checkpoint itself.
func checkpointsBelow(blocks int) int {
	count := 0
	for count < len(checkpoints) && checkpoints[count] < blocks-1 {
		count++
	}
	return count
}
