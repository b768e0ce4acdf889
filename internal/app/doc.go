// Package app is the application layer: it moves work through the shared
// tables. Each step takes a snapshot from the tables, asks a decision of
// package core, writes the result back and hands I/O to a lane, whose
// completion enqueues the next step.
package app
