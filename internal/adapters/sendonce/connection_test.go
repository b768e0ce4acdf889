package sendonce

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// endingConn is a connection of which a read sees the end. Its write fails once it is
// released, or once its deadline is set.
type endingConn struct {
	net.Conn
	writeError        error
	writing, released chan struct{}
}

func (c *endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endingConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.released
	return 0, c.writeError
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.released)
	return nil
}

// TestEndAfterFailedWrite covers the errors of a write that fails before, or while, a read
// sees the end of the connection. Only a connection that did not break ends in order.
func TestEndAfterFailedWrite(t *testing.T) {
	for _, c := range []struct {
		writeError error
		breaks     bool
	}{
		{syscall.ECONNRESET, true}, {syscall.ETIMEDOUT, true}, {syscall.EHOSTUNREACH, true},
		{syscall.EPIPE, false}, {os.ErrDeadlineExceeded, false}, {net.ErrClosed, false},
	} {
		for _, inProgress := range []bool{false, true} {
			ending := &endingConn{writeError: c.writeError, writing: make(chan struct{}), released: make(chan struct{})}
			if !inProgress {
				close(ending.released)
			}
			connection, written := newTrackedConn(ending), make(chan struct{})
			go func() {
				defer close(written)
				_, _ = connection.Write([]byte("x"))
			}()
			<-ending.writing
			if !inProgress {
				<-written
			}
			_, err := connection.Read(make([]byte, 1))
			if inOrder := err == io.EOF; inOrder == c.breaks || c.breaks && !errors.Is(err, c.writeError) {
				t.Errorf("write failed with %v, in progress %t: read returned %v, want a break %t", c.writeError, inProgress, err, c.breaks)
			}
			<-written
		}
	}
}
