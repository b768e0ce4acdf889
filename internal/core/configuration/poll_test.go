package configuration

import (
	"math/rand/v2"
	"testing"

	"fescuespar/internal/core"
)

// TestFleetPollsAreBounded counts the reads of a fleet in 1,000 intervals.
func TestFleetPollsAreBounded(t *testing.T) {
	const intervals = 1000
	cases := []struct {
		name    string
		inForce core.Generation
		live    int
		minimum int // reads per interval
		maximum int
	}{
		{"single process", 3, 1, 1, 1},
		{"small fleet", 3, 11, 11, 11},
		{"largest fleet in which all processes poll", 3, PollersPerInterval, PollersPerInterval, PollersPerInterval},
		{"large fleet", 3, 610, PollersPerInterval - 1, PollersPerInterval + 1},
		{"large fleet that starts", 0, 610, 610, 610},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(1, 1))
		reads := 0
		for range intervals * c.live {
			if ShouldPoll(c.inForce, c.live, random) {
				reads++
			}
		}
		if reads < c.minimum*intervals || reads > c.maximum*intervals {
			t.Errorf("%s: %d reads in %d intervals, want %d to %d per interval", c.name, reads, intervals, c.minimum, c.maximum)
		}
	}
}
