package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"

	"fescuespar/internal/lockrank"
)

// Range and accuracy of latencies: one histogram takes about 20 kB.
const (
	latencyMin    = 1                                   // ms
	latencyMax    = int64(time.Hour / time.Millisecond) // ms; longer ones count as this
	latencyDigits = 2                                   // significant ones
)

// Latency is a histogram of milliseconds since the start of the process, in
// which every value counts. It implements gometrics.Histogram.
type Latency struct {
	// mu guards the fields below.
	mu     lockrank.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

var _ gometrics.Histogram = (*Latency)(nil)

// NewLatency returns a histogram without values.
func NewLatency() *Latency {
	return &Latency{
		mu: lockrank.New(lockrank.RankMetrics), values: hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
}

// Update counts a value. Values out of range count as the nearest one in range.
func (l *Latency) Update(ms int64) {
	ms = min(max(ms, 0), latencyMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values.RecordValue(ms) == nil { // fails only out of range
		l.sum += ms
	}
}

// Clear forgets all values.
func (l *Latency) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values.Reset()
	l.sum = 0
}

// Snapshot returns a copy.
func (l *Latency) Snapshot() gometrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Latency{mu: lockrank.New(lockrank.RankMetrics), values: l.values.Clone(), sum: l.sum}
}

// Count returns the number of values.
func (l *Latency) Count() int64 { return read(l, (*hdrhistogram.Histogram).TotalCount) }

// Max returns the largest value, up to the histogram's accuracy.
func (l *Latency) Max() int64 { return read(l, (*hdrhistogram.Histogram).Max) }

// Min returns the smallest value, up to the histogram's accuracy.
func (l *Latency) Min() int64 { return read(l, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean value.
func (l *Latency) Mean() float64 { return read(l, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation.
func (l *Latency) StdDev() float64 { return read(l, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the variance.
func (l *Latency) Variance() float64 { return l.StdDev() * l.StdDev() }

// Sum returns the sum of all values.
func (l *Latency) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Percentile returns the value at a share between 0 and 1.
func (l *Latency) Percentile(share float64) float64 {
	return read(l, func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(100 * share)) })
}

// Percentiles returns the values at several shares between 0 and 1.
func (l *Latency) Percentiles(shares []float64) []float64 {
	values := make([]float64, len(shares))
	for i, share := range shares {
		values[i] = l.Percentile(share)
	}
	return values
}

// Sample implements gometrics.Histogram; single values are not kept.
func (*Latency) Sample() gometrics.Sample { return gometrics.NilSample{} }

func read[T any](l *Latency, what func(*hdrhistogram.Histogram) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return what(l.values)
}
