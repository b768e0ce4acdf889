package configuration

import (
	"math/rand/v2"

	"fescuespar/internal/core"
)

// PollersPerInterval is how many processes of a fleet read the head of the
// chain in one poll interval, on average.
const PollersPerInterval = 32

// PollNow reports whether a process is to read the head of the chain in this
// poll interval. A process without a configuration always does, and so does
// every process of a small fleet. Beyond PollersPerInterval live processes the
// fleet's reads stay constant: whoever sees a newer generation first spreads it
// by heartbeat.
func PollNow(inForce core.Generation, live int, random *rand.Rand) bool {
	if inForce == 0 || live <= PollersPerInterval {
		return true
	}
	return random.IntN(live) < PollersPerInterval
}
