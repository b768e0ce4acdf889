package account

import (
	"testing"
	"time"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// TestRefusalNeedsLaterRead guards against a final refusal on a configuration that may be
// older than the request.
func TestRefusalNeedsLaterRead(t *testing.T) {
	var reads Reads
	expect := func(when string, arrived int, want Progress) {
		t.Helper()
		if got := reads.Since(at(arrived)); got != want {
			t.Errorf("%s: reads since %d ms are in state %d, want %d", when, arrived, got, want)
		}
	}
	expect("before the first read", 0, NotBegun)
	reads.Begin(at(10))
	expect("first read in progress", 10, Pending)
	expect("first read in progress", 11, NotBegun)
	reads.Begin(at(20))
	reads.End(at(10), true)
	expect("first read succeeded", 10, Done)
	expect("first read succeeded", 11, Pending)
	reads.End(at(20), false)
	expect("second read failed", 10, Done)
	expect("second read failed", 11, Failed)
	expect("second read failed", 21, NotBegun)
	reads.Begin(at(30))
	expect("third read in progress", 11, Pending)
	reads.End(at(30), true)
	expect("third read succeeded", 11, Done)
	if got := reads.Succeeded(); got != at(30) {
		t.Errorf("newest success began at %v, want %v", got, at(30))
	}
}

// TestReadsForRequestsAreSpaced guards against a read for each request.
func TestReadsForRequestsAreSpaced(t *testing.T) {
	var reads Reads
	if delay := reads.Delay(at(0), time.Second); delay != 0 {
		t.Errorf("the first read waits %v, want none", delay)
	}
	reads.Begin(at(0))
	for now, want := range map[int]time.Duration{0: time.Second, 400: 600 * time.Millisecond, 1000: 0, 3000: 0} {
		if delay := reads.Delay(at(now), time.Second); delay != want {
			t.Errorf("a read at %d ms waits %v, want %v", now, delay, want)
		}
	}
}
