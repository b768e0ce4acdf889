package porttest

import (
	"context"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

// rankVMs is below every rank of the service, so that a build with the tag
// lockcheck panics when the fake is called under a lock of the service.
const rankVMs lockrank.Rank = 3

// VMs is an in-memory ports.VMList.
type VMs struct {
	FaultInjector

	// mu guards list.
	mu   lockrank.Mutex
	list []core.VM
}

var _ ports.VMList = (*VMs)(nil)

// NewVMs returns a fake that lists the given VMs, without faults.
func NewVMs(list ...core.VM) *VMs {
	return &VMs{FaultInjector: newFaultInjector(), mu: lockrank.New(rankVMs), list: slices.Clone(list)}
}

// Set replaces the list, without any lag.
func (v *VMs) Set(list ...core.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = slices.Clone(list)
}

// VMs implements ports.VMList.
func (v *VMs) VMs(ctx context.Context) ([]core.VM, error) {
	var list []core.VM
	effect := func() { list = v.snapshot() }
	if err := v.perform(ctx, faults.VMList, effect); err != nil {
		return nil, err
	}
	return list, nil
}

func (v *VMs) snapshot() []core.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}
