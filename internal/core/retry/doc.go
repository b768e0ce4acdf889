// Package retry decides whether a failed attempt is repeated, and when.
//
// A Policy decides about one request, and a Budget bounds the repeats of one
// deployment to a share of its requests.
//
// Nothing here is safe for concurrent use; a table guards it.
package retry
