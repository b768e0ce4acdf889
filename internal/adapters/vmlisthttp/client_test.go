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

func TestClientKeepsTheContract(t *testing.T) {
	porttest.VMList(t, func(t *testing.T) porttest.VMHarness {
		server := platformtest.Start(t, platform.Options{})
		client := vmlisthttp.New(server.URL, callTimeout)
		t.Cleanup(client.Close)
		return porttest.VMHarness{List: client, Control: server, Set: setter(server)}
	})
}

// setter returns a function that replaces the server's list.
func setter(server *platformtest.Server) func(...core.VM) {
	var known []core.VM
	return func(list ...core.VM) {
		for _, vm := range known {
			server.RemoveVM(vm.ID)
		}
		for _, vm := range list {
			server.AddVM(vm)
		}
		known = list
	}
}
