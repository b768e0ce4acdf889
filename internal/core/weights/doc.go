// Package weights decides how a new weight version is rolled out to the engines
// of a deployment: which engines load it when, and whether the load orders
// succeeded.
//
// That an engine accepted an order does not mean that it serves the version: a
// swap has succeeded only when the engine's own status reports the version. If
// it does not by the deadline, the swap has failed; the failure is counted and
// the order repeated after a backoff.
package weights
