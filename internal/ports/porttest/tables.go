package porttest

import (
	"context"
	"unicode/utf8"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// Tables is an in-memory ports.TableService.
type Tables struct {
	FaultInjector
	rows *memstore.Rows[core.Record]
}

var _ ports.TableService = (*Tables)(nil)

// NewTables returns an empty table service without faults.
func NewTables() *Tables {
	return &Tables{FaultInjector: newFaultInjector(), rows: memstore.NewRows[core.Record]()}
}

// Counters returns the numbers of calls and rows so far.
func (t *Tables) Counters() memstore.RowCounters { return t.rows.Counters() }

// Read implements ports.TableService.
func (t *Tables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	tables, err := knownTables(keys)
	if err != nil {
		return nil, err
	}
	var rows []core.Row
	effect := func() { rows = copyRows(t.rows.Read(keys)) }
	if err := t.perform(ctx, faults.TableRead, effect, tables...); err != nil {
		return nil, err
	}
	return rows, nil
}

// Scan implements ports.TableService.
func (t *Tables) Scan(ctx context.Context, table core.TableName, prefix, after string, limit int) ([]core.Row, error) {
	if _, err := knownTables([]core.RowKey{{Table: table, ID: prefix + after}}); err != nil {
		return nil, err
	}
	var rows []core.Row
	effect := func() { rows = copyRows(t.rows.Scan(table, prefix, after, limit)) }
	if err := t.perform(ctx, faults.TableRead, effect, table); err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements ports.TableService.
func (t *Tables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	stored, tables, err := copyCommit(commit)
	if err != nil {
		return core.CommitResult{}, err
	}
	var result core.CommitResult
	effect := func() { result = t.rows.Commit(stored) }
	if err := t.perform(ctx, faults.Commit, effect, tables...); err != nil {
		return core.CommitResult{}, err
	}
	return result, nil
}

// knownTables returns the tables of the keys. Errors: BadRequest for an unknown
// table or an id that is not UTF-8.
func knownTables(keys []core.RowKey) ([]core.TableName, error) {
	tables := make([]core.TableName, len(keys))
	for i, key := range keys {
		if copiers[key.Table] == nil {
			return nil, errkind.New(errkind.BadRequest, "unknown table %q", key.Table)
		}
		if !utf8.ValidString(key.ID) {
			return nil, errkind.New(errkind.BadRequest, "id %q is not valid UTF-8", key.ID)
		}
		tables[i] = key.Table
	}
	return tables, nil
}

// copyCommit returns a deep copy of a commit and the tables that it uses.
// Errors: BadRequest.
func copyCommit(commit core.Commit) (memstore.Commit[core.Record], []core.TableName, error) {
	stored := memstore.Commit[core.Record]{Attempt: commit.Attempt}
	var keys []core.RowKey
	for _, condition := range commit.Conditions {
		keys = append(keys, condition.Key)
		stored.Conditions = append(stored.Conditions, condition)
	}
	for _, write := range commit.Writes {
		record, err := copyRecord(write.Key.Table, write.Record)
		if err != nil {
			return stored, nil, err
		}
		keys = append(keys, write.Key)
		stored.Writes = append(stored.Writes, memstore.Write[core.Record]{
			Key: write.Key, Delete: record == nil, Value: record,
		})
	}
	tables, err := knownTables(keys)
	return stored, tables, err
}

func copyRows(stored []memstore.Row[core.Record]) []core.Row {
	rows := make([]core.Row, len(stored))
	for i, row := range stored {
		record, err := copyRecord(row.Key.Table, row.Value)
		if err != nil {
			panic(err) // cannot happen: Commit stores only records that can be copied
		}
		rows[i] = core.Row{Key: row.Key, Version: row.Version, Attempt: row.Attempt, Record: record}
	}
	return rows
}
