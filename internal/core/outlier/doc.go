// Package outlier ejects backend servers that fail or are slow while the rest
// of their pool is well, and lets them return slowly.
//
// A server is ejected after consecutive failures, or when its success rate or
// its time per token is far from the median of peers that had results in the
// same period. At most a share of a pool is ejected at once. When the pool's
// median itself moves (a sag: all slow or failing at once) nothing is ejected for
// that reason, and what was ejected for it at the onset returns at once.
//
// Nothing here reads a clock or draws random numbers; a Pool and its Servers
// are not safe for concurrent use. No function returns an error.
package outlier
