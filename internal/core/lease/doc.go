// Package lease implements leases with fencing numbers, stored in rows of the
// platform's table service.
//
// A lease has two rows. The holder renews the lease row, so the version of that row
// changes with every renewal. The fence row changes only with the holder. Guarded
// commits carry a condition on its version, so that they are not affected by
// renewals and commits of a former holder cannot take effect.
//
// A holder trusts its lease until (monotonic time just before it sent the last
// renewal known to have taken effect) + Term - Margin. A challenger takes
// over the lease only after it has observed the same version of the lease row for
// Term + Margin. The margins on both sides allow for clocks that run at different
// rates; clocks of different processes are never compared.
//
// Orders to engines that ignore fencing numbers may be sent only while the lease is
// trusted; a successor waits for another LongestOrder before its first such order.
package lease
