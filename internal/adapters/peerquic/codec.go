package peerquic

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"fescuespar/internal/errkind"
)

// messageType identifies a message on the wire. Numbers are never reused.
type messageType uint8

const (
	typeHeartbeat     messageType = 1
	typeConfiguration messageType = 2
	typeBatch         messageType = 3
	typeAnswer        messageType = 4
	typeVMListChanges messageType = 7
)

// Size limits of messages.
const (
	maxRequestBytes       = 64 << 10
	maxSmallReplyBytes    = 64 << 10
	maxAnswerBytes        = 4 << 20
	maxVMListChangesBytes = 2 << 20
	maxConfigurationBytes = 8 << 20
	maxBatchBytes         = 64 << 20
	maxRequestElements    = 4096    // elements of one array in a request
	maxReplyElements      = 1 << 20 // elements of one array in a reply
	maxNestedLevels       = 16
	maxErrorTextBytes     = 512
)

const lengthPrefixBytes = 4

// request is the envelope of a request message.
type request struct {
	Type messageType     `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// reply is the envelope of a reply. It holds either an error kind and text or a
// body.
type reply struct {
	Kind errkind.Kind    `cbor:"1,keyasint,omitempty"`
	Text string          `cbor:"2,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

var (
	encoder        = newEncoder()
	requestDecoder = newDecoder(maxRequestElements)
	replyDecoder   = newDecoder(maxReplyElements)
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder returns a decoder that rejects duplicate and unknown keys, tags,
// indefinite lengths and arrays with more than maxElements elements.
func newDecoder(maxElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxReplyBytes returns the size limit of a reply to a request of type t.
func maxReplyBytes(t messageType) int {
	switch t {
	case typeConfiguration:
		return maxConfigurationBytes
	case typeBatch:
		return maxBatchBytes
	case typeAnswer:
		return maxAnswerBytes
	case typeVMListChanges:
		return maxVMListChangesBytes
	default:
		return maxSmallReplyBytes
	}
}

func encode(value any) ([]byte, error) {
	encoded, err := encoder.Marshal(value)
	return encoded, errkind.Wrap(errkind.Internal, err, "encode peer message")
}

func decode(mode cbor.DecMode, encoded []byte, into any) error {
	err := mode.Unmarshal(encoded, into)
	return errkind.Wrap(errkind.BadRequest, err, "decode peer message")
}

// writeFrame encodes the value and writes it after a length prefix. It returns
// TooLarge, without writing anything, if the encoding exceeds limit bytes.
func writeFrame(to io.Writer, value any, limit int) error {
	encoded, err := encode(value)
	if err != nil {
		return err
	}
	if len(encoded) > limit {
		return errkind.New(errkind.TooLarge, "peer message of %d bytes exceeds the limit of %d", len(encoded), limit)
	}
	frame := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(encoded))
	binary.BigEndian.PutUint32(frame, uint32(len(encoded)))
	_, err = to.Write(append(frame, encoded...))
	return err
}

// readFrame reads one frame of at most limit bytes. It allocates memory as bytes
// arrive, not by the length prefix, which the peer chooses. Errors: TooLarge,
// BadRequest for a truncated frame, and errors of the reader.
func readFrame(from io.Reader, limit int) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(from, prefix[:]); err != nil {
		return nil, truncationError(err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if uint64(length) > uint64(limit) {
		return nil, errkind.New(errkind.TooLarge, "peer message of %d bytes exceeds the limit of %d", length, limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, from, int64(length)); err != nil {
		return nil, truncationError(err)
	}
	return body.Bytes(), nil
}

func truncationError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errkind.Wrap(errkind.BadRequest, err, "truncated peer message")
	}
	return err
}
