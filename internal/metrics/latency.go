package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"

	"fescuespar/internal/lockrank"
)

// Range and precision of latencies. With them, one histogram takes about 20 kB.
const (
	latencyMin    = 1                                   // ms
	latencyMax    = int64(time.Hour / time.Millisecond) // ms; longer latencies are recorded as this
	latencyDigits = 2                                   // significant decimal digits
)

// Latency is a histogram of latencies in milliseconds. It counts every value
// since the process started, without sampling. It implements
// gometrics.Histogram.
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

// Update records a value. Values out of range are recorded as the nearest value
// in range.
func (l *Latency) Update(ms int64) {
	ms = min(max(ms, 0), latencyMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values.RecordValue(ms) == nil { // it fails only for values out of range
		l.sum += ms
	}
}

// Clear removes all values.
func (l *Latency) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values.Reset()
	l.sum = 0
}

// Snapshot returns a copy that later updates do not change.
func (l *Latency) Snapshot() gometrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Latency{mu: lockrank.New(lockrank.RankMetrics), values: l.values.Clone(), sum: l.sum}
}

// Count returns the number of values.
func (l *Latency) Count() int64 { return read(l, (*hdrhistogram.Histogram).TotalCount) }

// Max returns the largest value, within the histogram's precision.
func (l *Latency) Max() int64 { return read(l, (*hdrhistogram.Histogram).Max) }

// Min returns the smallest value, within the histogram's precision.
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

// Percentile returns the value at a quantile between 0 and 1.
func (l *Latency) Percentile(quantile float64) float64 {
	return read(l, func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(100 * quantile)) })
}

// Percentiles returns the values at several quantiles between 0 and 1.
func (l *Latency) Percentiles(quantiles []float64) []float64 {
	values := make([]float64, len(quantiles))
	for i, quantile := range quantiles {
		values[i] = l.Percentile(quantile)
	}
	return values
}

// Sample implements gometrics.Histogram. The sample is empty because single
// values are not stored.
func (*Latency) Sample() gometrics.Sample { return gometrics.NilSample{} }

// read returns the result of f, which runs under the lock.
func read[T any](l *Latency, f func(*hdrhistogram.Histogram) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.values)
}
