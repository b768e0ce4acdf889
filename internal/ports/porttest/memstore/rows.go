// Package memstore stores rows and objects in memory. The fakes of package
// porttest and the platform stand-in share it.
package memstore

import (
	"slices"
	"strings"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// rankStore is below every rank of the service, so that a build with the tag
// lockcheck panics when a fake is called under a lock of the service.
const rankStore lockrank.Rank = 2

// Row is a row whose value has the type V. An absent row has version zero.
type Row[V any] struct {
	Key     core.RowKey
	Version core.RowVersion
	Attempt core.AttemptID
	Value   V
}

// Write creates, replaces or deletes one row.
type Write[V any] struct {
	Key    core.RowKey
	Delete bool
	Value  V
}

// Commit is one transaction.
type Commit[V any] struct {
	Attempt    core.AttemptID
	Conditions []core.Condition
	Writes     []Write[V]
}

// RowCounters counts the calls to Rows and the rows read and written.
type RowCounters struct {
	ReadCalls      uint64 `json:"read_calls"`
	ScanCalls      uint64 `json:"scan_calls"`
	RowsRead       uint64 `json:"rows_read"`
	Commits        uint64 `json:"commits"`
	CommitsApplied uint64 `json:"commits_applied"`
	RowsWritten    uint64 `json:"rows_written"`
}

// Rows is an in-memory set of tables with transactions.
type Rows[V any] struct {
	// mu guards the fields below.
	mu       lockrank.Mutex
	sequence core.RowVersion // version of the last applied commit
	tables   map[core.TableName]map[string]Row[V]
	counters RowCounters
}

// NewRows returns an empty set of tables.
func NewRows[V any]() *Rows[V] {
	return &Rows[V]{mu: lockrank.New(rankStore), tables: make(map[core.TableName]map[string]Row[V])}
}

// Read returns one row for each key, in the same order.
func (r *Rows[V]) Read(keys []core.RowKey) []Row[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row[V], len(keys))
	for i, key := range keys {
		rows[i] = r.row(key)
	}
	r.counters.ReadCalls++
	r.counters.RowsRead += uint64(len(keys))
	return rows
}

// Scan returns up to limit rows of a table whose id starts with prefix and
// sorts after the given id, in order.
func (r *Rows[V]) Scan(table core.TableName, prefix, after string, limit int) []Row[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := selectKeys(r.tables[table], prefix, after, limit)
	rows := make([]Row[V], len(ids))
	for i, id := range ids {
		rows[i] = r.tables[table][id]
	}
	r.counters.ScanCalls++
	r.counters.RowsRead += uint64(len(rows))
	return rows
}

// Commit applies all writes if all conditions are met, otherwise none.
func (r *Rows[V]) Commit(commit Commit[V]) core.CommitResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Commits++
	var failed []core.RowKey
	for _, condition := range commit.Conditions {
		if r.row(condition.Key).Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return core.CommitResult{Failed: failed}
	}
	r.sequence++
	for _, write := range commit.Writes {
		r.write(commit.Attempt, write)
	}
	r.counters.CommitsApplied++
	r.counters.RowsWritten += uint64(len(commit.Writes))
	return core.CommitResult{Applied: true, Version: r.sequence}
}

// Counters returns the counts so far.
func (r *Rows[V]) Counters() RowCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

// row returns the row of a key. The caller holds mu.
func (r *Rows[V]) row(key core.RowKey) Row[V] {
	row := r.tables[key.Table][key.ID]
	row.Key = key
	return row
}

// write applies one write with the current sequence as its version. The caller
// holds mu.
func (r *Rows[V]) write(attempt core.AttemptID, write Write[V]) {
	key := write.Key
	if write.Delete {
		delete(r.tables[key.Table], key.ID)
		return
	}
	if r.tables[key.Table] == nil {
		r.tables[key.Table] = make(map[string]Row[V])
	}
	r.tables[key.Table][key.ID] = Row[V]{Key: key, Version: r.sequence, Attempt: attempt, Value: write.Value}
}

// selectKeys returns up to limit keys of a map that start with prefix and sort
// after the given key, in order.
func selectKeys[K ~string, V any](from map[K]V, prefix, after K, limit int) []K {
	var keys []K
	for key := range from {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), max(limit, 0))]
}
