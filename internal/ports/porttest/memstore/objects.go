package memstore

import (
	"bytes"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// ObjectCounters counts the calls to Objects and the bytes transferred.
type ObjectCounters struct {
	Puts     uint64 `json:"puts"`
	Gets     uint64 `json:"gets"`
	Deletes  uint64 `json:"deletes"`
	Lists    uint64 `json:"lists"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Objects is an in-memory set of immutable objects.
type Objects struct {
	// mu guards the fields below.
	mu       lockrank.Mutex
	bodies   map[core.ObjectKey][]byte
	counters ObjectCounters
}

// NewObjects returns an empty set.
func NewObjects() *Objects {
	return &Objects{mu: lockrank.New(rankStore), bodies: make(map[core.ObjectKey][]byte)}
}

// Put stores a copy of body. It returns false and changes nothing if the key
// already has a different body.
func (o *Objects) Put(key core.ObjectKey, body []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Puts++
	o.counters.BytesIn += uint64(len(body))
	if old, found := o.bodies[key]; found {
		return bytes.Equal(old, body)
	}
	o.bodies[key] = bytes.Clone(body)
	return true
}

// Get returns a copy of an object's body and whether the object exists.
func (o *Objects) Get(key core.ObjectKey) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, found := o.bodies[key]
	o.counters.Gets++
	o.counters.BytesOut += uint64(len(body))
	return bytes.Clone(body), found
}

// Delete removes an object if it exists.
func (o *Objects) Delete(key core.ObjectKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Deletes++
	delete(o.bodies, key)
}

// List returns up to limit keys that start with prefix and sort after the
// given key, in order.
func (o *Objects) List(prefix, after core.ObjectKey, limit int) []core.ObjectKey {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Lists++
	return selectKeys(o.bodies, prefix, after, limit)
}

// Counters returns the counts so far.
func (o *Objects) Counters() ObjectCounters {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counters
}
