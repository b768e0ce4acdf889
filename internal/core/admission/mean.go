package admission

import "time"

// meanDurationWeight is the weight of a new observation in a mean duration.
const meanDurationWeight = 0.1

// MeanDuration is a moving average of durations. Zero means that there is none.
type MeanDuration time.Duration

// Observe adds a duration.
func (m *MeanDuration) Observe(duration time.Duration) {
	if *m == 0 {
		*m = MeanDuration(duration)
		return
	}
	*m += MeanDuration(meanDurationWeight * float64(duration-m.Value()))
}

// Value returns the mean, zero while unknown.
func (m MeanDuration) Value() time.Duration { return time.Duration(m) }
