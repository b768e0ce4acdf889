// Package configuration holds the decisions on configurations: whether one is
// valid, how two differ, how the next one joins the chain of generations, and
// which of two a process applies.
package configuration
