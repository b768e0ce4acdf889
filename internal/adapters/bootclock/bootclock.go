// Package bootclock implements ports.Clock with CLOCK_BOOTTIME. This clock is
// monotonic and, unlike CLOCK_MONOTONIC, includes the time while the VM was
// suspended. Otherwise a VM that is resumed could still hold a lease that has
// expired for others.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a ports.Clock. Its times have no relation to the time of day.
type Clock struct{}

// Now returns the time since the VM booted, as an offset from the Unix epoch.
func (Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Leases are not safe without this clock. Linux has it since 2.6.39.
		panic(err)
	}
	return time.Unix(now.Sec, now.Nsec)
}
