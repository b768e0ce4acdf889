package duty

import (
	"testing"
	"time"

	"fescuespar/internal/errkind"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// run makes calls as often as the pace allows for a minute. Each takes a time, or its
// timeout, and has an outcome.
func run(pace *Pace, takes time.Duration, outcome errkind.Kind) (calls, answered int) {
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if !pace.MayCall(at(now)) {
			continue
		}
		calls++
		timeout := pace.Begin(at(now))
		kind := outcome
		if takes > timeout {
			kind = errkind.OutcomeUnknown
		} else if outcome == "" {
			answered++
		}
		now += min(takes, timeout)
		pace.End(kind, at(now))
	}
	return calls, answered
}

// TestPaceStaysBelowTheRate guards against the refusal of calls that are due, and against
// calls that hammer a platform which fails.
func TestPaceStaysBelowTheRate(t *testing.T) {
	const perSecond = 50
	cases := []struct {
		name     string
		takes    time.Duration
		outcome  errkind.Kind
		min, max int // calls in a minute
	}{
		{"answers", 0, "", 300, 60 * perSecond / 4},
		{"none available", 0, errkind.NoServer, 300, 60 * perSecond / 4},
		{"refused by rate", 0, errkind.Overloaded, 10, 65},
		{"unreachable", 0, errkind.StoreUnavailable, 10, 65},
		{"answers lost", 0, errkind.OutcomeUnknown, 10, 65},
		{"no answers", time.Hour, "", 3, 15},
	}
	for _, c := range cases {
		calls, _ := run(NewPace(perSecond), c.takes, c.outcome)
		if calls < c.min || calls > c.max {
			t.Errorf("%s: %d calls in a minute, want %d to %d", c.name, calls, c.min, c.max)
		}
	}
}

// TestSlowAnswersAreAwaited has answers that take longer than the usual timeout: the calls
// must not end before every answer.
func TestSlowAnswersAreAwaited(t *testing.T) {
	for _, takes := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		if calls, answered := run(NewPace(50), takes, ""); answered < calls/2 || answered < 4 {
			t.Errorf("answers after %v: %d of %d calls were answered", takes, answered, calls)
		}
	}
}
