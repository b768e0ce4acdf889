package serverhttp

import (
	"net"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// TestProbeTellsWhetherAServerKeepsConnections has a server that accepts connections and
// closes them at once, as what stands before a dead server may.
func TestProbeTellsWhetherAServerKeepsConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closes := make(chan bool, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if <-closes {
				_ = conn.Close()
			}
		}
	}()
	server := core.VM{ID: "a", Address: listener.Addr().String()}
	closes <- false
	if err := Probe(t.Context(), server); err != nil {
		t.Errorf("server that keeps connections: %v", err)
	}
	closes <- true
	if err := Probe(t.Context(), server); !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("server that closes connections: %v, want %s", err, errkind.ServerRefused)
	}
	_ = listener.Close()
	if err := Probe(t.Context(), server); !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("server without a listener: %v, want %s", err, errkind.ServerRefused)
	}
}
