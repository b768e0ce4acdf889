package announce

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

func usageRow(beat uint64, through core.UsageWindow) core.MemberRecord {
	return core.MemberRecord{Beat: beat, Every: every, Usage: &core.MemberUsage{ClockOffset: time.Duration(through), CountedThrough: through}}
}

// TestCountsOfPausedProcessAreAwaited has a process that stops announcing itself: reports
// must wait for its counts for a while, and not for ever. A process without usage counts
// nothing.
func TestCountsOfPausedProcessAreAwaited(t *testing.T) {
	view := NewView()
	if _, found := view.CountedThrough(); found {
		t.Error("windows are counted through without a process")
	}
	var released time.Duration
	for now := time.Duration(0); now < time.Minute && released == 0; now += 250 * time.Millisecond {
		view.Observe(map[core.VMID]core.MemberRecord{
			"a": usageRow(uint64(now), 7), "paused": usageRow(1, 5), "old": {Beat: uint64(now), Every: every},
		}, at(now.Seconds()))
		through, found := view.CountedThrough()
		if !found || through != 5 && through != 7 {
			t.Fatalf("counted through %d, %v", through, found)
		}
		if through == 7 {
			released = now
		}
	}
	if released < countsWait || released > 2*countsWait {
		t.Errorf("counts of a paused process were awaited for %v, want about %v", released, countsWait)
	}
}

// TestClockOffsetsOfOtherProcesses has a process that is gone for long, and one that
// publishes no offset.
func TestClockOffsetsOfOtherProcesses(t *testing.T) {
	view := NewView()
	for i := range uint64(5 * offsetLife / time.Second) {
		restarted := usageRow(i, 2)
		if i > 10 { // as a process that has started again and has measured nothing yet
			restarted.Usage.ClockOffset = 0
		}
		view.Observe(map[core.VMID]core.MemberRecord{
			"self": usageRow(i, 1), "a": restarted, "gone": usageRow(1, 3), "old": {Beat: i, Every: every},
		}, at(0.25*float64(i)))
	}
	if offsets, processes := view.ClockOffsets("self"); len(offsets) != 1 || offsets[0] != 2 || processes != 2 {
		t.Errorf("offsets %v of %d other processes, want that of a, of 2", offsets, processes)
	}
}

func TestReadsAfterAnOutageBeginAnew(t *testing.T) {
	view := NewView()
	for _, seconds := range []float64{0, 0.3, 0.6, 9, 9.3} {
		view.Observe(map[core.VMID]core.MemberRecord{"a": usageRow(1, 1)}, at(seconds))
	}
	if since := view.ReadableSince(at(9.5)); !since.Equal(at(9)) {
		t.Errorf("readable since %v, want the first read after the outage", since)
	}
	if since := view.ReadableSince(at(20)); !since.Equal(at(20)) {
		t.Errorf("readable since %v in an outage, want now", since)
	}
}
