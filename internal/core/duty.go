package core

import "time"

// Duty is the right to call the platform's interface for all entry processes. It is
// held under a lease.
type Duty struct {
	Holder VMID
	Fence  Fence     // increases with each change of the holder
	Until  time.Time // no call may be sent from this time on; of the process's monotonic clock
}

// UsageWindow is the number of a window in which usage is counted. Windows have one
// length and are counted from the start of 1970 in true time.
type UsageWindow uint64

// UsageReport is the number of requests of each account that backend servers began to
// run in one window. Accounts without requests are absent.
type UsageReport struct {
	Window UsageWindow
	Counts map[AccountName]uint64
}

// DesiredServers is the number of servers of one kind that a service is to have in an
// availability zone.
type DesiredServers struct {
	Service string
	Zone    ZoneName
	Spot    bool
	Count   int
}

// StoreTime is one reading of the clock of the platform's store.
type StoreTime struct {
	Sent, Received time.Time     // of the call; of the process's monotonic clock
	Now            time.Duration // the store's clock, whose origin is unknown
}

// Total returns the number of requests of all accounts.
func (r *UsageReport) Total() uint64 {
	var total uint64
	for _, count := range r.Counts {
		total += count
	}
	return total
}
