package delivery

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
)

// PackRanges returns the groups as sorted, disjoint ranges. Duplicates count
// once.
func PackRanges(groups []core.GroupID) []core.GroupRange {
	ranges := make([]core.GroupRange, 0, len(groups))
	for _, id := range groups {
		ranges = append(ranges, core.GroupRange{Step: id.Step, From: id.Index, To: id.Index + 1})
	}
	return mergeRanges(ranges)
}

// UnpackRanges returns every group in the ranges, in the order of the ranges.
func UnpackRanges(ranges []core.GroupRange) []core.GroupID {
	var groups []core.GroupID
	for _, r := range ranges {
		for index := r.From; index < r.To; index++ {
			groups = append(groups, core.GroupID{Step: r.Step, Index: index})
		}
	}
	return groups
}

// mergeRanges sorts ranges and joins those that overlap or are adjacent.
func mergeRanges(ranges []core.GroupRange) []core.GroupRange {
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

// IsDelivered reports whether a group is recorded as delivered or its step is
// closed.
func IsDelivered(record core.DeliveryRecord, id core.GroupID) bool {
	if id.Step < record.Closed {
		return true
	}
	index, found := slices.BinarySearchFunc(record.Delivered, id, func(r core.GroupRange, id core.GroupID) int {
		return cmp.Or(cmp.Compare(r.Step, id.Step), cmp.Compare(r.From, id.Index))
	})
	if found {
		return true
	}
	if index == 0 {
		return false
	}
	before := record.Delivered[index-1]
	return before.Step == id.Step && id.Index < before.To
}

// markDelivered returns the record after the requested step has delivered the
// groups.
func markDelivered(record core.DeliveryRecord, request core.BatchRequest, groups []core.GroupID, window Window) core.DeliveryRecord {
	marked := core.DeliveryRecord{
		LastStep:    request.Step,
		LastVersion: request.Version,
		Closed:      max(record.Closed, window.firstDeliverableAfter(request.Step)),
	}
	ranges := PackRanges(groups)
	ranges = append(ranges, record.Delivered...)
	for _, r := range mergeRanges(ranges) {
		if r.Step >= marked.Closed {
			marked.Delivered = append(marked.Delivered, r)
		}
	}
	return marked
}

// OpenGroups returns up to count groups, oldest first, that are planned for steps up
// to through and not yet delivered. Steps that are closed have none. Each step
// has perStep groups; where steps were closed before all their groups were
// delivered, additional groups of the step through replace them. The result
// depends only on the arguments, so every coordinator plans the same groups.
func OpenGroups(record core.DeliveryRecord, through core.Step, perStep, count int) []core.GroupID {
	var open []core.GroupID
	for step := max(record.Closed, firstStep); step <= through && len(open) < count; step++ {
		for index := 0; index < perStep && len(open) < count; index++ {
			id := core.GroupID{Step: step, Index: index}
			if !IsDelivered(record, id) {
				open = append(open, id)
			}
		}
	}
	for index := perStep; len(open) < count && through >= record.Closed; index++ {
		id := core.GroupID{Step: through, Index: index}
		if !IsDelivered(record, id) {
			open = append(open, id)
		}
	}
	return open
}
