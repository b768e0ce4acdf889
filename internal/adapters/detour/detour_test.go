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
)

// switched is a direct way that can be cut, as by a partition: calls hang until
// their context ends.
type switched struct {
	cut, refuse atomic.Bool
	calls       atomic.Int64
}

func (s *switched) RoundTrip(request *http.Request) (*http.Response, error) {
	s.calls.Add(1)
	if s.cut.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if s.refuse.Load() {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}}, nil
	}
	return http.DefaultTransport.RoundTrip(request)
}

// pair returns a way whose direct path can be cut, and one peer that reaches
// the platform.
func pair(t *testing.T, platform *httptest.Server) (*Way, *switched, *switched) {
	t.Helper()
	host := strings.TrimPrefix(platform.URL, "http://")
	own, others := &switched{}, &switched{}
	peer, err := Listen("127.0.0.1:0", host, others)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	node, err := Listen("127.0.0.1:0", host, own)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return NewWay(own, node, func() Peers { return Peers{Far: []string{peer.Address()}} }), own, others
}

func platformServer(t *testing.T, changes *atomic.Int64) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			changes.Add(1)
		}
		_, _ = io.WriteString(w, r.URL.Path+":"+string(body))
	}))
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, way *Way, method, url, body string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := way.RoundTrip(request)
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

func TestReadsGoThroughAPeerWhileTheWayIsCut(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, _ := pair(t, platform)
	own.cut.Store(true)
	for i := range 3 {
		if got, err := send(t, way, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil || got != "/rows:" {
			t.Fatalf("read %d: %q, %v", i, got, err)
		}
	}
	if !way.Down() {
		t.Error("the direct way does not count as down")
	}
	if got, err := send(t, way, http.MethodPost, platform.URL+"/tx", "x", 2*time.Second); err != nil || got != "/tx:x" {
		t.Errorf("a change while the way is down: %q, %v", got, err)
	}
	own.cut.Store(false)
	deadline := time.Now().Add(5 * time.Second)
	for way.Down() && time.Now().Before(deadline) {
		if _, err := send(t, way, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if way.Down() {
		t.Error("the direct way stays down after the cut")
	}
}

// TestAChangeIsNotRepeatedWhenItMayHaveBeenMade cuts the way while a change is
// on it: the caller must learn that its outcome is unknown.
func TestAChangeIsNotRepeatedWhenItMayHaveBeenMade(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, others := pair(t, platform)
	own.cut.Store(true)
	if _, err := send(t, way, http.MethodPost, platform.URL+"/tx", "x", 300*time.Millisecond); err == nil {
		t.Error("a change that hung gave an answer")
	}
	if others.calls.Load() != 0 || changes.Load() != 0 {
		t.Errorf("the peer made %d calls, the platform took %d changes", others.calls.Load(), changes.Load())
	}
}

func TestARefusedChangeGoesThroughAPeer(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, _ := pair(t, platform)
	own.refuse.Store(true)
	if got, err := send(t, way, http.MethodPost, platform.URL+"/tx", "x", 2*time.Second); err != nil || got != "/tx:x" {
		t.Errorf("got %q, %v", got, err)
	}
	if changes.Load() != 1 {
		t.Errorf("%d changes, want 1", changes.Load())
	}
}

func TestAnOutageOfAllIsAnError(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, others := pair(t, platform)
	own.cut.Store(true)
	others.cut.Store(true)
	if _, err := send(t, way, http.MethodGet, platform.URL+"/rows", "", time.Second); err == nil {
		t.Error("a read gave an answer in an outage of all")
	}
}

// TestAHangingChangeEndsOnceTheWayIsKnownToBeDown begins a change just before a
// read finds that the way is cut.
func TestAHangingChangeEndsOnceTheWayIsKnownToBeDown(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, _ := pair(t, platform)
	own.cut.Store(true)
	ended := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		_, _ = send(t, way, http.MethodPost, platform.URL+"/tx", "x", 10*time.Second)
		ended <- time.Since(began)
	}()
	for own.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := send(t, way, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the change hangs although the way is known to be down")
	}
}

// TestLargeChangesGoThroughAPeer sends as much as a transaction may hold.
func TestLargeChangesGoThroughAPeer(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	way, own, _ := pair(t, platform)
	own.cut.Store(true)
	if _, err := send(t, way, http.MethodGet, platform.URL+"/rows", "", 2*time.Second); err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("x", 900<<10)
	if got, err := send(t, way, http.MethodPost, platform.URL+"/tx", body, 2*time.Second); err != nil || len(got) < len(body) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}

// TestAPeerRemembersMarkedReadsInAnOutage begins a process while nobody reaches
// the platform: it learns what a peer read before, and is told that it is old.
func TestAPeerRemembersMarkedReadsInAnOutage(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	host := strings.TrimPrefix(platform.URL, "http://")
	older, newborn := &switched{}, &switched{}
	peer, err := Listen("127.0.0.1:0", host, older)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	before := NewWay(older, peer, func() Peers { return Peers{} })
	node, err := Listen("127.0.0.1:0", host, newborn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	way := NewWay(newborn, node, func() Peers { return Peers{Far: []string{peer.Address()}} })
	read := func(way *Way, path string) (int, string) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, platform.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(RememberHeader, "1")
		response, err := way.RoundTrip(request)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	if status, body := read(before, "/op"); status != http.StatusOK || body != "/op:" {
		t.Fatalf("before the outage: %d %q", status, body)
	}
	older.refuse.Store(true)
	newborn.refuse.Store(true)
	if status, body := read(way, "/op"); status != http.StatusNonAuthoritativeInfo || body != "/op:" {
		t.Errorf("in the outage: %d %q, want what the peer read before, as such", status, body)
	}
	if status, _ := read(way, "/servers"); status == http.StatusOK || status == http.StatusNonAuthoritativeInfo {
		t.Errorf("what nobody has read is answered with %d", status)
	}
}

// TestASlowAnswerIsBetterThanAnOldOne asks a peer without a way while the own
// way is only slow.
func TestASlowAnswerIsBetterThanAnOldOne(t *testing.T) {
	var slow atomic.Bool
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if slow.Load() {
			time.Sleep(2 * hedgeAfter)
		}
		_, _ = io.WriteString(w, "rows")
	}))
	t.Cleanup(platform.Close)
	way, _, others := pair(t, platform)
	// The peer remembers the rows and then loses its way.
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, platform.URL+"/rows", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(RememberHeader, "1")
	way.set(true)
	if response, err := way.aside(request); err != nil || old(response) {
		t.Fatalf("the peer's first read: %v", err)
	}
	way.set(false)
	others.refuse.Store(true)
	slow.Store(true)
	request.Header.Set(RememberHeader, "1")
	response, err := way.RoundTrip(request)
	if err != nil || old(response) {
		t.Fatalf("got %+v, %v, want the slow answer", response, err)
	}
	if way.Down() {
		t.Error("a slow way counts as down")
	}
}

// TestThePlatformNeverSeesTheMark sends a marked read straight, and while the
// way is down with nobody to ask.
func TestThePlatformNeverSeesTheMark(t *testing.T) {
	var marked atomic.Int64
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(RememberHeader) != "" {
			marked.Add(1)
		}
	}))
	t.Cleanup(platform.Close)
	node, err := Listen("127.0.0.1:0", strings.TrimPrefix(platform.URL, "http://"), http.DefaultTransport)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	way := NewWay(http.DefaultTransport, node, func() Peers { return Peers{} })
	for _, down := range []bool{false, true} {
		way.set(down)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, platform.URL+"/op", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(RememberHeader, "1")
		response, err := way.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	if marked.Load() != 0 {
		t.Errorf("%d of 2 reads reached the platform with the mark", marked.Load())
	}
}

// TestCallsStayWithAPeerThatServes turns the process and two of three peers
// away: calls must find the third, and then stay with it.
// TestPeersOutOfReachCostLittle has a process that reaches few of its peers, as
// one that is cut from other availability zones too.
func TestPeersOutOfReachCostLittle(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for range 3 {
			way, own, _ := pair(t, platform)
			peers := way.peers()
			for range 4 {
				peers.Far = append(peers.Far, silent(t))
			}
			way.peers = func() Peers { return peers }
			own.cut.Store(true)
			way.set(true)
			began := time.Now()
			if _, err := send(t, way, method, platform.URL+"/rows", "", 5*time.Second); err != nil {
				t.Errorf("%s: %v", method, err)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("%s took %v", method, took)
			}
		}
	}
}

// silent returns an address that takes packets and never answers.
func silent(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.LocalAddr().String()
}

func TestCallsStayWithAPeerThatServes(t *testing.T) {
	var changes atomic.Int64
	platform := platformServer(t, &changes)
	host := strings.TrimPrefix(platform.URL, "http://")
	links := make([]*switched, 4) // of the process itself and its peers
	nodes := make([]*Node, len(links))
	for i := range links {
		links[i] = &switched{}
		node, err := Listen("127.0.0.1:0", host, links[i])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		nodes[i] = node
	}
	way := NewWay(links[0], nodes[0], func() Peers {
		return Peers{Near: []string{nodes[1].Address()}, Far: []string{nodes[2].Address(), nodes[3].Address()}}
	})
	for _, turnedAway := range links[:3] {
		turnedAway.refuse.Store(true)
	}
	for i := range 20 {
		method := []string{http.MethodPost, http.MethodGet}[i%2]
		if got, err := send(t, way, method, platform.URL+"/x", "", 2*time.Second); err != nil || got != "/x:" {
			t.Fatalf("call %d: %q, %v", i, got, err)
		}
	}
	if asked := links[1].calls.Load() + links[2].calls.Load(); asked > 2 {
		t.Errorf("peers that are turned away were asked %d times, want once each at most", asked)
	}
	links[3].refuse.Store(true)
	links[1].refuse.Store(false)
	if got, err := send(t, way, http.MethodGet, platform.URL+"/x", "", 2*time.Second); err != nil || got != "/x:" {
		t.Errorf("after the peer is turned away as well: %q, %v", got, err)
	}
}
