package software

import (
	"testing"
	"time"
)

// TestReadsKeepToTheirShare guards against more reads than a process's share once the burst
// is used up.
func TestReadsKeepToTheirShare(t *testing.T) {
	var pace ReadPace
	now := time.Unix(1000, 0)
	const interval = 20 * time.Millisecond
	const burst = int(readBurst / interval)
	for n := range 2 * burst {
		want := max(0, time.Duration(n+1-burst)*interval)
		if got := pace.Reserve(now, interval); got != want {
			t.Fatalf("read %d waits %v, want %v", n, got, want)
		}
	}
}

// TestRowsOutliveTheirCallers guards against a row that is removed while its caller may still
// resume the stream.
func TestRowsOutliveTheirCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	const horizon = MinHorizon
	for _, c := range []struct {
		deadline time.Time
		want     time.Duration
	}{{time.Time{}, horizon}, {now.Add(12 * time.Second), 12*time.Second + rowMargin}, {now.Add(time.Hour), horizon}} {
		if got := RowLifetime(c.deadline, now, horizon); got != c.want {
			t.Errorf("deadline %v: kept for %v, want %v", c.deadline, got, c.want)
		}
	}
}
