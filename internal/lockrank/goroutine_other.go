//go:build lockcheck && !amd64

package lockrank

import (
	"bytes"
	"runtime"
)

// goroutine tells goroutines apart while they live.
type goroutine string

// stackHeaderBytes is enough for "goroutine N [" of a stack trace.
const stackHeaderBytes = 64

// current returns the goroutine that calls it, by the head of its stack trace.
// That is slow.
func current() goroutine {
	var header [stackHeaderBytes]byte
	n := runtime.Stack(header[:], false)
	return goroutine(bytes.Fields(header[:n])[1])
}
