// Package retry decides whether a failed attempt is repeated, and when, and
// whether a second copy of a straggler is started.
//
// A Policy decides about one request, a Budget bounds the repeats of one
// deployment to a share of its requests, and Latencies keep the quantiles from
// which hedging takes its delay.
//
// Nothing here is safe for concurrent use; a table guards it.
package retry
