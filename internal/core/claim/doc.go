// Package claim decides about requests that may run at most once.
//
// A request is claimed by a conditional insert of its row before its first
// byte leaves for a backend server. Whoever's attempt id the row carries may
// dispatch it, once; everybody else answers from the row. After the call the
// outcome is recorded in the row, or the claim is released when the backend
// server proved that the request did not run. A released row is kept, so that
// its version keeps growing and a late insert of it can never take effect.
//
// Claims, outcomes and releases that come together share one commit: see Batch.
package claim
