package delivery

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// Pack returns the groups as sorted, disjoint ranges; repeats count once.
func Pack(groups []core.GroupID) []core.GroupRange {
	ranges := make([]core.GroupRange, 0, len(groups))
	for _, id := range groups {
		ranges = append(ranges, core.GroupRange{Step: id.Step, From: id.Index, To: id.Index + 1})
	}
	return merge(ranges)
}

// Unpack returns every group of the ranges, in their order.
func Unpack(ranges []core.GroupRange) []core.GroupID {
	var groups []core.GroupID
	for _, r := range ranges {
		for index := r.From; index < r.To; index++ {
			groups = append(groups, core.GroupID{Step: r.Step, Index: index})
		}
	}
	return groups
}

// merge sorts ranges and joins those that touch.
func merge(ranges []core.GroupRange) []core.GroupRange {
	slices.SortFunc(ranges, func(a, b core.GroupRange) int {
		return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.From, b.From))
	})
	merged := ranges[:0]
	for _, r := range ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].Step == r.Step && r.From <= merged[last].To {
			merged[last].To = max(merged[last].To, r.To)
			continue
		}
		merged = append(merged, r)
	}
	return merged
}

// Delivered reports whether a group is marked, or closed, in the record.
func Delivered(record core.DeliveryRecord, id core.GroupID) bool {
	if id.Step < record.Closed {
		return true
	}
	at, found := slices.BinarySearchFunc(record.Delivered, id, func(r core.GroupRange, id core.GroupID) int {
		return cmp.Or(cmp.Compare(r.Step, id.Step), cmp.Compare(r.From, id.Index))
	})
	if found {
		return true
	}
	if at == 0 {
		return false
	}
	before := record.Delivered[at-1]
	return before.Step == id.Step && id.Index < before.To
}

// mark returns the record after a step delivered the groups.
func mark(record core.DeliveryRecord, request core.BatchRequest, groups []core.GroupID, window Window) core.DeliveryRecord {
	marked := core.DeliveryRecord{
		LastStep:    request.Step,
		LastVersion: request.Version,
		Closed:      max(record.Closed, window.closedAfter(request.Step)),
	}
	ranges := Pack(groups)
	ranges = append(ranges, record.Delivered...)
	for _, r := range merge(ranges) {
		if r.Step >= marked.Closed {
			marked.Delivered = append(marked.Delivered, r)
		}
	}
	return marked
}

// Open returns up to count groups that are planned for steps from the first
// open one through the given step and not yet delivered, oldest first. Each
// step has perStep groups; where steps were closed before all their groups
// were delivered, further groups of the given step take their place. The
// result depends on the record alone, so every coordinator plans the same.
func Open(record core.DeliveryRecord, through core.Step, perStep, count int) []core.GroupID {
	var open []core.GroupID
	for step := max(record.Closed, firstStep); step <= through && len(open) < count; step++ {
		for index := 0; index < perStep && len(open) < count; index++ {
			id := core.GroupID{Step: step, Index: index}
			if !Delivered(record, id) {
				open = append(open, id)
			}
		}
	}
	for index := perStep; len(open) < count && through >= record.Closed; index++ {
		id := core.GroupID{Step: through, Index: index}
		if !Delivered(record, id) {
			open = append(open, id)
		}
	}
	return open
}
