package responsecheck

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"net/http"
	"strconv"
)

// Fields that say how a body is read.
var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// singleFields are the fields that RFC 9110 gives one value, which a server sends once.
var singleFields = [...][]byte{
	contentLength, []byte("content-type"), []byte("content-range"), []byte("content-location"), []byte("location"), []byte("etag"),
	[]byte("last-modified"), []byte("date"), []byte("expires"), []byte("age"), []byte("retry-after"), []byte("server"),
}

// head is what is known of a head.
type head struct {
	isHTTP11  bool
	status    int
	chunked   bool
	hasLength bool
	length    int64                     // of the body, in bytes
	values    [len(singleFields)]uint64 // hash of each field's value; zero if it has not come
}

// hashSeed makes the hashes of values hard to choose.
var hashSeed = maphash.MakeSeed()

// add adds a field to the head.
func (h *head) add(name, value []byte) error {
	for i, single := range singleFields {
		if len(name) != len(single) || !bytes.EqualFold(name, single) {
			continue
		}
		hash := maphash.Bytes(hashSeed, value) | 1
		if h.values[i] != 0 && h.values[i] != hash {
			return fmt.Errorf("two values of the field %s", quoted(name))
		}
		h.values[i] = hash
	}
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

// addCoding adds a transfer coding. No request asks for any other than chunks.
func (h *head) addCoding(value []byte) error {
	if !h.isHTTP11 || h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
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

// body returns how the body behind the head is read (RFC 9112, section 6.3). A head with
// both a length and a coding may hide one response in another.
func (h *head) body(isHead bool) (framing, error) {
	if h.hasLength && h.chunked {
		return framing{}, errors.New("both a length and a transfer coding")
	}
	if h.isInformational() || h.status == http.StatusNoContent {
		if h.chunked || h.length > 0 {
			return framing{}, fmt.Errorf("a body behind status %d", h.status)
		}
		return framing{}, nil
	}
	switch {
	case isHead || h.status == http.StatusNotModified:
		return framing{}, nil
	case h.chunked:
		return framing{chunked: true}, nil
	case h.hasLength:
		return framing{length: h.length}, nil
	default:
		return framing{length: -1}, nil
	}
}
