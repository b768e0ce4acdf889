// Package core defines the domain types of the service. Each of its
// sub-packages implements one decision on them. No code in this tree performs
// I/O, encodes messages, reads a clock or generates random numbers: state, times
// and random sources are passed in as arguments.
package core
