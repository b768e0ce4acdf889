package rollout

import "math"

const (
	bucketsPerOctave = 8
	lowestOctave     = -7 // smallest value told apart: 2^-7
	octaves          = 30
	bucketCount      = bucketsPerOctave * octaves
	// halfLife is the number of values after which an older one counts half.
	halfLife = 512
	// largestWeight is the weight of one value at which all are scaled down.
	largestWeight = 1e9
)

// Sketch is a histogram of positive values with log-spaced buckets, in which
// newer values count more. Its size is fixed and its relative error at most
// half a bucket, 4.5%. The zero value is empty.
type Sketch struct {
	buckets [bucketCount]float64
	total   float64
	weight  float64 // of the newest value
	count   int
}

// Add takes in a value. Values that are not positive count as the smallest.
func (s *Sketch) Add(value float64) {
	if s.weight == 0 {
		s.weight = 1
	}
	s.weight *= math.Exp2(1.0 / halfLife)
	s.buckets[bucketOf(value)] += s.weight
	s.total += s.weight
	s.count++
	if s.weight > largestWeight {
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

// Count returns the number of values added, old ones included.
func (s *Sketch) Count() int { return s.count }

// Survival returns the share of values larger than the given one.
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

// Quantile returns the value below which the share q of all values lies, or
// zero when the sketch is empty.
func (s *Sketch) Quantile(q float64) float64 {
	return s.quantileFrom(0, q)
}

// Remaining returns the quantile q of what is left of a value that is already
// larger than reached. Beyond all known values it returns reached itself, as
// for a tail without scale.
func (s *Sketch) Remaining(reached, q float64) float64 {
	end := s.quantileFrom(bucketOf(reached)+1, q)
	if end <= reached {
		return reached
	}
	return end - reached
}

// quantileFrom returns a quantile of the values in the buckets from one on.
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
	return middleOf(last)
}

func bucketOf(value float64) int {
	if value <= 0 {
		return 0
	}
	at := int(math.Floor((math.Log2(value) - lowestOctave) * bucketsPerOctave))
	return min(max(at, 0), bucketCount-1)
}

// middleOf returns the geometric middle of a bucket.
func middleOf(bucket int) float64 {
	return math.Exp2((float64(bucket)+0.5)/bucketsPerOctave + lowestOctave)
}
