package usage

import "time"

const (
	// minWriteInterval is the shortest interval between two writes of a process's counts,
	// and so the time of which a killed process loses the counts.
	minWriteInterval = time.Second
	// writesPerSecond bounds the writes of counts of all processes: a tenth of those that
	// the store accepts.
	writesPerSecond = 150
)

// WriteInterval returns the interval at which each of a number of processes writes its
// counts.
func WriteInterval(processes int) time.Duration {
	return max(minWriteInterval, time.Duration(processes)*time.Second/writesPerSecond)
}
