// Package lease decides who owns what: leases with fencing numbers, kept as
// rows of the platform's table service.
//
// A lease has two rows. The lease row is renewed by its holder, so its version
// changes with every renewal. The fence row changes only when the lease
// changes hands; guarded commits carry a condition on its version, so that a
// renewal never disturbs them and a former holder's commit never takes effect.
//
// A holder trusts its lease until (monotonic time just before it sent the last
// renewal known to have taken effect) + Term - Margin. A challenger takes the
// lease over only after it has itself seen the same version of the lease row
// for Term + Margin. The margin on both sides covers clocks that run at
// different rates; no two clocks are ever compared.
//
// Engines that ignore fencing numbers may be given orders only while the lease
// is trusted; a successor waits LongestOrder more before its first order to them.
package lease
