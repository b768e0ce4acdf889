package metrics

import (
	"testing"
	"time"
)

// TestEveryLatencyCounts records a thousand fast requests and a slow one, which
// a histogram that keeps a part of the values may miss.
func TestEveryLatencyCounts(t *testing.T) {
	h := NewLatency()
	for ms := range int64(1000) {
		h.Update(ms)
	}
	h.Update(60_000)
	snapshot := h.Snapshot()
	h.Update(1) // must not show in the snapshot
	if snapshot.Count() != 1001 || snapshot.Sum() != 999*1000/2+60_000 {
		t.Errorf("%d values, sum %d", snapshot.Count(), snapshot.Sum())
	}
	for share, want := range map[float64]float64{0.5: 500, 0.9: 900, 0.99: 990, 1: 60_000} {
		if got := snapshot.Percentile(share); got < 0.98*want || got > 1.02*want {
			t.Errorf("share %v: %v ms, want about %v", share, got, want)
		}
	}
}

func TestLatenciesOutOfRange(t *testing.T) {
	h := NewLatency()
	h.Update(-5)
	h.Update(int64(48 * time.Hour / time.Millisecond))
	if h.Count() != 2 || h.Min() != 0 || h.Sum() != latencyMax {
		t.Errorf("%d values from %d, sum %d", h.Count(), h.Min(), h.Sum())
	}
}
