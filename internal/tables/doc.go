// Package tables holds the state that the workers share. Each table has its own
// files and its own lock; package lockrank defines the lock order. Methods are
// short, do no I/O and hold no lock but their own table's.
package tables
