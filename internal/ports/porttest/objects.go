package porttest

import (
	"bytes"
	"context"
	"unicode/utf8"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// Objects is an in-memory ports.ObjectStore.
type Objects struct {
	FaultInjector
	stored *memstore.Objects
}

var _ ports.ObjectStore = (*Objects)(nil)

// NewObjects returns an empty object store without faults.
func NewObjects() *Objects {
	return &Objects{FaultInjector: newFaultInjector(), stored: memstore.NewObjects()}
}

// Counters returns the numbers of calls and bytes so far.
func (o *Objects) Counters() memstore.ObjectCounters { return o.stored.Counters() }

// Put implements ports.ObjectStore.
func (o *Objects) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	if err := checkKey(key); err != nil {
		return err
	}
	body = bytes.Clone(body)
	var same bool
	effect := func() { same = o.stored.Put(key, body) }
	if err := o.perform(ctx, faults.ObjectWrite, effect); err != nil {
		return err
	}
	if !same {
		return errkind.New(errkind.BadRequest, "object %q exists with a different body", key)
	}
	return nil
}

// Get implements ports.ObjectStore.
func (o *Objects) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	if err := checkKey(key); err != nil {
		return nil, err
	}
	var body []byte
	var found bool
	effect := func() { body, found = o.stored.Get(key) }
	if err := o.perform(ctx, faults.ObjectRead, effect); err != nil {
		return nil, err
	}
	if !found {
		return nil, errkind.New(errkind.NotFound, "object %q does not exist", key)
	}
	return body, nil
}

// Delete implements ports.ObjectStore.
func (o *Objects) Delete(ctx context.Context, key core.ObjectKey) error {
	if err := checkKey(key); err != nil {
		return err
	}
	return o.perform(ctx, faults.ObjectWrite, func() { o.stored.Delete(key) })
}

// List implements ports.ObjectStore.
func (o *Objects) List(ctx context.Context, prefix, after core.ObjectKey, limit int) ([]core.ObjectKey, error) {
	if err := checkKey(prefix + after); err != nil {
		return nil, err
	}
	var keys []core.ObjectKey
	effect := func() { keys = o.stored.List(prefix, after, limit) }
	if err := o.perform(ctx, faults.ObjectRead, effect); err != nil {
		return nil, err
	}
	return keys, nil
}

func checkKey(key core.ObjectKey) error {
	if !utf8.ValidString(string(key)) {
		return errkind.New(errkind.BadRequest, "object key %q is not valid UTF-8", key)
	}
	return nil
}
