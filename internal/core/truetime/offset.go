package truetime

import (
	"slices"
	"time"
)

// maxStep is the largest change of a VM's time of day, against its monotonic clock and
// between two readings, that counts as a correction of its rate. Time services step by
// more than an eighth of a second; jumps are of seconds.
const maxStep = 100 * time.Millisecond

// timeOfDay follows a VM's time of day, but not its jumps. The zero timeOfDay has read
// nothing.
type timeOfDay struct {
	known    bool
	newest   time.Duration // time of day minus the process's clock, as last read
	followed time.Duration // the same without jumps
	jumped   bool          // newest is that of a jump that is not followed
}

// observe adds a reading of the time of day. confirmed is true time minus the process's
// clock according to the other processes, if it is known: a jump towards it is followed.
func (t *timeOfDay) observe(offset, confirmed time.Duration, isKnown bool) {
	switch {
	case !t.known:
		t.followed = offset
	case t.jumped:
		isBack := (offset - t.followed).Abs() <= maxStep
		isConfirmed := isKnown && (offset-confirmed).Abs() <= maxStep
		if t.jumped = !isBack && !isConfirmed; !t.jumped {
			t.followed = offset
		}
	case (offset - t.newest).Abs() > maxStep:
		t.jumped = !isKnown || (offset-confirmed).Abs() > maxStep
		if !t.jumped {
			t.followed = offset
		}
	default:
		t.followed = offset
	}
	t.known, t.newest = true, offset
}

// agree returns the median of the offsets that processes measured, which are not none. Of
// an even number it returns the mean of the middle two or, if one of them is that of a
// jump, the one that is nearer to the offset agreed before. Without one before it is not
// clear which is right.
func agree(offsets []time.Duration, before time.Duration, hasBefore bool) (agreed time.Duration, isClear bool) {
	sorted := slices.Sorted(slices.Values(offsets))
	middle := len(sorted) / 2
	low, high := sorted[max(0, middle-1)], sorted[middle]
	switch {
	case len(sorted)%2 == 1:
		return high, true
	case high-low <= maxStep:
		return low + (high-low)/2, true
	case hasBefore && high-before < before-low:
		return high, true
	default:
		return low, hasBefore
	}
}
