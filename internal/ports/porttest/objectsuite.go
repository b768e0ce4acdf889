package porttest

import (
	"bytes"
	"context"
	"reflect"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

// ObjectHarness is the object store under test, with control over its faults.
type ObjectHarness struct {
	Store   ports.ObjectStore
	Control Control
}

// ObjectFactory returns an empty object store without faults.
type ObjectFactory func(t *testing.T) ObjectHarness

// ObjectStore runs the contract tests of ports.ObjectStore.
func ObjectStore(t *testing.T, factory ObjectFactory) {
	t.Run("faults", func(t *testing.T) { objectFaults(t, factory) })
	t.Run("bodies", func(t *testing.T) { objectBodies(t, factory) })
	t.Run("list", func(t *testing.T) { objectList(t, factory) })
}

var objectFaultCases = []faultCase{
	{faults.ObjectWrite, faults.Refuse, errkind.StoreUnavailable, false, false},
	{faults.ObjectWrite, faults.DropBefore, errkind.OutcomeUnknown, false, false},
	{faults.ObjectWrite, faults.DropAfter, errkind.OutcomeUnknown, true, true},
	{faults.ObjectWrite, faults.LateEffect, errkind.OutcomeUnknown, false, true},
	{faults.ObjectWrite, faults.Delay, errkind.OutcomeUnknown, false, true},
	{faults.ObjectRead, faults.Refuse, errkind.StoreUnavailable, false, false},
	{faults.ObjectRead, faults.DropBefore, errkind.StoreUnavailable, false, false},
	{faults.ObjectRead, faults.DropAfter, errkind.StoreUnavailable, false, false},
	{faults.ObjectRead, faults.Delay, errkind.StoreUnavailable, false, false},
}

func mustPut(t *testing.T, h ObjectHarness, key core.ObjectKey, body []byte) {
	t.Helper()
	if err := h.Store.Put(callContext(t), key, body); err != nil {
		t.Fatalf("Put(%q): %v", key, err)
	}
}

func hasObject(t *testing.T, h ObjectHarness, key core.ObjectKey) bool {
	t.Helper()
	_, err := h.Store.Get(callContext(t), key)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("Get(%q): %v", key, err)
	}
	return err == nil
}

func objectFaults(t *testing.T, factory ObjectFactory) {
	for _, c := range objectFaultCases {
		if c.operation == faults.ObjectWrite {
			t.Run(c.name()+"/put", func(t *testing.T) { faultyPut(t, factory(t), c) })
			t.Run(c.name()+"/delete", func(t *testing.T) { faultyDelete(t, factory(t), c) })
			continue
		}
		t.Run(c.name(), func(t *testing.T) { faultyObjectReads(t, factory(t), c) })
	}
}

func faultyPut(t *testing.T, h ObjectHarness, c faultCase) {
	err := c.call(t, h.Control, func(ctx context.Context) error {
		return h.Store.Put(ctx, "key", []byte("body"))
	})
	c.checkKind(t, "Put", err)
	c.checkEffect(t, h.Control, func() bool { return hasObject(t, h, "key") })
}

func faultyDelete(t *testing.T, h ObjectHarness, c faultCase) {
	mustPut(t, h, "key", []byte("body"))
	err := c.call(t, h.Control, func(ctx context.Context) error {
		return h.Store.Delete(ctx, "key")
	})
	c.checkKind(t, "Delete", err)
	c.checkEffect(t, h.Control, func() bool { return !hasObject(t, h, "key") })
}

func faultyObjectReads(t *testing.T, h ObjectHarness, c faultCase) {
	mustPut(t, h, "key", []byte("body"))
	err := c.call(t, h.Control, func(ctx context.Context) error {
		_, err := h.Store.Get(ctx, "key")
		return err
	})
	c.checkKind(t, "Get", err)
	h.Control.ReleaseHeld()
	err = c.call(t, h.Control, func(ctx context.Context) error {
		_, err := h.Store.List(ctx, "", "", 1)
		return err
	})
	c.checkKind(t, "List", err)
	h.Control.ReleaseHeld()
	if !hasObject(t, h, "key") {
		t.Error("object does not exist after failed reads")
	}
}

func objectBodies(t *testing.T, factory ObjectFactory) {
	h := factory(t)
	const megabyte = 1 << 20
	bodies := map[core.ObjectKey][]byte{
		"empty": {}, "binary": {0, 255, '\n'}, "a//b/../c?d=e&f#ü %": []byte("odd key"),
		"large": bytes.Repeat([]byte("0123456789abcdef"), megabyte/16),
	}
	for key, body := range bodies {
		mustPut(t, h, key, body)
		mustPut(t, h, key, body)
		got, err := h.Store.Get(callContext(t), key)
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("Get(%q) = %d bytes, %v, want the %d bytes that were put", key, len(got), err, len(body))
		}
	}
	if err := h.Store.Put(callContext(t), "binary", []byte("other")); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Put of a different body: error %v, want %s", err, errkind.BadRequest)
	}
	if err := h.Store.Put(callContext(t), "\xff", nil); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Put under a key that is not UTF-8: error %v, want %s", err, errkind.BadRequest)
	}
	for range 2 {
		if err := h.Store.Delete(callContext(t), "binary"); err != nil {
			t.Errorf("Delete: %v", err)
		}
	}
	if hasObject(t, h, "binary") {
		t.Error("object still exists after Delete")
	}
}

func objectList(t *testing.T, factory ObjectFactory) {
	h := factory(t)
	for _, key := range []core.ObjectKey{"b/2", "a/1", "b/1", "b/3", "c/1"} {
		mustPut(t, h, key, nil)
	}
	cases := []struct {
		prefix, after core.ObjectKey
		limit         int
		want          []core.ObjectKey
	}{
		{"b/", "", 10, []core.ObjectKey{"b/1", "b/2", "b/3"}},
		{"b/", "b/1", 1, []core.ObjectKey{"b/2"}},
		{"", "b/3", 10, []core.ObjectKey{"c/1"}},
		{"d/", "", 10, nil},
	}
	for _, c := range cases {
		got, err := h.Store.List(callContext(t), c.prefix, c.after, c.limit)
		if err != nil || len(got) != len(c.want) || len(got) > 0 && !reflect.DeepEqual(got, c.want) {
			t.Errorf("List(%q, %q, %d) = %v, %v, want %v", c.prefix, c.after, c.limit, got, err, c.want)
		}
	}
}
