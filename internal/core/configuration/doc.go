// Package configuration implements the decisions about configurations: validation,
// the difference between two of them, publication of the next generation, and whether
// a process applies a generation.
package configuration
