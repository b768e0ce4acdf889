// Package weights decides how a new weight version is rolled over the engines
// of a deployment: which engines load it when, and what became of the orders.
//
// An order that an engine accepted is not a version that it serves: a swap is
// done only when the engine's own status shows the version. One that does not
// by its deadline has failed, is counted and given again after a backoff.
package weights
