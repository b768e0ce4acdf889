package core

// Body is the body of a request or a response, in the pieces in which it was read, so
// that a large one needs no second copy while it grows. It is read-only. A nil body
// counts as absent.
type Body [][]byte

// NewBody returns a body of one piece, nil for nil content.
func NewBody(content []byte) Body {
	if content == nil {
		return nil
	}
	return Body{content}
}

// Len returns the size in bytes.
func (b Body) Len() int {
	size := 0
	for _, piece := range b {
		size += len(piece)
	}
	return size
}

// Bytes returns the content as one slice, which is a copy if there are several pieces.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	content := make([]byte, 0, b.Len())
	for _, piece := range b {
		content = append(content, piece...)
	}
	return content
}
