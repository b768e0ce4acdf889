// Package vmlist decides how entry processes share the platform's VM list: who
// reads it and what a reader tells the others.
//
// In a large fleet two processes of each availability zone, found by rendezvous
// hashing over the live ones, read the list. Each of the others asks one of
// them, names the digest of the list that it has, and is told what changed
// since and how old the reader's list is. A process reads for itself when it
// gets no answer in time, when the answer is too old, and when the changes do
// not lead to the digest that the answer names.
//
// Times are arguments. A Book is not safe for concurrent use; a table guards it.
package vmlist

import "time"

const (
	// SmallFleet is the largest number of live processes that all read the list.
	SmallFleet = 32
	// ReadersPerZone is how many processes of an availability zone read the
	// list in a larger fleet.
	ReadersPerZone = 2

	pastLists    = 64   // lists that a reader can tell the changes since
	pastChanges  = 4096 // VMs changed over all of them
	maxAgeFactor = 1.2  // oldest list taken from a reader, in intervals
	askFactor    = 0.5  // longest wait for an answer, in intervals
)

// MaxAge returns how old a reader's list may be for another to take it, for an
// interval between reads. A reader's list is younger unless a read failed.
func MaxAge(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * maxAgeFactor)
}

// AskTimeout returns how long a process waits for a reader's answer before it
// reads for itself.
func AskTimeout(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * askFactor)
}

// KnownWithin returns the time after which every process knows a change of the
// list while the platform answers within latency, whatever happens to the
// readers: a reader's list just before the change, the wait until it is asked
// again with its jitter, no answer, and a read.
func KnownWithin(interval, latency time.Duration) time.Duration {
	const jitter = 20 // part of an interval by which a period may be longer
	return MaxAge(interval) + interval + interval/jitter + AskTimeout(interval) + latency
}
