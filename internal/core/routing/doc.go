// Package routing decides which backend server runs a request.
//
// A decision gathers a bounded set of candidates from indexes by service,
// region, adapter and weight version: servers that probably have a part of the
// prompt cached, and a few random ones. Filters reject candidates that must not
// run the request, scorers assign each of the others a cost in seconds of
// waiting, and a picker selects one.
//
// Memory use is bounded by the number of listed servers and by Policy. Times
// and random sources are passed in. A State is not safe for concurrent use; its
// callers hold the lock of the table that contains it.
package routing
