package enginehttp_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/standin/engine"
)

// countingListener counts the bytes read and written by all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkStatus measures consecutive status polls of an idle engine that has no
// cache events. HTTP-B is the number of HTTP bytes of one poll in both directions,
// without TCP and IP headers. The time covers client and server.
func BenchmarkStatus(b *testing.B) {
	standin := engine.New(engine.Options{Model: "coach"})
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(standin)
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	b.Cleanup(server.Close)
	b.Cleanup(standin.Close)
	client := enginehttp.New(time.Minute)
	vm := core.VM{ID: "engine-1", Kind: core.KindEngine, Address: server.Listener.Addr().String()}
	poll := func() {
		if _, err := client.Status(context.Background(), vm, 0); err != nil {
			b.Fatal(err)
		}
	}
	poll()
	bytes.Store(0)
	for b.Loop() {
		poll()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "HTTP-B")
}
