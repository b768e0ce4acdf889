package responsecheck

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// Fields that say how a body is read.
var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// head is what is known of a head.
type head struct {
	isHTTP11  bool
	status    int
	chunked   bool
	hasLength bool
	length    int64 // of the body, in bytes
}

// add adds a field to the head.
func (h *head) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, contentLength):
		return h.addLength(value)
	case bytes.EqualFold(name, transferEncoding):
		return h.addCoding(value)
	default:
		return nil
	}
}

func (h *head) addLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return fmt.Errorf("length of the body: %s", quoted(value))
	}
	h.hasLength, h.length = true, int64(length)
	return nil
}

// addCoding adds a transfer coding. No request asks for any other than chunks, which HTTP/1.0
// does not have.
func (h *head) addCoding(value []byte) error {
	if !h.isHTTP11 {
		return nil
	}
	if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		return fmt.Errorf("transfer coding: %s", quoted(value))
	}
	h.chunked = true
	return nil
}

func (h *head) isInformational() bool { return h.status < http.StatusOK }

// framing is how a body is read.
type framing struct {
	chunked bool
	length  int64 // in bytes, if it is not in chunks; less than zero if it ends with the connection
}

// body returns how the body behind the head is read (RFC 9112, section 6.3).
func (h *head) body(isHead bool) framing {
	switch {
	case h.isInformational() || h.status == http.StatusNoContent || isHead || h.status == http.StatusNotModified:
		return framing{}
	case h.chunked:
		return framing{chunked: true}
	case h.hasLength:
		return framing{length: h.length}
	default:
		return framing{length: -1}
	}
}
