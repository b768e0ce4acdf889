package job

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// TestReplaySmallJobsFindRoomBesideLargeOnes replays 30 jobs of 13.2 MB in memory that stay
// open beside steps of 0.5 MB, two of which are open at a time, with memory for one and a
// half large ones.
func TestReplaySmallJobsFindRoomBesideLargeOnes(t *testing.T) {
	const total, large, small = 19_000_000, 13_200_000, 500_000
	room := NewRoom(total)
	open := 0
	for n := range 30 {
		if room.Reserve(core.JobID(fmt.Sprint("large-", n)), large) {
			open++
		}
		step := core.JobID(fmt.Sprint("step-", n))
		if !room.Reserve(step, small) {
			t.Fatalf("step %d finds no room beside %d large jobs", n, open)
		}
		room.Resize(step, small/2)
		if n >= 2 {
			room.Release(core.JobID(fmt.Sprint("step-", n-2)))
		}
		if free := room.free; free < 0 {
			t.Fatalf("%d bytes too much are taken", -free)
		}
	}
	if open != 1 {
		t.Errorf("%d large jobs are open, want 1", open)
	}
	room.Release("large-0")
	if !room.Reserve("large-1", large) {
		t.Error("a large job finds no room after the one before it")
	}
}

// TestRoomTakesAnyJobAlone checks what one job may take.
func TestRoomTakesAnyJobAlone(t *testing.T) {
	room := NewRoom(100)
	if !room.Reserve("a", 101) || room.Reserve("b", 1) || !room.Reserve("a", 100) || !room.IsScarce() {
		t.Error("one job may not take all, or another one finds room beside it")
	}
	room.Release("a")
	room.Release("a")
	if room.Reserve("small", 5); room.IsScarce() {
		t.Error("memory is scarce beside one small job")
	}
	room.Release("small")
	if room.free != 100 || room.IsScarce() {
		t.Errorf("%d bytes are free after all jobs were closed", room.free)
	}
	if unbounded := NewRoom(0); !unbounded.Reserve("a", 1<<40) || unbounded.IsScarce() {
		t.Error("a room without a bound refuses a job")
	}
}
