package responsecheck

import (
	"bytes"
	"fmt"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// readField reads a line of a head that is not its last.
func (h *head) readField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	return h.add(name, value)
}

// checkTrailerField checks a line behind the last chunk. A trailer can't say how the body
// before it is read (RFC 9110, section 6.5.1).
func checkTrailerField(line []byte) error {
	name, _, err := splitField(line)
	if err == nil && (bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)) {
		err = fmt.Errorf("field %s in a trailer", quoted(name))
	}
	return err
}

// splitField splits the line of a field into its name and its value (RFC 9112, section 5).
// Nothing stands before the name or between it and the colon, and a value has one line.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isName(name) || !isText(value) {
		return nil, nil, fmt.Errorf("field %s", quoted(line))
	}
	return name, bytes.Trim(value, " \t"), nil
}

func isName(text []byte) bool {
	for _, c := range text {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(text) > 0
}

// chunkSizeBits bounds the size of a chunk, so that an int64 holds it with the end of its line.
const chunkSizeBits = 62

// chunkSize returns the size in the line before a chunk (RFC 9112, section 7.1), in bytes.
// Some servers pad it with blanks.
func chunkSize(line []byte) (int64, error) {
	digits, extensions, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, chunkSizeBits)
	if err != nil || !isText(extensions) {
		return 0, fmt.Errorf("size of a chunk: %s", quoted(line))
	}
	return int64(size), nil
}
