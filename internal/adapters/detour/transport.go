// Package detour sends HTTP calls to the platform through another entry process
// while the direct path of this one is down or its calls are refused.
//
// A call is made directly first. If that fails, a peer is asked over QUIC to make
// it. While the direct path is down, calls go to peers immediately and reads
// probe the direct path at intervals. A write is sent again only if it was
// certainly not carried out the first time.
package detour

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"fescuespar/internal/lockrank"
)

const (
	// hedgeDelay is how long a read waits for a response before it is also sent
	// through a peer. It is ten times the usual response time of the platform,
	// which a slow platform may need.
	hedgeDelay = 350 * time.Millisecond
	// probeInterval separates probes of a direct path that is down.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

// AllowStaleHeader, with any value, marks a read that accepts a stale response if
// the platform cannot be reached. A peer whose own call fails replies with the
// response that it cached last and status 203. The header is never sent to the
// platform.
const AllowStaleHeader = "X-Detour-Remember"

// Transport is an http.RoundTripper for calls to the platform that falls back
// to peers. It is safe for concurrent use.
type Transport struct {
	direct http.RoundTripper
	node   *Node
	peers  func() Peers

	directDown atomic.Bool // copy of down that the node reads without mu

	// mu guards all fields below.
	mu        lockrank.Mutex
	down      bool
	probeAt   time.Time
	preferred string        // peer that served the last call, empty for none
	wentDown  chan struct{} // closed when the direct path goes down
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that makes calls with direct, or through the
// peers that peers returns. The node makes no calls for peers while the direct
// path is down.
func NewTransport(direct http.RoundTripper, node *Node, peers func() Peers) *Transport {
	transport := &Transport{
		direct: direct, node: node, peers: peers,
		mu: lockrank.New(lockrank.RankAdapter), wentDown: make(chan struct{}),
	}
	node.directDown.Store(&transport.directDown)
	return transport
}

// IsDirectDown reports whether the direct path counts as down.
func (t *Transport) IsDirectDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

func (t *Transport) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directDown.Store(down)
	switch {
	case down && !t.down:
		t.probeAt = time.Now().Add(probeInterval)
		close(t.wentDown)
	case !down && t.down:
		t.wentDown = make(chan struct{})
	}
	t.down = down
}

// withDownCancel returns a context that is canceled when the direct path goes
// down. A write in progress then fails early instead of at its timeout, and its
// caller can find out through a peer whether it was carried out.
func (t *Transport) withDownCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	wentDown := t.wentDown
	t.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-wentDown:
			cancel(errDirectDown)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

var errDirectDown = errors.New("direct path to the platform is down")

// probeDue reports whether the direct path is down and due for a probe. If so, it
// schedules the next probe.
func (t *Transport) probeDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.down || now.Before(t.probeAt) {
		return false
	}
	t.probeAt = now.Add(probeInterval)
	return true
}

// probe makes a copy of a read directly and marks the direct path as up if the
// platform does not refuse it. The read itself does not wait for the probe.
func (t *Transport) probe(request *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, err := t.node.callDirect(request.Clone(ctx))
	if err != nil {
		return
	}
	if !isRefusal(response) {
		t.setDown(false)
	}
	closeBody(response)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		return t.read(request)
	}
	return t.write(request)
}

// write sends a call that may change the state of the platform.
func (t *Transport) write(request *http.Request) (*http.Response, error) {
	if t.IsDirectDown() {
		return t.callViaPeers(request)
	}
	ctx, cancel := t.withDownCancel(request.Context())
	response, err := t.direct.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel()
	}
	switch {
	case err == nil && !isRefusal(response):
		response.Body = &bodyWithCleanup{response.Body, cancel}
		return response, nil
	case err == nil:
		response.Body = &bodyWithCleanup{response.Body, cancel}
		return t.retryRefusedWrite(request, response)
	default:
		if errors.Is(context.Cause(ctx), errDirectDown) {
			return nil, errors.Join(errDirectDown, err)
		}
		if !errors.Is(err, context.Canceled) {
			t.setDown(true)
		}
		return nil, err
	}
}

// retryRefusedWrite sends a write that the platform refused through peers. It returns
// the refusal only if no peer may have made the call.
func (t *Transport) retryRefusedWrite(request *http.Request, refusal *http.Response) (*http.Response, error) {
	if peers := t.peers(); len(peers.SameZone)+len(peers.OtherZones) == 0 {
		return refusal, nil
	}
	retried, err := t.callViaPeers(request)
	switch {
	case errors.Is(err, errMayBeMade):
		closeBody(refusal)
		return nil, err
	case err != nil:
		return refusal, nil
	case isRefusal(retried):
		closeBody(retried)
		return refusal, nil
	}
	t.setDown(true)
	closeBody(refusal)
	return retried, nil
}

// readResult is the result of a read on one path.
type readResult struct {
	response *http.Response
	err      error
	direct   bool
}

// isUsable reports whether the call succeeded and was not refused.
func (r readResult) isUsable() bool {
	return r.err == nil && r.response != nil && !isRefusal(r.response)
}

// read sends a read directly, and also through peers if that fails or takes longer
// than hedgeDelay. While the direct path is down, it uses peers only.
func (t *Transport) read(request *http.Request) (*http.Response, error) {
	if t.IsDirectDown() {
		if t.probeDue() {
			go t.probe(request)
		}
		return t.callViaPeers(request)
	}
	results := make(chan readResult, 2)
	go func() {
		response, err := t.node.callDirect(request.Clone(request.Context()))
		results <- readResult{response, err, true}
	}()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	var direct readResult
	select {
	case direct = <-results:
		if direct.isUsable() {
			return direct.response, nil
		}
	case <-hedge.C:
	}
	return t.readOnBothPaths(request, direct, results)
}

// readOnBothPaths sends a read through peers beside the direct one, whose result is either
// known or yet to come, and returns the first usable response of the platform.
func (t *Transport) readOnBothPaths(request *http.Request, direct readResult, results <-chan readResult) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	peerResults := make(chan readResult, 1)
	go func() {
		response, err := t.callViaPeers(request.WithContext(ctx))
		if err == nil {
			response.Body = &bodyWithCleanup{response.Body, cancel}
		} else {
			cancel()
		}
		peerResults <- readResult{response, err, false}
	}()
	var viaPeer readResult
	for viaPeer == (readResult{}) {
		select {
		case direct = <-results:
			if direct.isUsable() {
				cancel()
				go func() { closeBody((<-peerResults).response) }()
				return direct.response, nil
			}
		case viaPeer = <-peerResults:
		}
	}
	if viaPeer.isUsable() && !isCached(viaPeer.response) {
		return viaPeer.response, t.resolveDirect(results, direct)
	}
	if direct == (readResult{}) {
		direct = <-results
	}
	if direct.err != nil && !errors.Is(direct.err, context.Canceled) {
		t.setDown(true)
	}
	if viaPeer.isUsable() && !direct.isUsable() {
		// A response that a peer has cached is better than none.
		closeBody(direct.response)
		return viaPeer.response, nil
	}
	closeBody(viaPeer.response)
	return direct.response, direct.err
}

// isCached reports whether the response comes from the cache of a peer.
func isCached(response *http.Response) bool {
	return response.StatusCode == http.StatusNonAuthoritativeInfo
}

// resolveDirect handles a direct read that a peer has answered first. Unless the
// direct read has succeeded by now, it marks the direct path as down, because the
// response of the peer shows that the platform is up.
func (t *Transport) resolveDirect(results <-chan readResult, direct readResult) error {
	if direct == (readResult{}) {
		select {
		case direct = <-results:
		default:
		}
	}
	if direct.isUsable() {
		closeBody(direct.response)
		return nil
	}
	t.setDown(true)
	if direct.response != nil {
		closeBody(direct.response)
	}
	return nil
}

// preferCached returns one of two fallback responses, a cached one rather than a
// refusal, and closes the other.
func preferCached(known, other *http.Response) *http.Response {
	if known == nil {
		return other
	}
	if isRefusal(known) && isCached(other) {
		known, other = other, known
	}
	closeBody(other)
	return known
}

// isRefusal reports whether the platform declined a call without carrying it out.
func isRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
