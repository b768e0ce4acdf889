// Package responsecheck checks HTTP/1 responses while they arrive on a connection.
//
// net/http reads responses liberally: among others it takes 000 for a status, passes on
// names with blanks in them, ignores a transfer coding in HTTP/1.0, and chooses one of two
// statements of a body's length. The response of a faulty server then looks complete, with
// content that is not the server's. A Checker stands before net/http and lets only those
// bytes pass that RFC 9110 and RFC 9112 allow a server to send.
package responsecheck

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed marks the error of bytes that are no response, or that no request asked for.
var ErrMalformed = errors.New("malformed response")

// phase is what the next byte of a connection belongs to.
type phase int

const (
	idle       phase = iota // nothing: no response is due
	statusLine              // the status line of a head
	fieldLine               // a further line of a head
	sizedBody               // a body, or what is left of it
	chunkLine               // the line with the size of a chunk
	chunkData               // a chunk, with the end of its last line
	trailer                 // the lines behind the last chunk
	openBody                // a body that ends with the connection
)

// maxLinesBytes bounds the lines of a head, of a trailer and before a chunk, in bytes. It is
// the bound that the HTTP clients set on heads.
const maxLinesBytes = 64 << 10

// Checker checks the responses on one connection. Beside what it knows of a head it holds
// at most one line. It is not safe for concurrent use.
type Checker struct {
	phase  phase
	isHead bool   // the request in progress has the method HEAD
	line   []byte // beginning of a line that has not ended yet
	lines  int    // bytes of the lines of this head, of this trailer, or before this chunk
	head   head
	left   int64 // bytes that are to come of a sized body or of a chunk
	failed error
}

// Expect begins the response to a request, which is about to be sent.
func (c *Checker) Expect(method string) {
	if c.phase != idle {
		c.fail("a request is sent before the last response has ended")
		return
	}
	c.phase, c.isHead = statusLine, method == http.MethodHead
}

// Err returns the first fault that was found, which is ErrMalformed, or nil. No byte
// passes after it.
func (c *Checker) Err() error { return c.failed }

// Check checks the next bytes of the connection. It returns how many of them pass. A line
// that arrives in parts may pass in part before its fault is found.
func (c *Checker) Check(p []byte) int {
	passed := 0
	for passed < len(p) {
		n := c.advance(p[passed:])
		if c.failed != nil {
			break
		}
		passed += n
	}
	return passed
}

// advance checks bytes that belong to one phase and returns their number.
func (c *Checker) advance(p []byte) int {
	switch c.phase {
	case idle:
		c.fail("%s before a request", quoted(p))
		return 0
	case openBody:
		return len(p)
	case sizedBody, chunkData:
		n := min(int64(len(p)), c.left)
		if c.left -= n; c.left == 0 {
			c.endData()
		}
		return int(n)
	default:
		return c.advanceLine(p)
	}
}

func (c *Checker) endData() {
	if c.phase == chunkData {
		c.phase = chunkLine
	} else {
		c.phase = idle
	}
}

// advanceLine collects a line, and checks it once it has ended.
func (c *Checker) advanceLine(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	length := end + 1
	if end < 0 {
		length = len(p)
	}
	if c.lines += length; c.lines > maxLinesBytes {
		c.fail("more than %d bytes of lines", maxLinesBytes)
		return 0
	}
	if end < 0 {
		c.line = append(c.line, p...)
		return len(p)
	}
	line := p[:end]
	if c.line != nil {
		line = append(c.line, line...)
		c.line = nil
	}
	// A recipient may accept a line that ends without CR (RFC 9112, section 2.2). No server
	// sends one, so that a byte of this one was lost or changed.
	content, hasCR := bytes.CutSuffix(line, []byte{'\r'})
	if !hasCR {
		c.fail("line %s ends without CR", quoted(line))
		return 0
	}
	c.endLine(content)
	return length
}

// endLine checks a whole line, without its end.
func (c *Checker) endLine(line []byte) {
	switch c.phase {
	case statusLine:
		c.head = head{}
		c.reject(c.head.readStatusLine(line))
		c.phase = fieldLine
	case fieldLine:
		if len(line) == 0 {
			c.endHead()
		} else {
			c.reject(c.head.readField(line))
		}
	case chunkLine:
		size, err := chunkSize(line)
		c.reject(err)
		c.phase, c.lines, c.left = chunkData, 0, size+int64(len("\r\n"))
		if size == 0 {
			c.phase = trailer
		}
	case trailer:
		if len(line) == 0 {
			c.phase, c.lines = idle, 0
		} else {
			c.reject(checkTrailerField(line))
		}
	}
}

// endHead begins the body of a response, or the response after an informational one.
func (c *Checker) endHead() {
	body, err := c.head.body(c.isHead)
	c.reject(err)
	c.lines, c.left = 0, body.length
	switch {
	case c.head.isInformational():
		c.phase = statusLine
	case body.chunked:
		c.phase = chunkLine
	case body.length > 0:
		c.phase = sizedBody
	case body.length == 0:
		c.phase = idle
	default:
		c.phase = openBody
	}
}

// reject ends the checks if there is an error.
func (c *Checker) reject(err error) {
	if err != nil && c.failed == nil {
		c.failed = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
}

func (c *Checker) fail(format string, values ...any) { c.reject(fmt.Errorf(format, values...)) }

// maxQuotedBytes bounds the bytes of a response that an error quotes.
const maxQuotedBytes = 60

// quoted returns the beginning of some bytes in quotes, for an error.
func quoted(p []byte) string { return fmt.Sprintf("%q", p[:min(len(p), maxQuotedBytes)]) }
