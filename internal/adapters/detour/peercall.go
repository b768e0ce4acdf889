package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"
)

const (
	// maxPeersTried bounds the peers that are tried for one call. Half of another
	// availability zone may be unreachable, and a third of the peers may have no
	// direct path to the platform either.
	maxPeersTried = 6
	// dialStagger is the time after which the next peer is dialed while earlier
	// dials are pending. It covers several round trips between regions.
	dialStagger = 150 * time.Millisecond
)

// Peers holds the host:port addresses of the other entry processes.
type Peers struct {
	SameZone   []string // in the same availability zone
	OtherZones []string // in other availability zones
}

var errNoPeer = errors.New("no peer could make the call")

// errMayBeMade marks the error of a write that a peer may have made.
var errMayBeMade = errors.New("a peer may have made the call")

// callViaPeers makes a call through a peer, or directly if there are no peers. The
// call counts as sent once it was written to a peer. A refusal of the platform or
// a cached response of a peer is returned only if no other peer has a better one.
func (t *Transport) callViaPeers(request *http.Request) (*http.Response, error) {
	peers := t.peerOrder(t.peers())
	if len(peers) == 0 {
		return t.node.callDirect(request.Clone(request.Context()))
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	dialer := &peerDialer{transport: t, ctx: ctx, untried: peers, dialed: make(chan dialResult, len(peers))}
	if request.Method == http.MethodGet {
		return t.readViaPeers(request, dialer)
	}
	return t.writeViaPeers(request, dialer)
}

// writeViaPeers sends a write through one peer after the other until one of them
// may have carried it out.
func (t *Transport) writeViaPeers(request *http.Request, dialer *peerDialer) (*http.Response, error) {
	var fallback *http.Response // refusal or cached response, nil for none
	for {
		peer, ok := dialer.next()
		if !ok {
			return fallback, dialer.failure(fallback)
		}
		response, sent, err := t.callPeer(request, peer)
		switch {
		case err == nil && !isRefusal(response):
			closeBody(fallback)
			return response, nil
		case err == nil:
			fallback = preferCached(fallback, response)
		case sent:
			closeBody(fallback)
			return nil, errors.Join(errMayBeMade, err)
		default:
			dialer.lastErr = err
		}
	}
}

// peerResult is the result of a read through one peer.
type peerResult struct {
	response *http.Response
	err      error
	cancel   context.CancelFunc
}

// readViaPeers sends a read through a peer, and through one more whenever
// hedgeDelay passes without a response or all earlier ones have failed.
func (t *Transport) readViaPeers(request *http.Request, dialer *peerDialer) (*http.Response, error) {
	results := make(chan peerResult, maxPeersTried)
	var cancels []context.CancelFunc
	sendNext := func() {
		if peer, ok := dialer.next(); ok {
			ctx, cancel := context.WithCancel(request.Context())
			cancels = append(cancels, cancel)
			go func() {
				response, _, err := t.callPeer(request.WithContext(ctx), peer)
				results <- peerResult{response, err, cancel}
			}()
		}
	}
	sendNext()
	var fallback *http.Response // refusal or cached response, nil for none
	for ended := 0; ended < len(cancels); {
		hedge := time.NewTimer(hedgeDelay)
		select {
		case result := <-results:
			ended++
			if result.err == nil {
				result.response.Body = &bodyWithCleanup{result.response.Body, result.cancel}
			}
			if result.err == nil && !isRefusal(result.response) && !isCached(result.response) {
				go discardRemaining(results, len(cancels)-ended)
				closeBody(fallback)
				return result.response, nil
			}
			if result.err == nil {
				fallback = preferCached(fallback, result.response)
			} else {
				result.cancel()
				dialer.lastErr = result.err
			}
			if ended == len(cancels) {
				sendNext()
			}
		case <-hedge.C:
			sendNext()
		}
		hedge.Stop()
	}
	return fallback, dialer.failure(fallback)
}

// discardRemaining receives count results that are no longer needed and releases
// their resources.
func discardRemaining(results <-chan peerResult, count int) {
	for range count {
		result := <-results
		closeBody(result.response)
		result.cancel()
	}
}

// callPeer makes a call through one peer and updates the preferred peer. sent tells
// whether the peer may have made the call.
func (t *Transport) callPeer(request *http.Request, peer string) (response *http.Response, sent bool, err error) {
	response, sent, err = t.node.callVia(request, peer)
	if sent {
		if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
			trace.GotConn(httptrace.GotConnInfo{})
		}
	}
	switch {
	case err == nil && !isRefusal(response) && !isCached(response):
		t.setPreferred(peer)
	case !errors.Is(request.Context().Err(), context.Canceled):
		t.clearPreferred(peer)
	}
	return response, sent, err
}

// peerDialer dials peers in order until one accepts a connection. It is used by
// one goroutine.
type peerDialer struct {
	transport *Transport
	ctx       context.Context
	untried   []string
	dialed    chan dialResult
	dialing   int   // dials in progress
	lastErr   error // why the most recent peer failed
}

type dialResult struct {
	peer string
	err  error
}

// next returns the next peer that is connected, or false if there is none left or
// the context ended. It dials one more peer after each dialStagger.
func (s *peerDialer) next() (string, bool) {
	stagger := time.NewTicker(dialStagger)
	defer stagger.Stop()
	for {
		if s.dialing == 0 && !s.dial() {
			return "", false
		}
		select {
		case d := <-s.dialed:
			s.dialing--
			if d.err == nil {
				return d.peer, true
			}
			s.lastErr = d.err
			s.transport.clearPreferred(d.peer)
		case <-stagger.C:
			s.dial()
		case <-s.ctx.Done():
			s.lastErr = s.ctx.Err()
			return "", false
		}
	}
}

// dial starts to dial the next untried peer. It returns false if none is left.
func (s *peerDialer) dial() bool {
	if len(s.untried) == 0 {
		return false
	}
	peer := s.untried[0]
	s.untried = s.untried[1:]
	s.dialing++
	go func() {
		_, err := s.transport.node.connect(s.ctx, peer)
		s.dialed <- dialResult{peer, err}
	}()
	return true
}

// failure returns why no peer made the call, or nil if there is a fallback.
func (s *peerDialer) failure(fallback *http.Response) error {
	switch {
	case fallback != nil:
		return nil
	case s.lastErr != nil:
		return s.lastErr
	default:
		return errNoPeer
	}
}

// peerOrder returns the peers to try: the one that served the last call, then
// others in random order, alternating between near and far ones. Preferring one
// peer avoids a handshake with another one for each call.
func (t *Transport) peerOrder(peers Peers) []string {
	t.mu.Lock()
	preferred := t.preferred
	t.mu.Unlock()
	var order []string
	if slices.Contains(peers.SameZone, preferred) || slices.Contains(peers.OtherZones, preferred) {
		order = append(order, preferred)
	}
	near, far := rand.Perm(len(peers.SameZone)), rand.Perm(len(peers.OtherZones))
	for i := range max(len(near), len(far)) {
		if i < len(near) && peers.SameZone[near[i]] != preferred {
			order = append(order, peers.SameZone[near[i]])
		}
		if i < len(far) && peers.OtherZones[far[i]] != preferred {
			order = append(order, peers.OtherZones[far[i]])
		}
	}
	return order[:min(len(order), maxPeersTried)]
}

func (t *Transport) setPreferred(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.preferred = peer
}

func (t *Transport) clearPreferred(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.preferred == peer {
		t.preferred = ""
	}
}
