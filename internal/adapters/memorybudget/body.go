package memorybudget

import (
	"errors"
	"io"

	"fescuespar/internal/core"
)

// Errors of reading a body.
var (
	ErrNoMemory = errors.New("no memory for the body")
	ErrTooLarge = errors.New("body exceeds its size limit")
)

// HeadFactor is the memory that net/http takes for each byte of a request's head while it
// arrives. The worst head, of one short name without a value again and again, takes 30
// (TestHeadMemory); usual ones take 4.
const HeadFactor = 30

// Sizes of the pieces in which a body is read. The first one is that of a short body;
// further ones double what is held, so that a body of any size has few pieces and at most
// as many unused bytes as it has received.
const (
	minPieceBytes = 4 << 10
	maxPieceBytes = 256 << 10
)

// ReadBody reads a body to its end. A length of less than zero is unknown. The memory is
// taken as bytes arrive, in pieces that are never copied, and stays with the holder.
// Errors: ErrTooLarge for a body of more than limit bytes, ErrNoMemory, and those of the
// reader.
func (h *Holder) ReadBody(source io.Reader, length, limit int64) (core.Body, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	body := core.Body{}
	var held, received int64
	for {
		size := min(max(held, minPieceBytes), maxPieceBytes)
		if length >= 0 {
			size = min(size, length-received)
		}
		if size == 0 {
			if err := endOf(source); err != nil {
				return nil, err
			}
			return body, nil
		}
		if !h.Grow(size) {
			return nil, ErrNoMemory
		}
		held += size
		piece, err := readPiece(source, make([]byte, size))
		if len(piece) > 0 {
			body, received = append(body, piece), received+int64(len(piece))
		}
		switch {
		case received > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && received < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readPiece fills a piece and returns what was read. At the end of the source it returns
// io.EOF.
func readPiece(source io.Reader, piece []byte) ([]byte, error) {
	filled := 0
	for filled < len(piece) {
		n, err := source.Read(piece[filled:])
		filled += n
		if err != nil {
			return piece[:filled], err
		}
	}
	return piece, nil
}

// endOf reads the end of a source whose bytes have all arrived, so that its connection
// can be used again. An HTTP body reports it only then.
func endOf(source io.Reader) error {
	n, err := source.Read(make([]byte, 1))
	switch {
	case n > 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
