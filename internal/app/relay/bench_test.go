package relay

import (
	"testing"

	"fescuespar/internal/core"
)

// BenchmarkForward measures a forwarded request without its I/O: from the front end's
// call to the answer of a backend server that answers at once.
func BenchmarkForward(b *testing.B) {
	s := newEnvironment(b)
	service := s.waitReady(s.start("vm-1"))
	b.ReportAllocs()
	for b.Loop() {
		_, err := service.Forward(b.Context(), core.RelayRequest{ID: "r-1", Method: "POST", Host: host, Target: "/lookup/x"})
		if err != nil {
			b.Fatal(err)
		}
	}
}
