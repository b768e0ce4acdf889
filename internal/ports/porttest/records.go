package porttest

import (
	"bytes"
	"maps"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// copier returns a deep copy of a record, and false if the record is not of the
// table's type.
type copier func(core.Record) (core.Record, bool)

var copiers = map[core.TableName]copier{
	core.TableLease:    copyWith(copyFlat[core.LeaseRecord]),
	core.TableFence:    copyWith(copyFlat[core.FenceRecord]),
	core.TableClaim:    copyWith(copyClaim),
	core.TableStep:     copyWith(copyStep),
	core.TableDelivery: copyWith(copyDelivery),
	core.TableConfig:   copyWith(copyFlat[core.ConfigRecord]),
	core.TableWeight:   copyWith(copyFlat[core.WeightRecord]),
	core.TableJob:      copyWith(copyFlat[core.JobRecord]),
	core.TableResult:   copyWith(copyResult),
	core.TableSettled:  copyWith(copySettled),
	core.TableMember:   copyWith(copyMember),
	core.TableCrash:    copyWith(copyCrash),
	core.TableUsage:    copyWith(copyUsage),
	core.TableReport:   copyWith(copyReport),
	core.TableReported: copyWith(copyFlat[core.ReportedRecord]),
	core.TableSoftware: copyWith(copyFlat[core.SoftwareRecord]),
	core.TableStream:   copyWith(copyFlat[core.StreamRecord]),
}

// copyRecord returns a deep copy of a record, nil for nil. Errors: BadRequest
// for an unknown table or a record of another table.
func copyRecord(table core.TableName, record core.Record) (core.Record, error) {
	copyTyped := copiers[table]
	if copyTyped == nil {
		return nil, errkind.New(errkind.BadRequest, "unknown table %q", table)
	}
	if record == nil {
		return nil, nil
	}
	copied, ok := copyTyped(record)
	if !ok {
		return nil, errkind.New(errkind.BadRequest, "table %q does not store records of type %T", table, record)
	}
	return copied, nil
}

// copyWith returns a copier for records of type R that makes deep copies by deep.
func copyWith[R core.Record](deep func(R) R) copier {
	return func(record core.Record) (core.Record, bool) {
		typed, ok := record.(R)
		if !ok {
			return nil, false
		}
		return deep(typed), true
	}
}

// copyFlat copies a record without references.
func copyFlat[R core.Record](record R) R { return record }

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

func copyMember(record core.MemberRecord) core.MemberRecord {
	record.Demand, record.Rooms = slices.Clone(record.Demand), slices.Clone(record.Rooms)
	if record.Usage != nil {
		usage := *record.Usage
		record.Usage = &usage
	}
	return record
}

func copyCrash(record core.CrashRecord) core.CrashRecord {
	record.Deaths = slices.Clone(record.Deaths)
	return record
}

func copySettled(record core.SettledRecord) core.SettledRecord {
	record.Items = bytes.Clone(record.Items)
	return record
}

func copyUsage(record core.UsageRecord) core.UsageRecord {
	record.Counts = maps.Clone(record.Counts)
	return record
}

func copyReport(record core.ReportRecord) core.ReportRecord {
	record.Report.Counts = maps.Clone(record.Report.Counts)
	return record
}

func copyResult(record core.ResultRecord) core.ResultRecord {
	record.Result.Versions = slices.Clone(record.Result.Versions)
	return record
}
