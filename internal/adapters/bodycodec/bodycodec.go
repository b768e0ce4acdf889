// Package bodycodec encodes what is kept in the object store: configurations as
// JSON and batches as CBOR.
package bodycodec

import (
	"github.com/fxamacker/cbor/v2"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Codec implements ports.Bodies.
type Codec struct{}

// EncodeConfiguration returns a configuration's JSON.
func (Codec) EncodeConfiguration(c core.Configuration) ([]byte, error) {
	return configjson.EncodeConfiguration(c)
}

// DecodeConfiguration reads what EncodeConfiguration wrote. Errors: BadRequest.
func (Codec) DecodeConfiguration(body []byte) (core.Configuration, error) {
	return configjson.DecodeConfiguration(body)
}

// EncodeBatch returns a batch's CBOR.
func (Codec) EncodeBatch(batch core.Batch) ([]byte, error) {
	body, err := cbor.Marshal(batch)
	return body, errkind.Wrap(errkind.Internal, err, "encoding a batch")
}

// DecodeBatch reads what EncodeBatch wrote. Errors: Internal.
func (Codec) DecodeBatch(body []byte) (core.Batch, error) {
	var batch core.Batch
	err := cbor.Unmarshal(body, &batch)
	return batch, errkind.Wrap(errkind.Internal, err, "decoding a batch")
}

// EncodeJob returns a job's CBOR.
func (Codec) EncodeJob(job core.Job) ([]byte, error) {
	body, err := cbor.Marshal(job)
	return body, errkind.Wrap(errkind.Internal, err, "encoding a job")
}

// DecodeJob reads what EncodeJob wrote. Errors: Internal.
func (Codec) DecodeJob(body []byte) (core.Job, error) {
	var job core.Job
	err := textMode.Unmarshal(body, &job)
	return job, errkind.Wrap(errkind.Internal, err, "decoding a job")
}

// EncodeResult returns a result's CBOR.
func (Codec) EncodeResult(result core.ItemResult) ([]byte, error) {
	body, err := cbor.Marshal(result)
	return body, errkind.Wrap(errkind.Internal, err, "encoding a result")
}

// DecodeResult reads what EncodeResult wrote. Errors: Internal.
func (Codec) DecodeResult(body []byte) (core.ItemResult, error) {
	var result core.ItemResult
	err := textMode.Unmarshal(body, &result)
	return result, errkind.Wrap(errkind.Internal, err, "decoding a result")
}

// EncodeCheckpoint returns a checkpoint's CBOR.
func (Codec) EncodeCheckpoint(checkpoint core.Checkpoint) ([]byte, error) {
	body, err := cbor.Marshal(checkpoint)
	return body, errkind.Wrap(errkind.Internal, err, "encoding a checkpoint")
}

// DecodeCheckpoint reads what EncodeCheckpoint wrote. Errors: Internal.
func (Codec) DecodeCheckpoint(body []byte) (core.Checkpoint, error) {
	var checkpoint core.Checkpoint
	err := textMode.Unmarshal(body, &checkpoint)
	return checkpoint, errkind.Wrap(errkind.Internal, err, "decoding a checkpoint")
}

// textMode takes text of any bytes: header values and generated text need not
// be UTF-8.
var textMode = mustDecode(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: 1 << 20})

func mustDecode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
