package tables

import (
	"math/rand/v2"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
)

// TestNoServerIsSaidOnlyAfterAList asks for a server before the first VM list
// and after one that names none.
func TestNoServerIsSaidOnlyAfterAList(t *testing.T) {
	servers := NewServers(rand.New(rand.NewPCG(1, 1)))
	query := routing.Query{Kind: core.KindEngine, Service: "model"}
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.Starting) {
		t.Errorf("before the first list: %v, want kind %s", err, errkind.Starting)
	}
	servers.ApplyVMs(nil)
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.NoServer) {
		t.Errorf("after a list without servers: %v, want kind %s", err, errkind.NoServer)
	}
}
