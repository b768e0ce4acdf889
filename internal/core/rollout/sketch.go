package rollout

import "math"

const (
	bucketsPerOctave = 8
	lowestOctave     = -7 // smallest distinguishable value: 2^-7
	octaves          = 30
	bucketCount      = bucketsPerOctave * octaves
	// halfLife is the number of newer values after which a value's weight is
	// halved.
	halfLife = 512
	// maxWeight is the weight of a single value at which all weights are
	// scaled down.
	maxWeight = 1e9
)

// Sketch is a histogram of positive values with logarithmic buckets and
// exponential decay of older values. Its size is fixed. Its relative error is
// at most half a bucket, 4.5%. The zero value is empty.
type Sketch struct {
	buckets [bucketCount]float64
	total   float64
	weight  float64
	count   int
}

// Add adds a value. Values that are not positive are counted in the lowest
// bucket.
func (s *Sketch) Add(value float64) {
	if s.weight == 0 {
		s.weight = 1
	}
	s.weight *= math.Exp2(1.0 / halfLife)
	s.buckets[bucketOf(value)] += s.weight
	s.total += s.weight
	s.count++
	if s.weight > maxWeight {
		s.rescale()
	}
}

func (s *Sketch) rescale() {
	for i := range s.buckets {
		s.buckets[i] /= s.weight
	}
	s.total /= s.weight
	s.weight = 1
}

// Count returns the number of values ever added.
func (s *Sketch) Count() int { return s.count }

// Survival returns the weighted share of values above the given one.
func (s *Sketch) Survival(value float64) float64 {
	if s.total == 0 {
		return 0
	}
	above := 0.0
	for i := bucketOf(value) + 1; i < bucketCount; i++ {
		above += s.buckets[i]
	}
	return above / s.total
}

// Quantile returns the value below which the share q of all values lies, or 0
// if the sketch is empty.
func (s *Sketch) Quantile(q float64) float64 {
	return s.quantileFrom(0, q)
}

// RemainingQuantile returns quantile q of the remainder of a value that has
// already reached the given one. Above all known values it returns reached
// itself, as for a scale-free tail.
func (s *Sketch) RemainingQuantile(reached, q float64) float64 {
	end := s.quantileFrom(bucketOf(reached)+1, q)
	if end <= reached {
		return reached
	}
	return end - reached
}

// quantileFrom returns a quantile of the values in the bucket first and all
// higher ones.
func (s *Sketch) quantileFrom(first int, q float64) float64 {
	above := 0.0
	for i := first; i < bucketCount; i++ {
		above += s.buckets[i]
	}
	if above == 0 {
		return 0
	}
	sum := 0.0
	last := first
	for i := first; i < bucketCount; i++ {
		if s.buckets[i] == 0 {
			continue
		}
		sum += s.buckets[i]
		last = i
		if sum >= q*above {
			break
		}
	}
	return bucketMiddle(last)
}

func bucketOf(value float64) int {
	if value <= 0 {
		return 0
	}
	at := int(math.Floor((math.Log2(value) - lowestOctave) * bucketsPerOctave))
	return min(max(at, 0), bucketCount-1)
}

// bucketMiddle returns the geometric mean of a bucket's bounds.
func bucketMiddle(bucket int) float64 {
	return math.Exp2((float64(bucket)+0.5)/bucketsPerOctave + lowestOctave)
}
