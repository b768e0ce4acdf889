// Package routing decides which backend server runs a request.
//
// A decision gathers a bounded set of candidates from indexes by service,
// region, adapter and weight version: servers that are believed to
// hold a part of the prompt, and a few drawn at random. Filters drop the
// candidates that must not run the request, scorers give each of the rest a
// cost in seconds of waiting, and a picker takes one.
//
// All memory is bounded by the number of listed servers and by Policy. Times
// and random sources are arguments. A State is not safe for concurrent use; a
// table guards it.
package routing
