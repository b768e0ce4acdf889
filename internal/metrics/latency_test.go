package metrics

import (
	"testing"
	"time"
)

// TestEveryLatencyIsRecorded records a thousand fast requests and a slow one,
// which a histogram that samples its values may miss.
func TestEveryLatencyIsRecorded(t *testing.T) {
	h := NewLatency()
	for ms := range int64(1000) {
		h.Update(ms)
	}
	h.Update(60_000)
	snapshot := h.Snapshot()
	h.Update(1) // must not change the snapshot
	if snapshot.Count() != 1001 || snapshot.Sum() != 999*1000/2+60_000 {
		t.Errorf("snapshot has %d values with sum %d, want 1001 and %d", snapshot.Count(), snapshot.Sum(), 999*1000/2+60_000)
	}
	for quantile, want := range map[float64]float64{0.5: 500, 0.9: 900, 0.99: 990, 1: 60_000} {
		if got := snapshot.Percentile(quantile); got < 0.98*want || got > 1.02*want {
			t.Errorf("quantile %v: %v ms, want %v within 2 %%", quantile, got, want)
		}
	}
}

func TestLatenciesOutOfRange(t *testing.T) {
	h := NewLatency()
	h.Update(-5)
	h.Update(int64(48 * time.Hour / time.Millisecond))
	if h.Count() != 2 || h.Min() != 0 || h.Sum() != latencyMax {
		t.Errorf("%d values, minimum %d, sum %d, want 2, 0 and %d", h.Count(), h.Min(), h.Sum(), latencyMax)
	}
}
