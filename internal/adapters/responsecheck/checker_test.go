package responsecheck

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestResponsesOfOneConnection covers what may stand between the responses.
func TestResponsesOfOneConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	c := &Checker{}
	for range 3 {
		c.Expect(http.MethodGet)
		if passed := c.Check([]byte(sound)); passed != len(sound) || c.Err() != nil {
			t.Fatalf("%d bytes passed, %v", passed, c.Err())
		}
	}
	if passed := c.Check([]byte(sound)); passed != 0 || !errors.Is(c.Err(), ErrMalformed) {
		t.Errorf("response without a request: %d bytes passed, %v", passed, c.Err())
	}
	c = &Checker{}
	c.Expect(http.MethodGet)
	if passed := c.Check([]byte(sound + "more")); passed != len(sound) || !errors.Is(c.Err(), ErrMalformed) {
		t.Errorf("bytes behind a response: %d bytes passed, %v, want the response", passed, c.Err())
	}
	c = &Checker{}
	c.Expect(http.MethodGet)
	c.Check([]byte(sound[:len(sound)-1]))
	if c.Expect(http.MethodGet); !errors.Is(c.Err(), ErrMalformed) {
		t.Errorf("request before the end of the last response: %v", c.Err())
	}
}

// TestLinesAreBounded sends lines without end in single bytes, of which neither the time nor
// the memory may grow with what was sent before.
func TestLinesAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, begin := range []string{"", head, head + "X-Long: ", head + "Transfer-Encoding: chunked\r\n\r\n1;", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "} {
		c := &Checker{}
		c.Expect(http.MethodGet)
		c.Check([]byte(begin))
		passed := 0
		for c.Check([]byte("a")) == 1 {
			if passed++; len(c.line) > maxLinesBytes {
				t.Fatalf("%q: %d bytes held", begin, len(c.line))
			}
		}
		if passed < maxLinesBytes-len(begin) || passed > maxLinesBytes || !errors.Is(c.Err(), ErrMalformed) {
			t.Errorf("%q: %d bytes passed, %v", begin, passed, c.Err())
		}
	}
	for _, begin := range []string{head, "HTTP/1.1 102 X\r\n"} {
		c := &Checker{}
		c.Expect(http.MethodGet)
		c.Check([]byte(begin))
		if passed := c.Check([]byte(strings.Repeat("X: 1\r\n", maxLinesBytes))); passed > maxLinesBytes || !errors.Is(c.Err(), ErrMalformed) {
			t.Errorf("fields without end behind %q: %d bytes passed, %v", begin, passed, c.Err())
		}
	}
}

// TestManyChunksPass guards against a bound on all lines of a body together.
func TestManyChunksPass(t *testing.T) {
	c := &Checker{}
	c.Expect(http.MethodGet)
	c.Check([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	chunks := strings.Repeat("1\r\nx\r\n", maxLinesBytes)
	if passed := c.Check([]byte(chunks)); passed != len(chunks) {
		t.Errorf("%d of %d bytes passed, %v", passed, len(chunks), c.Err())
	}
}

// seeds are responses, sound and malformed ones.
var seeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200\r\n\r\nopen", "HTTP/1.0 404 \r\nX:\r\n\r\n",
	"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: 1\r\n\r\n",
	"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nmore", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3fffffffffffffff\r\nmore", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
}

// readResponse reads a response with net/http behind a checker. It returns its body and
// what is left of the source.
func readResponse(source io.Reader, method string) (status int, body string, err error) {
	buffered := bufio.NewReader(NewReader(source, method))
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(buffered, request)
		if err != nil {
			return 0, "", err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		content, err := io.ReadAll(response.Body)
		return response.StatusCode, string(content), err
	}
}

// FuzzReader checks that the way in which bytes arrive makes no difference, and that a
// response which net/http reads to its end is one that the checker has seen the end of.
func FuzzReader(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, p []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		status, body, err := readResponse(bytes.NewReader(p), method)
		otherStatus, otherBody, otherErr := readResponse(iotest.OneByteReader(bytes.NewReader(p)), method)
		if status != otherStatus || err == nil && body != otherBody || (err == nil) != (otherErr == nil) {
			t.Errorf("at once: status %d, body %q, %v; in bytes: status %d, body %q, %v", status, body, err, otherStatus, otherBody, otherErr)
		}
		if err != nil {
			return
		}
		c := &Checker{}
		c.Expect(method)
		passed := c.Check(p)
		if c.phase != idle && c.phase != openBody {
			t.Errorf("status %d, body %q: the checker is in phase %d after %d of %d bytes, %v", status, body, c.phase, passed, len(p), c.Err())
		}
		if !strings.HasSuffix(string(p[:passed]), body) && c.head.chunked == false {
			t.Errorf("body %q, checked %q", body, p[:passed])
		}
	})
}
