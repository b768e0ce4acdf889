// Package tables holds the state that the workers share: one file for each
// table, each with its own lock. The locks' order is in package lockrank.
// Methods are short, do no I/O and hold only their own table's lock.
package tables
