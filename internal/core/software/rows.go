package software

import (
	"fmt"
	"hash/fnv"
	"time"

	"fescuespar/internal/core"
)

// shards is the number of partitions of the table service over which the rows of streams
// are spread, by the process that writes them: a partition takes 300 transactions a second,
// and 610 processes may make a quarter of the store's 4,000.
const shards = 4

// partition returns the partition of a shard.
func partition(shard int) string { return fmt.Sprintf("streams%d|", shard) }

// Partitions returns the prefixes of the row IDs of all streams, one for each partition.
func Partitions() []string {
	all := make([]string, shards)
	for shard := range all {
		all[shard] = partition(shard)
	}
	return all
}

// OwnPartition returns the prefix of the row IDs of the streams that an entry VM's processes
// begin.
func OwnPartition(vm core.VMID) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	return partition(int(hash.Sum32() % shards))
}

// RowName returns the name of a stream's row within its partition. IDs of requests are the
// callers' and may have any length, and accounts may use the same ones.
func RowName(account core.AccountName, id core.RequestID) string {
	hash := fnv.New128a()
	_, _ = hash.Write([]byte(account))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return fmt.Sprintf("%x", hash.Sum(nil))
}

// rowMargin is added to the deadline of a stream's caller, who may wait somewhat longer than
// it says: 1.5 s by the users' pages.
const rowMargin = 5 * time.Second

// RowLifetime returns how long the row of a stream is kept that begins now: until its caller
// has stopped waiting, whose deadline may be zero for none, and no longer than the horizon.
// The end of the stream does not matter, since its caller may not have received it.
func RowLifetime(deadline, now time.Time, horizon time.Duration) time.Duration {
	if deadline.IsZero() {
		return horizon
	}
	return min(horizon, deadline.Sub(now)+rowMargin)
}

// Sweep finds rows that have not changed for the horizon, without comparing clocks: by the
// time for which this process has seen them. It is not safe for concurrent use.
type Sweep struct {
	seen map[core.RowKey]seenRow
}

type seenRow struct {
	version core.RowVersion
	since   time.Time
}

// Expired returns the rows to remove, given all rows as read at a time.
func (s *Sweep) Expired(rows []core.Row, now time.Time, horizon time.Duration) []core.Row {
	next := make(map[core.RowKey]seenRow, len(rows))
	var expired []core.Row
	for _, row := range rows {
		known, found := s.seen[row.Key]
		if !found || known.version != row.Version {
			known = seenRow{row.Version, now}
		}
		next[row.Key] = known
		if now.Sub(known.since) >= horizon {
			expired = append(expired, row)
		}
	}
	s.seen = next
	return expired
}
