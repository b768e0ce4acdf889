package configuration

import (
	"math/rand/v2"

	"fescuespar/internal/core"
)

// PollersPerInterval is the average number of processes of a large fleet that read
// the head of the chain in one poll interval.
const PollersPerInterval = 32

// ShouldPoll reports whether a process should read the head of the chain in
// this poll interval. A process without a configuration always does, and so
// does every process of a fleet with at most PollersPerInterval live processes.
// In larger fleets the number of reads stays constant, because the first
// process to read a newer generation announces it by heartbeat.
func ShouldPoll(inForce core.Generation, live int, random *rand.Rand) bool {
	if inForce == 0 || live <= PollersPerInterval {
		return true
	}
	return random.IntN(live) < PollersPerInterval
}
