// Package delivery decides which groups the batch of a training step contains,
// so that every sample is delivered to its trainer exactly once and is fresh
// enough.
//
// A step's batch is fixed by one commit. It inserts the step row, marks the
// batch's groups as delivered, and is conditional on the coordinator's fence
// row, the absence of the step row and the version of the delivery row. The
// batch's body is written to the object store before that commit, under a key
// that is unique to the attempt. Fetching a fixed step again returns the same
// body. Requesting the next step acknowledges the previous one.
//
// Delivered groups are stored as ranges of group indices for each planned step.
// Steps whose groups can no longer be delivered are closed, so the number of
// ranges stays bounded.
package delivery
