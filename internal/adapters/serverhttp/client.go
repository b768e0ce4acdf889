// Package serverhttp is shared by the adapters for backend servers. It provides
// HTTP clients, size limits of bodies, and the mapping from transport failures and
// refusals to error kinds.
package serverhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Limits of connections to backend servers.
const (
	idleConnTimeout  = 30 * time.Second // shorter than the servers', so that the client closes first
	maxIdlePerServer = 64
	maxHeaderBytes   = 64 << 10
)

// NewClient returns a client that reuses connections, sends each request once, follows no
// redirects and uses no proxy. dialTimeout bounds the opening of a connection.
func NewClient(dialTimeout time.Duration) *http.Client {
	return newClient(dialTimeout, false)
}

// NewUnpooledClient returns a client like NewClient's that opens a connection
// for each request. A request on a reused connection can have an unknown
// outcome, because the server may close the idle connection while the request
// is being sent.
func NewUnpooledClient(dialTimeout time.Duration) *http.Client {
	return newClient(dialTimeout, true)
}

func newClient(dialTimeout time.Duration, unpooled bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return sendonce.NewClient(sendonce.New(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      unpooled,
	}), 0)
}

// probeHold is how long a probe's connection must stay open. What stands before a dead
// server may accept a connection and close it at once.
const probeHold = 20 * time.Millisecond

// Probe checks whether a server accepts connections and keeps them open, without sending
// a request. Errors: ServerRefused, and Timeout or Canceled if the context ends first.
func Probe(ctx context.Context, server core.VM) error {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", server.Address)
	switch {
	case err == nil:
		defer connection.Close()
		return checkOpen(connection, server)
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Of(ctx.Err()), err, "%s did not accept a connection in time", server.ID)
	default:
		return errkind.Wrap(errkind.ServerRefused, err, "%s did not accept a connection", server.ID)
	}
}

// checkOpen returns ServerRefused if the other end closes a connection within probeHold.
func checkOpen(connection net.Conn, server core.VM) error {
	if err := connection.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return errkind.Wrap(errkind.ServerRefused, err, "%s closed a connection", server.ID)
	}
	_, err := connection.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errkind.Wrap(errkind.ServerRefused, err, "%s closed a connection at once", server.ID)
}
