// Package vmlist decides how entry processes share the platform's VM list: which
// processes read it and which changes a reader sends to the others.
//
// In a large fleet two processes of each availability zone read the list. They
// are chosen by rendezvous hashing over the live processes. Each of the other
// processes sends the digest of its list to one of the readers, which returns
// the changes since that list and the age of its own list. A process reads the
// list itself when it gets no answer in time, when the reader's list is too old,
// and when applying the changes does not result in the reader's digest.
//
// Times are passed in. The list type is not safe for concurrent use; its callers
// hold the lock of the table that contains it.
package vmlist

import "time"

const (
	// SmallFleetSize is the largest number of live processes of which each reads the
	// list itself.
	SmallFleetSize = 32
	// ReadersPerZone is how many processes of an availability zone read the
	// list in a larger fleet.
	ReadersPerZone = 2

	maxHistoryLists     = 64   // earlier lists for which a reader can return the changes
	maxHistoryVMs       = 4096 // changed VMs over all those lists
	maxAgeIntervals     = 1.2  // maximum age of a reader's list
	askTimeoutIntervals = 0.5  // maximum wait for a reader's answer
)

// MaxAge returns the maximum age at which other processes accept a reader's
// list, for an interval between reads. A reader's list is younger unless a read
// failed.
func MaxAge(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * maxAgeIntervals)
}

// ReaderTimeout returns how long a process waits for a reader's answer before it
// reads the list itself.
func ReaderTimeout(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * askTimeoutIntervals)
}

// MaxPropagationDelay returns the maximum time until every process knows a
// change of the list if the platform answers within latency, even when readers
// fail. The worst case is a reader's list from just before the change, one
// interval with its jitter until the next request, a timeout of that request,
// and a read.
func MaxPropagationDelay(interval, latency time.Duration) time.Duration {
	const jitterDivisor = 20 // an interval may be longer by a twentieth
	return MaxAge(interval) + interval + interval/jitterDivisor + ReaderTimeout(interval) + latency
}
