package vmlisthttp_test

import (
	"testing"
	"time"

	"fescuespar/internal/adapters/vmlisthttp"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest"
	"fescuespar/standin/platform"
	"fescuespar/standin/platform/platformtest"
)

const callTimeout = 10 * time.Second

func TestClientConformance(t *testing.T) {
	porttest.VMList(t, func(t *testing.T) porttest.VMHarness {
		server := platformtest.Start(t, platform.Options{})
		client := vmlisthttp.New(server.URL, callTimeout)
		t.Cleanup(client.Close)
		return porttest.VMHarness{List: client, Control: server, Set: newListSetter(server)}
	})
}

// newListSetter returns a function that replaces the VM list of the server.
func newListSetter(server *platformtest.Server) func(...core.VM) {
	var current []core.VM
	return func(list ...core.VM) {
		for _, vm := range current {
			server.RemoveVM(vm.ID)
		}
		for _, vm := range list {
			server.AddVM(vm)
		}
		current = list
	}
}
