// Package retry decides whether and when a failed attempt is retried.
//
// A Policy decides for one request; a Budget limits the retries of one
// deployment to a share of its requests.
//
// The types are not safe for concurrent use; the table that holds them locks.
package retry
