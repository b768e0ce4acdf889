package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/adapters/memorybudget"
)

// limits returns limits that no call of these tests reaches.
func limits() Limits { return Limits{MaxConnections: 64, Memory: memorybudget.New(64 << 20)} }

// faultyTransport is a direct transport with faults that tests switch on. With
// hang set, as in a network partition, calls block until their context ends. With
// refuse set, calls get status 503. With lose set, calls are made and their responses lost.
type faultyTransport struct {
	hang, refuse, lose atomic.Bool
	calls              atomic.Int64
}

func (f *faultyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	f.calls.Add(1)
	if f.hang.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if f.refuse.Load() {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}}, nil
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil && f.lose.Load() {
		_ = response.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return response, err
}

// newTransportWithPeer returns a transport with one peer, and the direct transports
// of the process itself and of the peer.
func newTransportWithPeer(t *testing.T, platform *httptest.Server) (*Transport, *faultyTransport, *faultyTransport) {
	t.Helper()
	host := strings.TrimPrefix(platform.URL, "http://")
	ownDirect, peerDirect := &faultyTransport{}, &faultyTransport{}
	peer, err := Listen("127.0.0.1:0", host, peerDirect, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	node, err := Listen("127.0.0.1:0", host, ownDirect, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return NewTransport(ownDirect, node, func() Peers { return Peers{OtherZones: []string{peer.Address()}} }), ownDirect, peerDirect
}

// platformServer starts a platform that echoes the path and body of each call and
// counts the POST calls in writes.
func platformServer(t *testing.T, writes *atomic.Int64) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			writes.Add(1)
		}
		_, _ = io.WriteString(w, r.URL.Path+":"+string(body))
	}))
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, transport *Transport, method, url, body string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", errors.New(response.Status)
	}
	return string(answer), err
}

func TestReadsGoThroughPeerWhileDirectPathIsDown(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, _ := newTransportWithPeer(t, platform)
	ownDirect.hang.Store(true)
	for i := range 3 {
		if got, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil || got != "/rows:" {
			t.Fatalf("read %d: %q, %v", i, got, err)
		}
	}
	if !transport.IsDirectDown() {
		t.Error("direct path is not marked as down")
	}
	if got, err := send(t, transport, http.MethodPost, platform.URL+"/tx", "x", 2*time.Second); err != nil || got != "/tx:x" {
		t.Errorf("write while the direct path is down: %q, %v", got, err)
	}
	ownDirect.hang.Store(false)
	deadline := time.Now().Add(5 * time.Second)
	for transport.IsDirectDown() && time.Now().Before(deadline) {
		if _, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if transport.IsDirectDown() {
		t.Error("direct path is still marked as down 5 s after it was restored")
	}
}

// TestWriteWithUnknownOutcomeIsNotRepeated has a write hang on the direct path. It
// must fail and must not be sent through a peer, because the platform may have
// carried it out.
func TestWriteWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, peerDirect := newTransportWithPeer(t, platform)
	ownDirect.hang.Store(true)
	if _, err := send(t, transport, http.MethodPost, platform.URL+"/tx", "x", 300*time.Millisecond); err == nil {
		t.Error("write that hung returned no error")
	}
	if peerDirect.calls.Load() != 0 || writes.Load() != 0 {
		t.Errorf("peer made %d calls and platform carried out %d writes, want none", peerDirect.calls.Load(), writes.Load())
	}
}

func TestRefusedWriteGoesThroughPeer(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, _ := newTransportWithPeer(t, platform)
	ownDirect.refuse.Store(true)
	if got, err := send(t, transport, http.MethodPost, platform.URL+"/tx", "x", 2*time.Second); err != nil || got != "/tx:x" {
		t.Errorf("got %q, %v", got, err)
	}
	if writes.Load() != 1 {
		t.Errorf("%d writes, want 1", writes.Load())
	}
}

// TestRefusedWriteLostByPeerIsNoRefusal guards against a write that the platform refused
// at first and carried out for a peer, whose response was lost: reported as refused, it was
// taken for not done and sent again.
func TestRefusedWriteLostByPeerIsNoRefusal(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, peerDirect := newTransportWithPeer(t, platform)
	ownDirect.refuse.Store(true)
	peerDirect.lose.Store(true)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, platform.URL+"/tx", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		t.Errorf("status %d, want an error", response.StatusCode)
	}
	if writes.Load() != 1 {
		t.Errorf("%d writes carried out, want 1", writes.Load())
	}
}

func TestOutageOfBothPathsIsAnError(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, peerDirect := newTransportWithPeer(t, platform)
	ownDirect.hang.Store(true)
	peerDirect.hang.Store(true)
	if _, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", time.Second); err == nil {
		t.Error("read returned no error while neither path works")
	}
}

// TestHangingWriteFailsWhenDirectPathGoesDown starts a write just before a read
// finds out that the direct path is down.
func TestHangingWriteFailsWhenDirectPathGoesDown(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, _ := newTransportWithPeer(t, platform)
	ownDirect.hang.Store(true)
	ended := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		_, _ = send(t, transport, http.MethodPost, platform.URL+"/tx", "x", 10*time.Second)
		ended <- time.Since(start)
	}()
	for ownDirect.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("write still hangs 2 s after the direct path was marked as down")
	}
}

// TestLargeWriteGoesThroughPeer sends about as much as a transaction may hold.
func TestLargeWriteGoesThroughPeer(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	transport, ownDirect, _ := newTransportWithPeer(t, platform)
	ownDirect.hang.Store(true)
	if _, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("x", 900<<10)
	if got, err := send(t, transport, http.MethodPost, platform.URL+"/tx", body, 2*time.Second); err != nil || len(got) < len(body) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}

// TestPeerServesCachedReadsInOutage starts a process while no process reaches the
// platform. A marked read must return the response that a peer cached before, with
// status 203.
func TestPeerServesCachedReadsInOutage(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	host := strings.TrimPrefix(platform.URL, "http://")
	oldDirect, newDirect := &faultyTransport{}, &faultyTransport{}
	peer, err := Listen("127.0.0.1:0", host, oldDirect, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	oldTransport := NewTransport(oldDirect, peer, func() Peers { return Peers{} })
	node, err := Listen("127.0.0.1:0", host, newDirect, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	transport := NewTransport(newDirect, node, func() Peers { return Peers{OtherZones: []string{peer.Address()}} })
	read := func(transport *Transport, path string) (int, string) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, platform.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(AllowStaleHeader, "1")
		response, err := transport.RoundTrip(request)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	if status, body := read(oldTransport, "/op"); status != http.StatusOK || body != "/op:" {
		t.Fatalf("read before the outage: %d %q", status, body)
	}
	oldDirect.refuse.Store(true)
	newDirect.refuse.Store(true)
	if status, body := read(transport, "/op"); status != http.StatusNonAuthoritativeInfo || body != "/op:" {
		t.Errorf("marked read in the outage: %d %q, want the cached response with status 203", status, body)
	}
	peer.ServeNewest(func(requestURI string) []byte {
		if requestURI == "/op" {
			return []byte("newer")
		}
		return nil
	})
	if status, body := read(transport, "/op"); status != http.StatusNonAuthoritativeInfo || body != "newer" {
		t.Errorf("marked read of a peer with newer data: %d %q, want that with status 203", status, body)
	}
	if status, _ := read(transport, "/servers"); status == http.StatusOK || status == http.StatusNonAuthoritativeInfo {
		t.Errorf("read that no peer has cached got status %d, want a failure", status)
	}
}

// TestSlowResponseIsPreferredToCachedOne has a slow direct path and a peer that can
// only serve its cache.
func TestSlowResponseIsPreferredToCachedOne(t *testing.T) {
	var slow atomic.Bool
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if slow.Load() {
			time.Sleep(2 * hedgeDelay)
		}
		_, _ = io.WriteString(w, "rows")
	}))
	t.Cleanup(platform.Close)
	transport, _, peerDirect := newTransportWithPeer(t, platform)
	// The peer caches the rows and then gets only refusals.
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, platform.URL+"/rows", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(AllowStaleHeader, "1")
	transport.setDown(true)
	if response, err := transport.callViaPeers(request); err != nil || isCached(response) {
		t.Fatalf("first read through the peer: %v", err)
	}
	transport.setDown(false)
	peerDirect.refuse.Store(true)
	slow.Store(true)
	request.Header.Set(AllowStaleHeader, "1")
	response, err := transport.RoundTrip(request)
	if err != nil || isCached(response) {
		t.Fatalf("got %+v, %v, want the response of the slow direct path", response, err)
	}
	if transport.IsDirectDown() {
		t.Error("slow direct path is marked as down")
	}
}

// TestMarkIsNotSentToPlatform sends a marked read directly, and while the direct
// path is down and there are no peers.
func TestMarkIsNotSentToPlatform(t *testing.T) {
	var marked atomic.Int64
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(AllowStaleHeader) != "" {
			marked.Add(1)
		}
	}))
	t.Cleanup(platform.Close)
	node, err := Listen("127.0.0.1:0", strings.TrimPrefix(platform.URL, "http://"), http.DefaultTransport, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	transport := NewTransport(http.DefaultTransport, node, func() Peers { return Peers{} })
	for _, down := range []bool{false, true} {
		transport.setDown(down)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, platform.URL+"/op", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(AllowStaleHeader, "1")
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	if marked.Load() != 0 {
		t.Errorf("%d of 2 reads reached the platform with the header that marks them", marked.Load())
	}
}

// TestUnreachablePeersAddLittleLatency has a process that reaches only one of five
// peers, as one whose availability zone is partitioned from the others.
func TestUnreachablePeersAddLittleLatency(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for range 3 {
			transport, ownDirect, _ := newTransportWithPeer(t, platform)
			peers := transport.peers()
			for range 4 {
				peers.OtherZones = append(peers.OtherZones, unresponsiveAddress(t))
			}
			transport.peers = func() Peers { return peers }
			ownDirect.hang.Store(true)
			transport.setDown(true)
			start := time.Now()
			if _, err := send(t, transport, method, platform.URL+"/rows", "", 5*time.Second); err != nil {
				t.Errorf("%s: %v", method, err)
			}
			if took := time.Since(start); took > 1500*time.Millisecond {
				t.Errorf("%s took %v", method, took)
			}
		}
	}
}

// unresponsiveAddress returns a UDP address that accepts packets and never replies.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.LocalAddr().String()
}

// TestCallsStayWithPeerThatServes has the platform refuse the calls of the process
// and of two of three peers. Calls must find the third peer and stay with it.
func TestCallsStayWithPeerThatServes(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	host := strings.TrimPrefix(platform.URL, "http://")
	directs := make([]*faultyTransport, 4) // of the process itself and of its three peers
	nodes := make([]*Node, len(directs))
	for i := range directs {
		directs[i] = &faultyTransport{}
		node, err := Listen("127.0.0.1:0", host, directs[i], limits())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		nodes[i] = node
	}
	transport := NewTransport(directs[0], nodes[0], func() Peers {
		return Peers{SameZone: []string{nodes[1].Address()}, OtherZones: []string{nodes[2].Address(), nodes[3].Address()}}
	})
	for _, refused := range directs[:3] {
		refused.refuse.Store(true)
	}
	for i := range 20 {
		method := []string{http.MethodPost, http.MethodGet}[i%2]
		if got, err := send(t, transport, method, platform.URL+"/x", "", 2*time.Second); err != nil || got != "/x:" {
			t.Fatalf("call %d: %q, %v", i, got, err)
		}
	}
	if refusedCalls := directs[1].calls.Load() + directs[2].calls.Load(); refusedCalls > 2 {
		t.Errorf("the two refused peers got %d calls, want at most one each", refusedCalls)
	}
	directs[3].refuse.Store(true)
	directs[1].refuse.Store(false)
	if got, err := send(t, transport, http.MethodGet, platform.URL+"/x", "", 2*time.Second); err != nil || got != "/x:" {
		t.Errorf("call after the third peer is refused too: %q, %v", got, err)
	}
}

// slowTransport is a direct transport whose calls take a time.
type slowTransport struct{ delay time.Duration }

func (f slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(f.delay):
		return http.DefaultTransport.RoundTrip(request)
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// TestSlowDirectAnswerIsUsedWhilePeersHang guards against a read that ends late, or fails at
// its timeout, although the platform has answered it, because peers are tried meanwhile.
func TestSlowDirectAnswerIsUsedWhilePeersHang(t *testing.T) {
	var writes atomic.Int64
	platform := platformServer(t, &writes)
	viaPeer, _, peerDirect := newTransportWithPeer(t, platform)
	peerDirect.hang.Store(true) // for callTimeout
	direct := slowTransport{hedgeDelay + 150*time.Millisecond}
	node, err := Listen("127.0.0.1:0", strings.TrimPrefix(platform.URL, "http://"), direct, limits())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	transport := NewTransport(direct, node, viaPeer.peers)
	for i := range 2 {
		began := time.Now()
		got, err := send(t, transport, http.MethodGet, platform.URL+"/rows", "", 2*callTimeout)
		if took := time.Since(began); err != nil || got != "/rows:" || took >= callTimeout {
			t.Errorf("read %d: %q after %v, %v", i, got, took, err)
		}
	}
	if transport.IsDirectDown() {
		t.Error("the direct path counts as down")
	}
}
