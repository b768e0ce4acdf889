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
	// peersAsked bounds the peers that are tried for one call: half of another
	// availability zone may be out of reach, and a third have no way either.
	peersAsked = 6
	// reachAfter is how long a connection to one peer is awaited before another
	// one is tried beside it: several trips between regions.
	reachAfter = 150 * time.Millisecond
)

// Peers are the addresses of the other entry processes.
type Peers struct {
	Near []string // in the same availability zone
	Far  []string
}

var errNoPeer = errors.New("no peer can make the call")

// aside sends a call through a peer. It counts as sent once a peer has it. A
// peer that is turned away too, or only remembers an answer, is passed over
// while there are others.
func (w *Way) aside(request *http.Request) (*http.Response, error) {
	peers := w.inOrder(w.peers())
	if len(peers) == 0 {
		return w.node.straight(request.Clone(request.Context()))
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	found := &search{way: w, ctx: ctx, untried: peers, dialled: make(chan dialled, len(peers))}
	if request.Method == http.MethodGet {
		return w.readAside(request, found)
	}
	return w.changeAside(request, found)
}

// changeAside sends a change through one peer after the other, up to the first
// that may have made it.
func (w *Way) changeAside(request *http.Request, found *search) (*http.Response, error) {
	var second *http.Response // better than none
	for {
		peer, ok := found.next()
		if !ok {
			return second, found.failure(second)
		}
		response, sent, err := w.ask(request, peer)
		switch {
		case err == nil && !refused(response):
			discard(second)
			return response, nil
		case err == nil:
			second = better(second, response)
		case sent:
			discard(second)
			return nil, err
		default:
			found.last = err
		}
	}
}

// peerAnswer is what a peer answered to a read.
type peerAnswer struct {
	response *http.Response
	err      error
	cancel   context.CancelFunc
}

// readAside sends a read through a peer, and through another one too when that
// takes long.
func (w *Way) readAside(request *http.Request, found *search) (*http.Response, error) {
	answers := make(chan peerAnswer, peersAsked)
	var cancels []context.CancelFunc
	more := func() {
		if peer, ok := found.next(); ok {
			ctx, cancel := context.WithCancel(request.Context())
			cancels = append(cancels, cancel)
			go func() {
				response, _, err := w.ask(request.WithContext(ctx), peer)
				answers <- peerAnswer{response, err, cancel}
			}()
		}
	}
	more()
	var second *http.Response // better than none
	for ended := 0; ended < len(cancels); {
		hedge := time.NewTimer(hedgeAfter)
		select {
		case answer := <-answers:
			ended++
			if answer.err == nil {
				answer.response.Body = &stoppingBody{answer.response.Body, answer.cancel}
			}
			if answer.err == nil && !refused(answer.response) && !old(answer.response) {
				go discardRest(answers, len(cancels)-ended)
				discard(second)
				return answer.response, nil
			}
			if answer.err == nil {
				second = better(second, answer.response)
			} else {
				answer.cancel()
				found.last = answer.err
			}
			if ended == len(cancels) {
				more()
			}
		case <-hedge.C:
			more()
		}
		hedge.Stop()
	}
	return second, found.failure(second)
}

// discardRest ends calls whose answers came too late to be needed.
func discardRest(answers <-chan peerAnswer, count int) {
	for range count {
		answer := <-answers
		discard(answer.response)
		answer.cancel()
	}
}

// ask sends a call to one peer and learns from the answer which peer to prefer.
func (w *Way) ask(request *http.Request, peer string) (response *http.Response, sent bool, err error) {
	response, sent, err = w.node.call(request, peer)
	if sent {
		if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
			trace.GotConn(httptrace.GotConnInfo{})
		}
	}
	switch {
	case err == nil && !refused(response) && !old(response):
		w.prefer(peer)
	case !errors.Is(request.Context().Err(), context.Canceled):
		w.passOver(peer)
	}
	return response, sent, err
}

// search looks for peers that can be reached.
type search struct {
	way     *Way
	ctx     context.Context
	untried []string
	dialled chan dialled
	open    int   // dials in progress
	last    error // why the last peer was of no use
}

type dialled struct {
	peer string
	err  error
}

// next returns the next peer to which there is a connection, false when there
// is none left. While one is awaited for long others are tried beside it.
func (s *search) next() (string, bool) {
	stagger := time.NewTicker(reachAfter)
	defer stagger.Stop()
	for {
		if s.open == 0 && !s.dial() {
			return "", false
		}
		select {
		case d := <-s.dialled:
			s.open--
			if d.err == nil {
				return d.peer, true
			}
			s.last = d.err
			s.way.passOver(d.peer)
		case <-stagger.C:
			s.dial()
		case <-s.ctx.Done():
			s.last = s.ctx.Err()
			return "", false
		}
	}
}

// dial begins a connection to the next peer. It returns false if none is left.
func (s *search) dial() bool {
	if len(s.untried) == 0 {
		return false
	}
	peer := s.untried[0]
	s.untried = s.untried[1:]
	s.open++
	go func() {
		_, err := s.way.node.connect(s.ctx, peer)
		s.dialled <- dialled{peer, err}
	}()
	return true
}

// failure returns why no peer served, nil when there is a second-best answer.
func (s *search) failure(second *http.Response) error {
	switch {
	case second != nil:
		return nil
	case s.last != nil:
		return s.last
	default:
		return errNoPeer
	}
}

// inOrder returns the peers to ask: the one that served last, then others at
// random, near and far ones in turn. To stay with one spares a handshake with
// another for each call.
func (w *Way) inOrder(peers Peers) []string {
	w.mu.Lock()
	preferred := w.preferred
	w.mu.Unlock()
	var order []string
	if slices.Contains(peers.Near, preferred) || slices.Contains(peers.Far, preferred) {
		order = append(order, preferred)
	}
	near, far := rand.Perm(len(peers.Near)), rand.Perm(len(peers.Far))
	for i := range max(len(near), len(far)) {
		if i < len(near) && peers.Near[near[i]] != preferred {
			order = append(order, peers.Near[near[i]])
		}
		if i < len(far) && peers.Far[far[i]] != preferred {
			order = append(order, peers.Far[far[i]])
		}
	}
	return order[:min(len(order), peersAsked)]
}

func (w *Way) prefer(peer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.preferred = peer
}

func (w *Way) passOver(peer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.preferred == peer {
		w.preferred = ""
	}
}
