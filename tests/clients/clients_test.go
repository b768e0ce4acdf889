// Package clients tests what all HTTP clients of the project have in common.
package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/detour"
	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/adapters/objecthttp"
	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/adapters/plainhttp"
	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/adapters/scorerhttp"
	"fescuespar/internal/adapters/tablehttp"
	"fescuespar/internal/adapters/vmlisthttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/platform/store"
	"fescuespar/platform/worker"
)

// dyingServer answers requests until it is told to die. From then on it closes the
// connection after the last byte of each request, as a server that crashes under the
// request, or after its last words. It is back at once or stays dead.
type dyingServer struct {
	listener  net.Listener
	staysDead bool
	lastWords string       // format of the request's id; empty for none
	answered  atomic.Int64 // requests
	dies      atomic.Bool
	received  atomic.Int64 // requests received since then
	kept      atomic.Int64 // of these on a connection that had carried others
}

func startDyingServer(t *testing.T, staysDead bool) *dyingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &dyingServer{listener: listener, staysDead: staysDead}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(connection)
		}
	}()
	return server
}

func (s *dyingServer) address() string { return s.listener.Addr().String() }

func (s *dyingServer) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.dies.Load() {
			if s.staysDead {
				_ = s.listener.Close()
			}
			s.received.Add(1)
			if served > 0 {
				s.kept.Add(1)
			}
			if s.lastWords != "" {
				_, _ = fmt.Fprintf(connection, s.lastWords, request.Header.Get("Attempt-Id"))
			}
			return
		}
		s.answered.Add(1)
		body := "{}"
		if request.Method == http.MethodHead {
			body = ""
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Attempt-Id"), len(body), body)
	}
}

// exchange is a request of one client. start returns a function that sends it.
type exchange struct {
	name    string
	start   func(t *testing.T, address string) func(context.Context) error
	isNew   bool         // each request has a connection of its own
	repeats int64        // further copies that the client decides to send if a kept connection ends
	want    errkind.Kind // of a request whose server died
}

type discard struct{}

func (discard) Head(core.RelayResponse) error { return nil }
func (discard) Event(core.Event) error        { return nil }

func discardChunk(core.Chunk) error { return nil }

func serverAt(address string) core.VM { return core.VM{ID: "server-1", Address: address} }

// backendExchanges returns the requests that the relay sends to backend servers.
func backendExchanges() []exchange {
	var found []exchange
	add := func(name string, isNew bool, send func(context.Context, *worker.Client, core.VM) error) {
		found = append(found, exchange{name: "relay " + name, isNew: isNew, want: errkind.ServerFailed,
			start: func(_ *testing.T, address string) func(context.Context) error {
				client := worker.New(memorybudget.New(1 << 20))
				return func(ctx context.Context) error { return send(ctx, client, serverAt(address)) }
			}})
	}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost, http.MethodPut, http.MethodDelete, "PURGE"} {
		for _, body := range []string{"", "body"} {
			for _, isOnce := range []bool{false, true} {
				request := core.RelayRequest{ID: "r-1", Method: method, Host: "h", Target: "/x", Body: core.NewBody([]byte(body)), AtMostOnce: isOnce,
					Header: core.Header{"Idempotency-Key": {"k"}}}
				add(fmt.Sprintf("%s %q once=%v", method, body, isOnce), isOnce, func(ctx context.Context, client *worker.Client, server core.VM) error {
					_, err := client.Exchange(ctx, server, request)
					return err
				})
			}
		}
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		request := core.EventsRequest{RelayRequest: core.RelayRequest{ID: "r-1", Method: method, Host: "h", Target: "/x"}}
		add("stream "+method, false, func(ctx context.Context, client *worker.Client, server core.VM) error {
			_, err := client.Events(ctx, server, request, discard{})
			return err
		})
	}
	add("report", false, func(ctx context.Context, client *worker.Client, server core.VM) error {
		_, err := client.Report(ctx, server)
		return err
	})
	add("order", false, func(ctx context.Context, client *worker.Client, server core.VM) error {
		_, err := client.Order(ctx, server, core.Order{Model: "m", Version: 2})
		return err
	})
	found[len(found)-1].want = errkind.OutcomeUnknown
	return found
}

// serverExchanges returns the requests that fescuespar entry sends to backend servers.
func serverExchanges() []exchange {
	engine := func(name string, want errkind.Kind, send func(context.Context, *enginehttp.Client, core.VM) error) exchange {
		return exchange{name: "engine " + name, want: want, start: func(_ *testing.T, address string) func(context.Context) error {
			client := enginehttp.New(time.Second)
			return func(ctx context.Context) error { return send(ctx, client, serverAt(address)) }
		}}
	}
	found := []exchange{
		engine("generate", errkind.ServerFailed, func(ctx context.Context, client *enginehttp.Client, server core.VM) error {
			_, err := client.Generate(ctx, server, core.GenerateRequest{}, discardChunk)
			return err
		}),
		engine("resume", errkind.ServerFailed, func(ctx context.Context, client *enginehttp.Client, server core.VM) error {
			_, err := client.Resume(ctx, server, "s", 1, discardChunk)
			return err
		}),
		engine("cancel", errkind.ServerFailed, func(ctx context.Context, client *enginehttp.Client, server core.VM) error {
			return client.Cancel(ctx, server, "s")
		}),
		engine("status", errkind.ServerFailed, func(ctx context.Context, client *enginehttp.Client, server core.VM) error {
			_, err := client.Status(ctx, server, 0)
			return err
		}),
		engine("order", errkind.OutcomeUnknown, func(ctx context.Context, client *enginehttp.Client, server core.VM) error {
			return client.Order(ctx, server, core.Order{})
		}),
		{name: "scorer", want: errkind.ServerFailed, start: func(_ *testing.T, address string) func(context.Context) error {
			client := scorerhttp.New(time.Second)
			return func(ctx context.Context) error {
				_, err := client.Score(ctx, serverAt(address), core.Sample{})
				return err
			}
		}},
	}
	for _, key := range []core.IdempotencyKey{"", "k"} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			found = append(found, exchange{name: fmt.Sprintf("plain %s %q", method, key), isNew: key != "", want: errkind.ServerFailed,
				start: func(_ *testing.T, address string) func(context.Context) error {
					client := plainhttp.New(time.Second)
					return func(ctx context.Context) error {
						_, err := client.Call(ctx, serverAt(address), core.PlainRequest{Method: method, Path: "/x", Key: key})
						return err
					}
				}})
		}
	}
	return found
}

// platformExchanges returns calls of the platform. Reads are sent once more by decision of
// platformhttp, and through a detour.
func platformExchanges() []exchange {
	key := core.RowKey{Table: core.TableCrash, ID: "p|x"}
	found := []exchange{
		{name: "table read by POST", want: errkind.StoreUnavailable, start: func(_ *testing.T, address string) func(context.Context) error {
			client := tablehttp.New("http://"+address, time.Second)
			return func(ctx context.Context) error { _, err := client.Read(ctx, []core.RowKey{key}); return err }
		}},
		{name: "object read", repeats: 1, want: errkind.StoreUnavailable, start: func(_ *testing.T, address string) func(context.Context) error {
			client := objecthttp.New("http://"+address, time.Second)
			return func(ctx context.Context) error { _, err := client.Get(ctx, "x"); return err }
		}},
		{name: "VM list", repeats: 1, want: errkind.StoreUnavailable, start: func(_ *testing.T, address string) func(context.Context) error {
			client := vmlisthttp.New("http://"+address, time.Second)
			return func(ctx context.Context) error { _, err := client.VMs(ctx); return err }
		}},
		{name: "operator read", isNew: true, want: errkind.PeerUnreachable, start: func(_ *testing.T, address string) func(context.Context) error {
			client := operatorclient.New(address, "token", time.Second)
			return func(ctx context.Context) error { _, err := client.Status(ctx); return err }
		}},
		{name: "operator publish", isNew: true, want: errkind.OutcomeUnknown, start: func(_ *testing.T, address string) func(context.Context) error {
			client := operatorclient.New(address, "token", time.Second)
			return func(ctx context.Context) error {
				_, err := client.Publish(ctx, configjson.PublishRequest{})
				return err
			}
		}},
	}
	for _, viaPeer := range []bool{false, true} {
		add := func(name string, repeats int64, want errkind.Kind, send func(context.Context, *store.Client) error) {
			found = append(found, exchange{name: fmt.Sprintf("store %s, through a peer: %v", name, viaPeer), repeats: repeats, want: want,
				start: func(t *testing.T, address string) func(context.Context) error {
					client := newStore(t, address, viaPeer)
					return func(ctx context.Context) error { return send(ctx, client) }
				}})
		}
		reads := int64(1)
		if !viaPeer {
			reads = 2 // and the detour, which has no peer and so goes to the platform itself
		}
		add("scan", reads, errkind.StoreUnavailable, func(ctx context.Context, client *store.Client) error {
			_, err := client.Scan(ctx, core.TableCrash, "p|", "", 1)
			return err
		})
		add("commit", 0, errkind.OutcomeUnknown, func(ctx context.Context, client *store.Client) error {
			_, err := client.Commit(ctx, core.Commit{Attempt: "a", Writes: []core.Write{{Key: key}}})
			return err
		})
		add("put", 0, errkind.OutcomeUnknown, func(ctx context.Context, client *store.Client) error { return client.Put(ctx, "x", []byte("body")) })
		add("delete", 0, errkind.OutcomeUnknown, func(ctx context.Context, client *store.Client) error { return client.Delete(ctx, "x") })
	}
	return found
}

// newStore returns a client of the store that calls it directly or through a peer.
func newStore(t *testing.T, address string, viaPeer bool) *store.Client {
	t.Helper()
	listen := func(direct http.RoundTripper) *detour.Node {
		node, err := detour.Listen("127.0.0.1:0", address, direct, detour.Limits{MaxConnections: 16, Memory: memorybudget.New(1 << 20)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		return node
	}
	if !viaPeer {
		direct := platformhttp.NewTransport()
		return store.New(detour.NewTransport(direct, listen(direct), func() detour.Peers { return detour.Peers{} }), address, 2*time.Second, nil, zerolog.Nop())
	}
	peer := listen(platformhttp.NewTransport())
	transport := detour.NewTransport(refusing{}, listen(refusing{}), func() detour.Peers { return detour.Peers{SameZone: []string{peer.Address()}} })
	return store.New(transport, address, 2*time.Second, nil, zerolog.Nop())
}

// refusing is a direct path on which the platform refuses all calls.
type refusing struct{}

func (refusing) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}}, nil
}

// TestRequestsAreSentOnce guards against requests that a library sends a second time by
// itself: a GET that crashed its server was sent again, and the refused connection of the
// copy hid the crash, so that the request went on to crash other servers.
func TestRequestsAreSentOnce(t *testing.T) {
	for _, exchange := range append(append(backendExchanges(), serverExchanges()...), platformExchanges()...) {
		for _, mode := range []struct{ isKept, staysDead bool }{{}, {staysDead: true}, {isKept: true}, {isKept: true, staysDead: true}} {
			isKept := mode.isKept
			if isKept && exchange.isNew {
				continue
			}
			t.Run(fmt.Sprintf("%s/%+v", exchange.name, mode), func(t *testing.T) {
				server := startDyingServer(t, mode.staysDead)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				send := exchange.start(t, server.address())
				if isKept {
					_ = send(ctx) // the server's answer fits no protocol, but its connection is kept
				}
				server.dies.Store(true)
				err := send(ctx)
				want := int64(1)
				if isKept || exchange.repeats > 1 {
					want += exchange.repeats
				}
				if got := server.received.Load(); got < 1 || got > want {
					t.Errorf("the server received %d copies, want 1 to %d", got, want)
				}
				if isKept && server.kept.Load() == 0 {
					t.Error("no copy came on a kept connection")
				}
				if !errkind.Is(err, exchange.want) {
					t.Errorf("error %v, want %s", err, exchange.want)
				}
			})
		}
	}
}
