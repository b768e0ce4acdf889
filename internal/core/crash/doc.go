// Package crash recognizes requests that crash the backend servers on which
// they run, by a fingerprint of the request.
//
// The death of a server makes every fingerprint that was in flight on it a
// suspect. A suspect runs next only as a trial: one copy at a time over all
// entry VMs, on a server where no other suspect runs, and only after every live
// entry process has allowed it. A trial that ends cleanly clears its
// fingerprint. A trial whose server dies convicts the fingerprint and clears
// the other suspects of the same deaths. Three or more servers that die
// together are treated as an outage, which convicts no fingerprint.
//
// The types are not safe for concurrent use; the table that holds them locks.
package crash
