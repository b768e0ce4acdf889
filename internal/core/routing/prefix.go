package routing

import (
	"math"
	"time"
)

// prefixWays is the number of entries in a set of the index (its associativity).
const prefixWays = 8

// prefixEntry records that a server probably has a prefix cached.
type prefixEntry struct {
	hash         uint64
	recordedAtNS int64   // Unix time; zero marks a free entry
	cacheEpoch   uint32  // server.cacheEpoch when the entry was recorded
	slot         uint32  // server.slot
	logSurvival  float32 // server.logSurvival when the entry was recorded
	fromEvent    bool    // reported by a cache event, not assumed from a dispatch
}

// prefixIndex maps prefix hashes to servers. It is a set-associative table of
// fixed size: a new entry replaces the oldest one of its set.
type prefixIndex struct {
	sets             [][prefixWays]prefixEntry
	maxDispatchAgeNS int64
	maxEventAgeNS    int64
}

func newPrefixIndex(policy *Policy) prefixIndex {
	sets := max(1, policy.PrefixEntries/prefixWays)
	return prefixIndex{
		sets:             make([][prefixWays]prefixEntry, sets),
		maxDispatchAgeNS: int64(policy.DispatchTTL),
		maxEventAgeNS:    int64(policy.EventTTL),
	}
}

func (x *prefixIndex) setFor(hash uint64) *[prefixWays]prefixEntry {
	return &x.sets[(hash^hash>>32)%uint64(len(x.sets))]
}

// isFresh reports whether an entry is in use and has not expired.
func (x *prefixIndex) isFresh(entry *prefixEntry, now int64) bool {
	if entry.recordedAtNS == 0 {
		return false
	}
	if entry.fromEvent {
		return now-entry.recordedAtNS <= x.maxEventAgeNS
	}
	return now-entry.recordedAtNS <= x.maxDispatchAgeNS
}

// record adds or refreshes the entry for a prefix on a server.
func (x *prefixIndex) record(hash uint64, srv *server, byEvent bool, now time.Time) {
	set := x.setFor(hash)
	target := &set[0]
	for i := range set {
		entry := &set[i]
		if entry.hash == hash && entry.slot == srv.slot && entry.cacheEpoch == srv.cacheEpoch && entry.recordedAtNS != 0 {
			target = entry
			byEvent = byEvent || entry.fromEvent
			break
		}
		if entry.recordedAtNS < target.recordedAtNS {
			target = entry
		}
	}
	*target = prefixEntry{
		hash: hash, recordedAtNS: now.UnixNano(), cacheEpoch: srv.cacheEpoch, slot: srv.slot,
		logSurvival: float32(srv.logSurvival), fromEvent: byEvent,
	}
}

// removeEvicted removes the entries for a prefix that a server evicted. It
// leaves dispatches after the eviction, which cached the prefix again.
func (x *prefixIndex) removeEvicted(hash uint64, srv *server, evicted time.Time) {
	set := x.setFor(hash)
	for i := range set {
		entry := &set[i]
		same := entry.hash == hash && entry.slot == srv.slot
		if same && (entry.fromEvent || entry.recordedAtNS <= evicted.UnixNano()) {
			*entry = prefixEntry{}
		}
	}
}

// hitProbability returns the probability that a server has a prefix cached,
// zero without a fresh entry.
func (x *prefixIndex) hitProbability(hash uint64, srv *server, now time.Time) float64 {
	set := x.setFor(hash)
	for i := range set {
		entry := &set[i]
		same := entry.hash == hash && entry.slot == srv.slot && entry.cacheEpoch == srv.cacheEpoch
		if same && x.isFresh(entry, now.UnixNano()) {
			return survivalProbability(entry, srv)
		}
	}
	return 0
}

// survivalProbability returns the probability that an entry is still cached,
// given the cache events lost since it was recorded.
func survivalProbability(entry *prefixEntry, srv *server) float64 {
	lost := srv.logSurvival - float64(entry.logSurvival)
	if lost >= 0 {
		return 1
	}
	return math.Exp(lost)
}

// checkpoints are the block indexes up to which prefixes are recorded for
// dispatches and looked up for prompts. Their spacing finds a cached prefix to
// within a third of its length.
var checkpoints = [...]int{0, 1, 2, 3, 5, 7, 11, 15, 23, 31, 47, 63, 95, 127, 191, 255, 383, 511, 767, 1023}

// checkpointCount returns the number of checkpoints before the last block of a
// prompt. The last block is always a checkpoint as well.
func checkpointCount(blocks int) int {
	count := 0
	for count < len(checkpoints) && checkpoints[count] < blocks-1 {
		count++
	}
	return count
}
