package porttest

import (
	"cmp"
	"context"
	"reflect"
	"slices"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

// VMHarness is the VM list under test, with control over its faults.
type VMHarness struct {
	List    ports.VMList
	Control Control
	Set     func(list ...core.VM) // replaces the list, without any lag
}

// VMFactory returns an empty VM list without faults or lag.
type VMFactory func(t *testing.T) VMHarness

var vmFaultCases = []faultCase{
	{faults.VMList, faults.Refuse, errkind.StoreUnavailable, false, false},
	{faults.VMList, faults.DropBefore, errkind.StoreUnavailable, false, false},
	{faults.VMList, faults.DropAfter, errkind.StoreUnavailable, false, false},
	{faults.VMList, faults.Delay, errkind.StoreUnavailable, false, false},
}

// VMList runs the contract tests of ports.VMList.
func VMList(t *testing.T, factory VMFactory) {
	for _, c := range vmFaultCases {
		t.Run(c.name(), func(t *testing.T) {
			h := factory(t)
			err := c.call(t, h.Control, func(ctx context.Context) error {
				_, err := h.List.VMs(ctx)
				return err
			})
			c.checkKind(t, "VMs", err)
			h.Control.ReleaseHeld()
			checkVMs(t, h, nil)
		})
	}
	t.Run("changes", func(t *testing.T) { vmChanges(t, factory(t)) })
}

func vmChanges(t *testing.T, h VMHarness) {
	engine := core.VM{
		ID: "engine-1", Kind: core.KindEngine, Service: "coach", Address: "10.0.0.1:80",
		Zone: "qc-est-a", Region: "qc-est", State: core.VMLive,
	}
	entry := core.VM{ID: "entry-1", Kind: core.KindEntry, Address: "10.0.0.2:80", Zone: "b", Region: "r", State: core.VMLive}
	leaving := engine
	leaving.State = core.VMLeaving
	for _, want := range [][]core.VM{nil, {engine, entry}, {leaving, entry}, {entry}, nil} {
		h.Set(want...)
		checkVMs(t, h, want)
	}
}

func checkVMs(t *testing.T, h VMHarness, want []core.VM) {
	t.Helper()
	got, err := h.List.VMs(callContext(t))
	slices.SortFunc(got, func(a, b core.VM) int { return cmp.Compare(a.ID, b.ID) })
	if err != nil || len(got) != len(want) || len(got) > 0 && !reflect.DeepEqual(got, want) {
		t.Errorf("VMs = %+v, %v, want %+v", got, err, want)
	}
}
