package configuration

import (
	"math/rand/v2"
	"testing"

	"fescuespar/internal/core"
)

// TestPollsOfAFleetAreBounded counts the reads of a fleet in 1,000 intervals.
func TestPollsOfAFleetAreBounded(t *testing.T) {
	const intervals = 1000
	cases := []struct {
		name    string
		inForce core.Generation
		live    int
		least   int // reads in an interval
		most    int
	}{
		{"alone", 3, 1, 1, 1},
		{"today's size", 3, 11, 11, 11},
		{"largest fleet in which all poll", 3, PollersPerInterval, PollersPerInterval, PollersPerInterval},
		{"fleet", 3, 610, PollersPerInterval - 1, PollersPerInterval + 1},
		{"fleet that starts", 0, 610, 610, 610},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(1, 1))
		reads := 0
		for range intervals * c.live {
			if PollNow(c.inForce, c.live, random) {
				reads++
			}
		}
		if reads < c.least*intervals || reads > c.most*intervals {
			t.Errorf("%s: %d reads in %d intervals, want %d to %d in each", c.name, reads, intervals, c.least, c.most)
		}
	}
}
