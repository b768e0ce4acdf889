package sendonce

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"fescuespar/internal/adapters/responsecheck"
	"fescuespar/internal/lockrank"
)

// trackedConn is a connection of a Transport. It counts the bytes that are written, tells a
// connection that the server ended from one that broke, and lets no malformed response pass.
// One goroutine reads at a time, and one writes.
type trackedConn struct {
	net.Conn
	opened time.Time
	bytes  atomic.Int64 // written

	// mu guards the fields below.
	mu         lockrank.Mutex
	writing    bool
	writeEnded chan struct{} // closed when the write in progress ends; nil if nobody waits for it
	broken     error         // why a write failed, unless the server had ended its direction; nil if none did
	responses  responsecheck.Checker
}

func newTrackedConn(connection net.Conn) *trackedConn {
	return &trackedConn{Conn: connection, opened: time.Now(), mu: lockrank.New(lockrank.RankAdapter)}
}

// ConnectionAge returns the time since a connection of a Transport was opened.
func ConnectionAge(connection net.Conn) time.Duration { return time.Since(tracked(connection).opened) }

// tracked returns a connection that the transport uses, which gets them from no other dialer.
func tracked(connection net.Conn) *trackedConn { return connection.(*trackedConn) }

// encrypt begins TLS on a connection to host:port, which it closes if that fails. The bytes
// that a trackedConn sees are those of the responses.
func encrypt(ctx context.Context, connection net.Conn, address string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(err, connection.Close())
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	encrypted := tls.Client(connection, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, connection.Close())
	}
	return encrypted, nil
}

// expectResponse is called before a request with a method is written.
func (c *trackedConn) expectResponse(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses.Expect(method)
}

// Write implements net.Conn. It writes nothing after a malformed response.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.responses.Err(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.broken == nil && breaksConnection(err) {
		c.broken = err
	}
	if c.writeEnded != nil {
		close(c.writeEnded)
		c.writeEnded = nil
	}
	return n, err
}

// breaksConnection reports whether the error of a write tells that the connection broke.
// EPIPE tells that the server had closed it in order, or that an earlier error was reported
// already.
func breaksConnection(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. It returns io.EOF only if the server ended the connection in
// order. The operating system reports a reset once, to a read or to a write. If a write took
// it, reads see an end like that of a connection which was closed, and a body without a
// length would look complete.
func (c *trackedConn) Read(p []byte) (int, error) {
	if _, malformed := c.check(nil); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(p)
	if passed, malformed := c.check(p[:n]); passed < n {
		if passed > 0 {
			return passed, nil // the fault stands for the next read
		}
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		if broken := c.awaitBroken(); broken != nil {
			return n, fmt.Errorf("connection broke off: %w", broken)
		}
	}
	return n, err
}

// check returns how many of the next bytes pass, and why further ones don't.
func (c *trackedConn) check(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := c.responses.Check(p)
	return passed, c.responses.Err()
}

// awaitBroken returns why the connection broke, nil if it did not. It ends a write in
// progress, which may have taken the error that the read did not get. The transport writes
// nothing more on a connection that has ended.
func (c *trackedConn) awaitBroken() error {
	c.mu.Lock()
	if c.writing {
		ended := make(chan struct{})
		c.writeEnded = ended
		c.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now()) // fails only if the connection is closed, which ends the write too
		<-ended
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	return c.broken
}
