package job

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// replayTakeovers replays coordinators of some jobs, each of which ends when the given
// function says so for what it has open, or after its life. It returns how many there were
// until the jobs were open for a minute, and the losses of each job.
func replayTakeovers(jobs int, life func(coordinator int) time.Duration, ends func(open map[core.JobID]time.Time, now time.Time) bool) (coordinators int, losses map[core.JobID]int, waited time.Duration) {
	const tick, takeover = 100 * time.Millisecond, 1700 * time.Millisecond
	losses = make(map[core.JobID]int)
	now := time.Unix(1000, 0)
	var ids []core.JobID
	for n := range jobs {
		ids = append(ids, core.JobID(fmt.Sprint("j", n)))
	}
	for coordinators = 1; coordinators < 50; coordinators++ {
		takeovers := &Takeovers{}
		takeovers.Begin()
		if coordinators > 1 { // the first one gets them as they are submitted
			takeovers.Found(ids)
		} else {
			takeovers.Found(nil)
		}
		began, open := now, make(map[core.JobID]time.Time)
		for ; now.Sub(began) < life(coordinators); now = now.Add(tick) {
			for count := 0; count <= maxLosses; count++ { // as SortByLosses
				for _, id := range ids {
					if !open[id].IsZero() || losses[id] != count {
						continue
					}
					if mayOpen, counts := takeovers.Open(id, count, now); mayOpen {
						open[id] = now
						waited = max(waited, now.Sub(began))
						if counts {
							losses[id]++
						}
					}
				}
			}
			for id := range open {
				if takeovers.IsSettled(id, now) {
					losses[id] = 0
				}
			}
			if ends(open, now) {
				break
			}
		}
		if now.Sub(began) >= time.Minute {
			break
		}
		now = now.Add(takeover)
	}
	return coordinators, losses, waited
}

// TestReplayJobThatEndsItsCoordinators guards against a job that ends each process which
// opens it, one after the other without end, and the others with it.
func TestReplayJobThatEndsItsCoordinators(t *testing.T) {
	const poison = "j1"
	forever := func(int) time.Duration { return time.Hour }
	coordinators, losses, _ := replayTakeovers(6, forever, func(open map[core.JobID]time.Time, now time.Time) bool {
		return !open[poison].IsZero() && now.Sub(open[poison]) >= 800*time.Millisecond
	})
	// Five ends at most, so that no two machines see three each.
	if coordinators > 6 || !IsSetAside(losses[poison]) {
		t.Errorf("%d coordinators, losses %v, want the sixth to set the job aside", coordinators, losses)
	}
	for id, count := range losses {
		if id != poison && count != 0 {
			t.Errorf("%s has %d losses, want none after a minute", id, count)
		}
	}
}

// TestReplayKilledCoordinatorsSetNoJobAside replays six coordinators that are killed 2.5 s
// after they take over, and a service whose coordinators change each 300 ms three times.
func TestReplayKilledCoordinatorsSetNoJobAside(t *testing.T) {
	for what, life := range map[string]func(int) time.Duration{
		"killed after 2.5 s": func(coordinator int) time.Duration {
			if coordinator <= 6 {
				return 2500 * time.Millisecond
			}
			return time.Hour
		},
		"three changes within a second": func(coordinator int) time.Duration {
			if coordinator <= 3 {
				return 300 * time.Millisecond
			}
			return time.Hour
		},
	} {
		_, losses, waited := replayTakeovers(3, life, func(open map[core.JobID]time.Time, _ time.Time) bool { return false })
		for id, count := range losses {
			if count != 0 {
				t.Errorf("%s: %s has %d losses, want none", what, id, count)
			}
		}
		if waited > 0 {
			t.Errorf("%s: a job waits for %v after a takeover, want none", what, waited)
		}
	}
}
