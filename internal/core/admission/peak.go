package admission

import (
	"math"
	"time"
)

// decayingPeak tracks the largest recent value, which halves every
// peakHalfLife.
type decayingPeak struct {
	value float64
	since time.Time
}

func (p *decayingPeak) valueAt(now time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(now.Sub(p.since))/float64(peakHalfLife))
}

func (p *decayingPeak) raise(value float64, now time.Time) {
	if value >= p.valueAt(now) {
		p.value = value
		p.since = now
	}
}
