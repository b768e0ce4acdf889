// Package outlier ejects backend servers that fail or are slow while the rest
// of their pool is healthy, and restores their load gradually.
//
// A server is ejected after consecutive failures, or when its success rate or
// its time per token is far from the median of the servers that had results in
// the same period. Only a limited share of a pool is ejected at once. When the
// pool's median itself degrades (all servers are slow or failing at once)
// nothing is ejected for that reason, and servers ejected for it at the onset
// are restored at once.
//
// Nothing here reads a clock or draws random numbers on its own. A Pool and its
// Servers are not safe for concurrent use. No function returns an error.
package outlier
