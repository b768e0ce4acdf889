//go:build lockcheck

package lockrank

// goroutine tells goroutines apart while they live.
type goroutine uintptr

// current returns the goroutine that calls it, by the address of the runtime's
// own record of it.
func current() goroutine
