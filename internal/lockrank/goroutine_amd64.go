//go:build lockcheck

package lockrank

// goroutine identifies a goroutine while it exists.
type goroutine uintptr

// currentGoroutine returns the calling goroutine, identified by the address of
// the runtime's g structure.
func currentGoroutine() goroutine
