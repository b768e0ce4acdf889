// Package app is the application layer. Its work consists of steps: each takes
// a snapshot from the shared tables, calls a decision function of package core,
// writes the result back and hands I/O to a lane. The end of the I/O enqueues
// the next step.
package app
