package httpguard

import (
	"bytes"
	"strings"
)

// lengthField is the name of the header field that gives a body's length.
const lengthField = "content-length"

// fieldScan counts the length fields in a head while it arrives. net/http hides them: it
// drops the length of a body in chunks, and all but one of several equal lengths, though
// other servers may read such a request differently. All else is left to net/http.
type fieldScan struct {
	lengths int
	ended   bool                       // the empty line after the head was read
	column  int                        // bytes of the current line so far
	begin   [len(lengthField) + 1]byte // of the current line
}

// read scans further bytes of the head.
func (s *fieldScan) read(p []byte) {
	for len(p) > 0 && !s.ended {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		if s.column < len(s.begin) {
			copy(s.begin[s.column:], line)
		}
		s.column += len(line)
		if complete {
			s.endLine()
		}
		p = rest
	}
}

func (s *fieldScan) endLine() {
	begin := string(s.begin[:min(s.column, len(s.begin))])
	switch name, isLength := strings.CutSuffix(begin, ":"); {
	case begin == "" || begin == "\r":
		s.ended = true
	case isLength && strings.EqualFold(name, lengthField):
		s.lengths++
	}
	s.column = 0
}
