// Package delivery decides which groups a training step's batch holds, so that
// every sample reaches its trainer exactly once and fresh enough.
//
// A step's batch is fixed by one commit that inserts the step row, marks its
// groups as delivered and requires the coordinator's fence row, the step row's
// absence and the delivery row's version. The batch's body is put into the
// object store before that commit, under a key that no other attempt uses.
// Fetching a fixed step again reads the same body. Asking for the next step
// acknowledges the last.
//
// Marks are kept as ranges of group indices for each planned step. Steps whose
// groups can no longer be delivered are closed, so the marks stay bounded.
package delivery
