// Package claim decides about requests that may run at most once.
//
// A request is claimed by a conditional insert of its row before its first byte
// is sent to a backend server. Only the process whose attempt id is in the row
// may dispatch the request, once; all others answer from the row. After the
// call the outcome is recorded in the row, or the claim is released if the
// backend server proved that the request did not run. A released row is not
// deleted, so that its version keeps growing and a late insert of it can never
// take effect.
//
// Claims, outcomes and releases that arrive together share one commit; see
// Batch.
package claim
