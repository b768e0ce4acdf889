// Package recordcodec encodes the records in rows of the table service as CBOR.
package recordcodec

import (
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// codec encodes and decodes the records of one table.
type codec struct {
	encode func(core.Record) ([]byte, error)
	decode func([]byte) (core.Record, error)
}

var codecs = map[core.TableName]codec{
	core.TableLease:    codecFor[core.LeaseRecord](),
	core.TableFence:    codecFor[core.FenceRecord](),
	core.TableClaim:    codecFor[core.ClaimRecord](),
	core.TableStep:     codecFor[core.StepRecord](),
	core.TableDelivery: codecFor[core.DeliveryRecord](),
	core.TableConfig:   codecFor[core.ConfigRecord](),
	core.TableWeight:   codecFor[core.WeightRecord](),
	core.TableJob:      codecFor[core.JobRecord](),
	core.TableResult:   codecFor[core.ResultRecord](),
	core.TableSettled:  codecFor[core.SettledRecord](),
	core.TableMember:   codecFor[core.MemberRecord](),
	core.TableCrash:    codecFor[core.CrashRecord](),
	core.TableUsage:    codecFor[core.UsageRecord](),
	core.TableReport:   codecFor[core.ReportRecord](),
	core.TableReported: codecFor[core.ReportedRecord](),
	core.TableSoftware: codecFor[core.SoftwareRecord](),
	core.TableStream:   codecFor[core.StreamRecord](),
}

// Header values of answers may contain any bytes, so strings are not checked for
// valid UTF-8. Unknown fields are ignored, because a newer version may have written
// them. Times are encoded in UTC with nanoseconds.
var (
	encMode = must(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode())
	decMode = must(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

func codecFor[R core.Record]() codec {
	return codec{encode: encodeAs[R], decode: decodeAs[R]}
}

func encodeAs[R core.Record](record core.Record) ([]byte, error) {
	typed, ok := record.(R)
	if !ok {
		return nil, errkind.New(errkind.BadRequest, "record type %T does not belong to the table", record)
	}
	value, err := encMode.Marshal(typed)
	return value, errkind.Wrap(errkind.BadRequest, err, "encode %T", record)
}

func decodeAs[R core.Record](value []byte) (core.Record, error) {
	var record R
	if err := decMode.Unmarshal(value, &record); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode %T", record)
	}
	return record, nil
}

// codecOf returns the codec of a table. Errors: BadRequest if the table is unknown.
func codecOf(table core.TableName) (codec, error) {
	c, known := codecs[table]
	if !known {
		return codec{}, errkind.New(errkind.BadRequest, "unknown table %q", table)
	}
	return c, nil
}

// CheckKey returns BadRequest for an unknown table and for an ID that is not valid
// UTF-8.
func CheckKey(key core.RowKey) error {
	if _, err := codecOf(key.Table); err != nil {
		return err
	}
	return CheckUTF8(key.ID)
}

// CheckUTF8 returns BadRequest for text that is not valid UTF-8. JSON would alter
// it.
func CheckUTF8(text string) error {
	if !utf8.ValidString(text) {
		return errkind.New(errkind.BadRequest, "text %q is not valid UTF-8", text)
	}
	return nil
}

// Encode encodes a record of a table as CBOR. Errors: BadRequest for an unknown
// table or a record of another table.
func Encode(table core.TableName, record core.Record) ([]byte, error) {
	c, err := codecOf(table)
	if err != nil {
		return nil, err
	}
	return c.encode(record)
}

// Decode decodes a record that Encode has encoded. Errors: BadRequest for an unknown
// table, Internal if the value is not a record of the table.
func Decode(table core.TableName, value []byte) (core.Record, error) {
	c, err := codecOf(table)
	if err != nil {
		return nil, err
	}
	return c.decode(value)
}
