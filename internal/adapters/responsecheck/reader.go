package responsecheck

import "io"

// reader reads one response.
type reader struct {
	source  io.Reader
	checker Checker
}

// NewReader returns a reader of the response to one request. It returns ErrMalformed in
// place of the bytes that are no response.
func NewReader(source io.Reader, method string) io.Reader {
	r := &reader{source: source}
	r.checker.Expect(method)
	return r
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if err := r.checker.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	if passed := r.checker.Check(p[:n]); passed < n {
		return passed, r.checker.Err()
	}
	return n, err
}
