// Package bodycodec encodes the objects in the object store: configurations as
// JSON; batches, jobs, results and checkpoints as CBOR.
package bodycodec

import (
	"github.com/fxamacker/cbor/v2"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Codec implements ports.BodyCodec.
type Codec struct{}

// EncodeConfiguration encodes a configuration as JSON.
func (Codec) EncodeConfiguration(c core.Configuration) ([]byte, error) {
	return configjson.EncodeConfiguration(c)
}

// DecodeConfiguration decodes a configuration from JSON. Errors: BadRequest.
func (Codec) DecodeConfiguration(body []byte) (core.Configuration, error) {
	return configjson.DecodeConfiguration(body)
}

// EncodeBatch encodes a batch as CBOR.
func (Codec) EncodeBatch(batch core.Batch) ([]byte, error) {
	body, err := cbor.Marshal(batch)
	return body, errkind.Wrap(errkind.Internal, err, "encode a batch")
}

// DecodeBatch decodes a batch from CBOR. Errors: Internal.
func (Codec) DecodeBatch(body []byte) (core.Batch, error) {
	var batch core.Batch
	err := cbor.Unmarshal(body, &batch)
	return batch, errkind.Wrap(errkind.Internal, err, "decode a batch")
}

// EncodeJob encodes a job as CBOR.
func (Codec) EncodeJob(job core.Job) ([]byte, error) {
	body, err := cbor.Marshal(job)
	return body, errkind.Wrap(errkind.Internal, err, "encode a job")
}

// DecodeJob decodes a job from CBOR. Errors: Internal.
func (Codec) DecodeJob(body []byte) (core.Job, error) {
	var job core.Job
	err := anyTextMode.Unmarshal(body, &job)
	return job, errkind.Wrap(errkind.Internal, err, "decode a job")
}

// EncodeResult encodes an item's result as CBOR.
func (Codec) EncodeResult(result core.ItemResult) ([]byte, error) {
	body, err := cbor.Marshal(result)
	return body, errkind.Wrap(errkind.Internal, err, "encode a result")
}

// DecodeResult decodes an item's result from CBOR. Errors: Internal.
func (Codec) DecodeResult(body []byte) (core.ItemResult, error) {
	var result core.ItemResult
	err := anyTextMode.Unmarshal(body, &result)
	return result, errkind.Wrap(errkind.Internal, err, "decode a result")
}

// EncodeCheckpoint encodes a checkpoint as CBOR.
func (Codec) EncodeCheckpoint(checkpoint core.Checkpoint) ([]byte, error) {
	body, err := cbor.Marshal(checkpoint)
	return body, errkind.Wrap(errkind.Internal, err, "encode a checkpoint")
}

// DecodeCheckpoint decodes a checkpoint from CBOR. Errors: Internal.
func (Codec) DecodeCheckpoint(body []byte) (core.Checkpoint, error) {
	var checkpoint core.Checkpoint
	err := anyTextMode.Unmarshal(body, &checkpoint)
	return checkpoint, errkind.Wrap(errkind.Internal, err, "decode a checkpoint")
}

// anyTextMode decodes text strings with invalid UTF-8, since header values and
// generated text need not be UTF-8.
var anyTextMode = mustDecMode(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: 1 << 20})

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
