// Package core holds the types that every decision of the service works on.
// The packages below it hold the decisions, one each. Nothing here or below
// does I/O, encodes messages, reads a clock or draws random numbers: state,
// times and random sources come in as arguments.
package core
