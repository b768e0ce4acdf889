package truetime

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// readingInterval is the interval of which one reading is kept.
	readingInterval = time.Second
	// maxReadings bounds the readings kept. Averaging some tens of them removes the
	// rounding of the store's clock to milliseconds.
	maxReadings = 32
	// maxDrift is the rate by which two clocks may drift apart. The oscillators of
	// servers are specified to about 50 parts per million.
	maxDrift = 50e-6
	// minUncertainty bounds the weight of one reading.
	minUncertainty = 100 * time.Microsecond
	// roundingTolerance is the rounding of the store's clock plus that of the process's.
	roundingTolerance = 2 * time.Millisecond
	// maxContradictions is the number of readings in a row that contradict the others
	// after which the store's clock counts as another one.
	maxContradictions = 5
)

// reading is the difference between the store's clock and the process's clock, as
// measured by one call.
type reading struct {
	offset time.Duration
	bound  time.Duration // half of the call's round trip
	at     time.Time     // middle of the call
}

// uncertainty returns the largest error of the reading at a later time.
func (r *reading) uncertainty(now time.Time) time.Duration {
	return max(minUncertainty, r.bound+time.Duration(maxDrift*float64(now.Sub(r.at))))
}

// StoreClock estimates the difference between the store's clock and the monotonic clock
// of one process. Readings with short round trips count most; one of them stays more
// certain than a slow reading for many seconds. The zero StoreClock has no readings. It
// is not safe for concurrent use.
type StoreClock struct {
	readings       []reading
	newestFrom     time.Time // when the interval of the newest reading began
	contradictions int
}

// Observe adds a reading of the store's clock.
func (c *StoreClock) Observe(t core.StoreTime) {
	roundTrip := t.Received.Sub(t.Sent)
	if roundTrip < 0 {
		return
	}
	middle := t.Sent.Add(roundTrip / 2)
	added := reading{offset: t.Now - sinceEpoch(middle), bound: roundTrip / 2, at: middle}
	if c.contradicts(&added) {
		if c.contradictions++; c.contradictions < maxContradictions {
			return
		}
		c.readings = nil
	}
	c.contradictions = 0
	c.add(added)
}

// contradicts reports whether a reading cannot be one of the same clock as the others.
func (c *StoreClock) contradicts(added *reading) bool {
	estimate, known := c.Offset(added.at)
	if !known {
		return false
	}
	best := c.readings[0].uncertainty(added.at)
	for i := range c.readings {
		best = min(best, c.readings[i].uncertainty(added.at))
	}
	return (added.offset - estimate).Abs() > added.bound+best+roundingTolerance
}

func (c *StoreClock) add(added reading) {
	if newest := len(c.readings) - 1; newest >= 0 && added.at.Sub(c.newestFrom) < readingInterval {
		if added.bound < c.readings[newest].bound {
			c.readings[newest] = added
		}
		return
	}
	c.newestFrom = added.at
	c.readings = append(c.readings, added)
	if len(c.readings) <= maxReadings {
		return
	}
	worst := 0
	for i := range c.readings {
		if c.readings[i].uncertainty(added.at) > c.readings[worst].uncertainty(added.at) {
			worst = i
		}
	}
	c.readings = slices.Delete(c.readings, worst, worst+1)
}

// Offset returns the store's clock minus the process's clock, and false if the store's
// clock has not been read.
func (c *StoreClock) Offset(now time.Time) (time.Duration, bool) {
	if len(c.readings) == 0 {
		return 0, false
	}
	// Differences from one reading keep the precision of the sums.
	base := c.readings[0].offset
	var sum, weights float64
	for i := range c.readings {
		uncertainty := float64(c.readings[i].uncertainty(now))
		weight := 1 / (uncertainty * uncertainty)
		sum += weight * float64(c.readings[i].offset-base)
		weights += weight
	}
	return base + time.Duration(sum/weights), true
}

// sinceEpoch returns a time as a difference from the Unix epoch, so that clocks with
// different origins can be subtracted.
func sinceEpoch(t time.Time) time.Duration { return t.Sub(time.Unix(0, 0)) }
