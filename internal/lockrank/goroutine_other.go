//go:build lockcheck && !amd64

package lockrank

import (
	"bytes"
	"runtime"
)

// goroutine identifies a goroutine while it exists.
type goroutine string

// stackHeaderBytes is enough for the "goroutine N [" at the start of a stack
// trace.
const stackHeaderBytes = 64

// currentGoroutine returns the calling goroutine, identified by the number at the
// start of its stack trace. This is slow.
func currentGoroutine() goroutine {
	var header [stackHeaderBytes]byte
	n := runtime.Stack(header[:], false)
	return goroutine(bytes.Fields(header[:n])[1])
}
