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
