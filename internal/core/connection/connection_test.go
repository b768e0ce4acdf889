package connection

import (
	"testing"
	"time"
)

var now = time.Date(2026, 12, 6, 10, 0, 0, 0, time.UTC)

// view returns a connection that has been in a phase for some seconds, silent for some of
// them.
func view(phase Phase, age, silence float64, bytes int64) View {
	second := func(s float64) time.Time { return now.Add(-time.Duration(s * float64(time.Second))) }
	return View{Phase: phase, Since: second(age), Progress: second(silence), Bytes: bytes}
}

// TestWorthlessConnectionsAreClosedFirst guards against the loss of a connection whose
// client keeps to the limits while another one does not.
func TestWorthlessConnectionsAreClosedFirst(t *testing.T) {
	refused := view(Idle, 3, 3, 0)
	refused.Refused = true
	// In the order in which they are closed.
	closed := []View{
		view(Closing, 0.2, 0.2, 0), view(Closing, 0.1, 0.1, 0), view(New, 9, 9, 0), view(New, 0, 0, 0), refused,
		view(Body, 40, 20, 1<<20), view(Answer, 6, 5, 1<<20), view(Head, 2, 1.5, 9000), view(Body, 10, 0.5, 4000),
	}
	kept := []View{
		view(Running, 100, 100, 0), view(Idle, 14, 14, 0), view(Body, 10, 0.5, 5000), view(Body, 0.9, 0.9, 0),
		view(Head, 0.5, 0.5, 10), view(Answer, 100, 0.9, 1<<20),
	}
	for number := range closed {
		views := append(append([]View{}, kept...), closed[number:]...)
		if first, found := First(views, now); !found || first != len(kept) {
			t.Errorf("connection %d is closed, want %d: %+v", first, len(kept), closed[number])
		}
	}
	if first, found := First(kept, now); found {
		t.Errorf("connection %+v is closed, whose client keeps to the limits", kept[first])
	}
}

// TestBoundsLeaveDescriptorsAndMemory guards against bounds that leave nothing for
// backend servers, the store and peers, or for bodies.
func TestBoundsLeaveDescriptorsAndMemory(t *testing.T) {
	const mb = 1 << 20
	for _, vm := range []struct {
		memory      int64
		descriptors int
	}{{144 * mb, 3075}, {184 * mb, 4100}, {536 * mb, 8200}, {536 * mb, 10_250}, {96 * mb, 400}, {64 * mb, 0}} {
		b := BoundsFor(vm.memory, vm.descriptors)
		clients := b.Callers + b.Directory
		if vm.descriptors > 0 && clients+2*b.Monitoring > (vm.descriptors-fileDescriptors)*4/5 {
			t.Errorf("%d descriptors: bounds %+v leave less than a fifth of the sockets", vm.descriptors, b)
		}
		if int64(clients)*bytesPerClient > vm.memory/8 || b.Callers < 30 || b.Directory < 8 {
			t.Errorf("%d MB, %d descriptors: bounds %+v", vm.memory/mb, vm.descriptors, b)
		}
	}
}
