// Package admission decides whether a request may start, must wait or is
// refused.
//
// A Gate queues the requests of one deployment, or to one service, in one entry
// process. Interactive requests take precedence over rollouts, which have a
// reserved share. Callers within a class are served by deficit round robin,
// weighted by priority, their routes by priority, and a request that cannot be
// answered in time is refused before it runs. Capacity and MayHold bound the
// requests that a process holds for all gates together. A Share computes how much of
// the deployment's limit this process may use and which peers it asks for more;
// a Roster tracks the processes that share the limit. A ServerLimit adapts the
// concurrency limit of one backend server to its latency.
//
// The types are not safe for concurrent use; the table that holds them locks.
package admission
