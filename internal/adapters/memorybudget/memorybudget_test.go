package memorybudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// TestGrowLeavesMemoryForOthers guards against one holder that takes what others need.
func TestGrowLeavesMemoryForOthers(t *testing.T) {
	const size = 3000
	budget := New(size)
	first, second := budget.NewHolder(), budget.NewHolder()
	for first.Grow(1) {
	}
	if free := budget.Free(); free < size/3 {
		t.Errorf("one holder leaves %d of %d bytes free, want a third", free, size)
	}
	if !second.Grow(size / 9) {
		t.Error("no memory for a small holder beside a large one")
	}
	first.Release()
	if !second.Grow(size / 2) {
		t.Error("released bytes are not available again")
	}
	if state := budget.State(); state.Refused != 1 || state.Held != size/9+size/2 {
		t.Errorf("state %+v", state)
	}
}

// TestGrowWaitsForEndedHolders guards against memory that two holders use at a time: one
// that was ended for another and the other one.
func TestGrowWaitsForEndedHolders(t *testing.T) {
	budget := New(300)
	stalled, other := budget.NewHolder(), budget.NewHolder()
	ended := make(chan struct{})
	stalled.Begin(func() { close(ended) })
	stalled.Add(280)
	time.Sleep(1100 * time.Millisecond) // longer than the core's progress slot
	granted := make(chan bool, 1)
	go func() { granted <- other.Grow(50) }()
	<-ended
	select {
	case <-granted:
		t.Error("granted before the ended holder has released its bytes")
	case <-time.After(20 * time.Millisecond):
	}
	if !stalled.IsEnded() || stalled.Grow(1) || stalled.Begin(nil) {
		t.Error("a holder that was ended goes on")
	}
	stalled.Release()
	if !<-granted {
		t.Error("not granted after the ended holder has released its bytes")
	}
}

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestBodiesAreReadInPieces guards against bodies that are copied while they grow or that
// hold more than they have received, and against ones that are cut or too long.
func TestBodiesAreReadInPieces(t *testing.T) {
	const limit = 8 << 20
	failure := errors.New("connection reset")
	for _, c := range []struct {
		name   string
		source io.Reader
		length int64
		size   int // of the body that is read
		err    error
	}{
		{"empty", strings.NewReader(""), 0, 0, nil},
		{"short", strings.NewReader("short"), 5, 5, nil},
		{"short of unknown length", strings.NewReader("short"), -1, 5, nil},
		{"end with the last bytes", iotest.DataErrReader(strings.NewReader("short")), 5, 5, nil},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), -1, 9000, nil},
		{"largest", bytes.NewReader(make([]byte, limit)), limit, limit, nil},
		{"largest of unknown length", bytes.NewReader(make([]byte, limit)), -1, limit, nil},
		{"over the limit", bytes.NewReader(make([]byte, limit+1)), -1, 0, ErrTooLarge},
		{"announced over the limit", strings.NewReader(""), limit + 1, 0, ErrTooLarge},
		{"longer than announced", strings.NewReader("longer"), 5, 0, ErrTooLarge},
		{"cut", strings.NewReader("cut"), 5, 0, io.ErrUnexpectedEOF},
		{"without end", endlessReader{}, -1, 0, ErrTooLarge},
		{"broken", iotest.ErrReader(failure), -1, 0, failure},
	} {
		budget := New(64 << 20)
		holder := budget.NewHolder()
		body, err := holder.ReadBody(c.source, c.length, limit)
		if !errors.Is(err, c.err) || body.Len() != c.size {
			t.Errorf("%s: body of %d bytes, %v; want %d bytes, %v", c.name, body.Len(), err, c.size, c.err)
		}
		held, most := budget.State().Held, int64(2*c.size+minPieceBytes)
		if c.size > 4*maxPieceBytes {
			most = int64(c.size + maxPieceBytes)
		}
		if c.err == nil && (held < int64(c.size) || held > most) {
			t.Errorf("%s: %d bytes held for a body of %d", c.name, held, c.size)
		}
		holder.Release()
		if free := budget.Free(); free != 64<<20 {
			t.Errorf("%s: %d bytes free after the release", c.name, free)
		}
	}
	small := New(1 << 20).NewHolder()
	if _, err := small.ReadBody(endlessReader{}, -1, limit); !errors.Is(err, ErrNoMemory) {
		t.Errorf("body over the share: %v, want %v", err, ErrNoMemory)
	}
}
