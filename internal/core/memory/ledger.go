// Package memory decides how the callers of a process share the memory in which it
// holds what they send and what is read for them.
//
// A holder is what one caller makes the process hold: a request while it arrives, waits
// and runs, or an answer until the caller has read it. Its largest share shrinks with
// contention: it may take more only as long as it holds at most maxHeldPerFree times what
// is left free. If a holder finds too little free, others are ended to make room, those
// with the most bytes for the least progress first: holders that have stalled, and ones
// that hold more than the present share and far more than the holder that asks. So a
// caller on a slow but steady line loses its memory only to many small ones, when it
// holds a large body.
//
// The functions here do no I/O and take no lock. The adapter memorybudget guards a
// ledger and carries out its decisions.
package memory

import (
	"slices"
	"time"
)

// maxHeldPerFree is the most that one holder may hold, as a multiple of what it leaves
// free. Holders that grow without end so share the memory evenly, and the more of them
// there are, the less each may hold: n of them leave 1/(1 + n*maxHeldPerFree) of it free.
// One alone may hold two thirds.
const maxHeldPerFree = 2

// minSizeRatio is how many times as much as the holder that asks a holder must hold to be
// ended though it makes progress. Smaller differences would let equal ones end each other
// in turn, so that none arrives.
const minSizeRatio = 4

// MaxShareOfOne returns how many bytes a holder alone may hold of a total.
func MaxShareOfOne(total int64) int64 { return total * maxHeldPerFree / (1 + maxHeldPerFree) }

// Holder is the memory that one caller makes the process hold. The zero value holds
// nothing.
type Holder struct {
	Owner any // what the user identifies the holder by; not read here

	held     int64 // bytes
	endable  int   // index in the ledger's list of holders that may be ended plus one; zero if it may not
	ended    bool  // to be released by its user
	progress progress
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() int64 { return h.held }

// Ended reports whether the holder was ended to make room for others.
func (h *Holder) Ended() bool { return h.ended }

// Ledger is an amount of memory and its holders.
type Ledger struct {
	total   int64
	free    int64
	ending  int64     // held by ended holders, which will release it
	endable []*Holder // holders that may be ended
}

// NewLedger returns a ledger for a number of bytes.
func NewLedger(total int64) *Ledger { return &Ledger{total: total, free: total} }

// Free returns the number of bytes that nobody holds. It is negative while ended holders
// have not released what was given to others.
func (l *Ledger) Free() int64 { return l.free }

// Total returns the number of bytes of the ledger.
func (l *Ledger) Total() int64 { return l.total }

// Grow takes more bytes for a holder if its share allows it. It returns the holders that
// it has ended to make room; their users release them. Until they have, Free is negative,
// and the holder must not use the bytes.
func (l *Ledger) Grow(h *Holder, bytes int64, now time.Time) (granted bool, ended []*Holder) {
	asked := h.held + bytes
	if h.ended || !fits(asked, l.total-asked) {
		return false, nil
	}
	missing := l.missing(asked, bytes)
	if missing > 0 && l.endableBytes(h, asked, now) < missing {
		return false, nil
	}
	for missing > 0 {
		worst := l.worst(h, asked, now)
		missing -= worst.held
		l.ending += worst.held
		l.removeEndable(worst)
		worst.ended = true
		ended = append(ended, worst)
	}
	l.Add(h, bytes)
	return true, ended
}

// fits reports whether a holder may hold that much when it leaves that much free.
func fits(held, free int64) bool { return held <= maxHeldPerFree*free }

// missing returns how many more bytes holders must be ended for until a holder may take
// some bytes and hold what it asks.
func (l *Ledger) missing(asked, bytes int64) int64 {
	needed := bytes + (asked+maxHeldPerFree-1)/maxHeldPerFree
	return needed - l.free - l.ending
}

// mayEnd reports whether other may be ended for h, which asks to hold that many bytes.
func (l *Ledger) mayEnd(other, h *Holder, asked int64, now time.Time) bool {
	if other == h || other.held == 0 {
		return false
	}
	isOverShare := !fits(other.held, l.free+l.ending) && other.held >= minSizeRatio*asked
	return isOverShare || other.progress.isStalled(now)
}

// endableBytes returns what all holders that may be ended for h hold.
func (l *Ledger) endableBytes(h *Holder, asked int64, now time.Time) int64 {
	var bytes int64
	for _, other := range l.endable {
		if l.mayEnd(other, h, asked, now) {
			bytes += other.held
		}
	}
	return bytes
}

// worst returns the holder with the most bytes for the least progress among those that
// may be ended for h. There must be one.
func (l *Ledger) worst(h *Holder, asked int64, now time.Time) *Holder {
	var worst *Holder
	var worstCost float64
	for _, other := range l.endable {
		if !l.mayEnd(other, h, asked, now) {
			continue
		}
		if cost := float64(other.held) / (1 + other.progress.recentRate(now)); worst == nil || cost > worstCost {
			worst, worstCost = other, cost
		}
	}
	return worst
}

// Add counts bytes for a holder that has taken them already.
func (l *Ledger) Add(h *Holder, bytes int64) {
	h.held += bytes
	l.free -= bytes
	if h.ended {
		l.ending += bytes
	}
}

// Release returns bytes of a holder.
func (l *Ledger) Release(h *Holder, bytes int64) { l.Add(h, -bytes) }

// Remove returns all bytes of a holder, which is as new afterwards.
func (l *Ledger) Remove(h *Holder) {
	l.Release(h, h.held)
	l.removeEndable(h)
	*h = Holder{Owner: h.Owner}
}

// Begin begins a new phase of a holder, in which its progress is measured anew and in
// which it may be ended or not. It returns false if the holder was ended before.
func (l *Ledger) Begin(h *Holder, endable bool, now time.Time) bool {
	if h.ended {
		return false
	}
	h.progress = progress{begun: now, slotBegun: now}
	switch {
	case endable && h.endable == 0:
		l.endable = append(l.endable, h)
		h.endable = len(l.endable)
	case !endable:
		l.removeEndable(h)
	}
	return true
}

// Progress records bytes that a holder's caller has sent or read.
func (l *Ledger) Progress(h *Holder, bytes int64, now time.Time) { h.progress.add(bytes, now) }

func (l *Ledger) removeEndable(h *Holder) {
	if h.endable == 0 {
		return
	}
	index, last := h.endable-1, len(l.endable)-1
	l.endable[index] = l.endable[last]
	l.endable[index].endable = index + 1
	l.endable = slices.Delete(l.endable, last, last+1)
	h.endable = 0
}
