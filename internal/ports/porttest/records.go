package porttest

import (
	"bytes"
	"maps"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// copier returns a deep copy of a record and whether the record is of the
// table's type.
type copier func(core.Record) (core.Record, bool)

var copiers = map[core.TableName]copier{
	core.TableLease:    copyWith(flat[core.LeaseRecord]),
	core.TableFence:    copyWith(flat[core.FenceRecord]),
	core.TableClaim:    copyWith(copyClaim),
	core.TableStep:     copyWith(copyStep),
	core.TableDelivery: copyWith(copyDelivery),
	core.TableConfig:   copyWith(flat[core.ConfigRecord]),
	core.TableWeight:   copyWith(flat[core.WeightRecord]),
	core.TableJob:      copyWith(flat[core.JobRecord]),
	core.TableResult:   copyWith(copyResult),
	core.TableMember:   copyWith(flat[core.MemberRecord]),
}

// copyRecord returns a deep copy of a record; nil stays nil. Errors:
// BadRequest for an unknown table or a record of another table.
func copyRecord(table core.TableName, record core.Record) (core.Record, error) {
	typed := copiers[table]
	if typed == nil {
		return nil, errkind.New(errkind.BadRequest, "unknown table %q", table)
	}
	if record == nil {
		return nil, nil
	}
	copied, ok := typed(record)
	if !ok {
		return nil, errkind.New(errkind.BadRequest, "table %q does not hold %T", table, record)
	}
	return copied, nil
}

func copyWith[R core.Record](deep func(R) R) copier {
	return func(record core.Record) (core.Record, bool) {
		typed, ok := record.(R)
		if !ok {
			return nil, false
		}
		return deep(typed), true
	}
}

func flat[R core.Record](record R) R { return record }

func copyClaim(record core.ClaimRecord) core.ClaimRecord {
	record.TakenAt = record.TakenAt.Round(0).UTC() // without its monotonic reading
	if record.Response == nil {
		return record
	}
	response := *record.Response
	response.Header = maps.Clone(response.Header)
	response.Body = bytes.Clone(response.Body)
	record.Response = &response
	return record
}

func copyStep(record core.StepRecord) core.StepRecord {
	record.Groups = slices.Clone(record.Groups)
	return record
}

func copyDelivery(record core.DeliveryRecord) core.DeliveryRecord {
	record.Delivered = slices.Clone(record.Delivered)
	return record
}

func copyResult(record core.ResultRecord) core.ResultRecord {
	record.Result.Versions = slices.Clone(record.Result.Versions)
	return record
}
