package sendonce

import (
	"errors"
	"io"
	"net"
	"net/http"
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

// TestEndsOfRealConnections has a server that sends a part of a body while the client writes,
// and ends the connection. The client's write takes the error before a read sees the end.
func TestEndsOfRealConnections(t *testing.T) {
	for _, inOrder := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.TCPConn)
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, openResponse)
			if inOrder {
				_ = conn.CloseWrite()
			}
			time.Sleep(50 * time.Millisecond) // until the client has received what was sent
			_ = conn.SetLinger(0)
			_ = conn.Close() // with a reset
		}()
		dialed, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		connection := newTrackedConn(dialed)
		connection.expectResponse(http.MethodPost)
		for block := make([]byte, 1<<20); err == nil; {
			_, err = connection.Write(block)
		}
		if errors.Is(err, syscall.EPIPE) != inOrder {
			t.Errorf("closed in order %t: write failed with %v", inOrder, err)
		}
		received, err := io.ReadAll(connection)
		if (err == nil) != inOrder || string(received) != openResponse {
			t.Errorf("closed in order %t: received %q, %v", inOrder, received, err)
		}
		_, _ = connection.Close(), listener.Close()
	}
}

// openResponse is a response whose body ends with its connection.
const openResponse = "HTTP/1.1 200 OK\r\n\r\npart"
