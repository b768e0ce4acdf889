package memory

import "time"

const (
	// progressSlot is the time over which recent progress is measured. It covers the
	// retransmission of a lost packet and a slow server's or caller's pause.
	progressSlot = time.Second
	// stalledShare is the share of its average progress below which a holder's recent
	// progress counts as stalled. Lines whose speed varies stay above it.
	stalledShare = 0.25
)

// progress measures the bytes that a caller sends or reads.
type progress struct {
	begun     time.Time // of the phase
	total     int64     // bytes since then
	slotBegun time.Time
	slot      int64 // bytes since slotBegun
	previous  int64 // bytes in the slot before
}

func (p *progress) add(bytes int64, now time.Time) {
	p.advance(now)
	p.total += bytes
	p.slot += bytes
}

// advance begins a new slot if the current one is over.
func (p *progress) advance(now time.Time) {
	switch passed := now.Sub(p.slotBegun); {
	case passed < progressSlot:
		return
	case passed < 2*progressSlot:
		p.previous, p.slot, p.slotBegun = p.slot, 0, p.slotBegun.Add(progressSlot)
	default:
		p.previous, p.slot, p.slotBegun = 0, 0, now
	}
}

// recentRate returns the bytes a second in the last slot's time.
func (p *progress) recentRate(now time.Time) float64 {
	p.advance(now)
	left := 1 - float64(now.Sub(p.slotBegun))/float64(progressSlot)
	return (float64(p.slot) + left*float64(p.previous)) / progressSlot.Seconds()
}

// isStalled reports whether the recent progress is far below the average. A phase that
// has just begun is never stalled.
func (p *progress) isStalled(now time.Time) bool {
	elapsed := now.Sub(p.begun)
	if elapsed < progressSlot {
		return false
	}
	return p.total == 0 || p.recentRate(now) < stalledShare*float64(p.total)/elapsed.Seconds()
}
