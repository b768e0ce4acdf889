// Package admission decides whether a request may start, waits or is refused.
//
// A Gate holds one deployment's queue in one entry process: people go before
// rollouts, rollouts keep a share, callers of a class are served by deficit
// round robin, and a request that cannot be answered in time is refused before
// it is run. A Share decides how much of the deployment's limit this process
// may use and which peers it asks for more; a Roster tells it who shares the
// limit. A ServerLimit adapts the concurrency of one backend server to its
// latency.
//
// Nothing here is safe for concurrent use; a table guards it.
package admission
