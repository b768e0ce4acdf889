package retry

import (
	"math"
	"time"
)

const (
	bucketsPerOctave = 4
	bucketCount      = 96 // from one millisecond to about four hours
	bucketUnit       = time.Millisecond
	// halveAfter observations, older ones lose half their weight.
	halveAfter = 1024
)

// Latencies is a histogram of recent latencies with buckets that grow by a
// fixed factor, so that a quantile is off by at most that factor (19%).
type Latencies struct {
	buckets [bucketCount]uint32
	total   uint32
}

// Observe adds a latency.
func (l *Latencies) Observe(latency time.Duration) {
	if l.total >= halveAfter {
		l.halve()
	}
	l.buckets[bucketOf(latency)]++
	l.total++
}

// Count returns the weight of all observations.
func (l *Latencies) Count() int { return int(l.total) }

// Quantile returns the upper end of the bucket that holds the quantile; zero
// without observations.
func (l *Latencies) Quantile(quantile float64) time.Duration {
	wanted := uint32(math.Ceil(quantile * float64(l.total)))
	seen := uint32(0)
	for bucket, count := range l.buckets {
		seen += count
		if count > 0 && seen >= wanted {
			return upperEnd(bucket)
		}
	}
	return 0
}

func (l *Latencies) halve() {
	l.total = 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= bucketUnit {
		return 0
	}
	bucket := int(bucketsPerOctave * math.Log2(float64(latency)/float64(bucketUnit)))
	return min(bucket, bucketCount-1)
}

func upperEnd(bucket int) time.Duration {
	return time.Duration(float64(bucketUnit) * math.Exp2(float64(bucket+1)/bucketsPerOctave))
}
