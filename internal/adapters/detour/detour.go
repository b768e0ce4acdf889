// Package detour carries HTTP calls to the platform through another entry
// process while this one's own way to the platform is cut or refused.
//
// A call goes the direct way first. When that way fails, a peer is asked to
// make the call over QUIC, and as long as the direct way is down calls go to
// peers at once, while reads try it now and then. A call that changes something
// is sent a second time only if it surely was not carried out the first time.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"fescuespar/internal/lockrank"
)

const (
	// hedgeAfter is how long a read waits for the direct way before a peer is
	// asked too: ten times the store's usual time, which a slow store may take.
	hedgeAfter = 350 * time.Millisecond
	// probeEvery separates the tries of a direct way that is down.
	probeEvery = 500 * time.Millisecond
	// peersAsked bounds the peers that are asked for one call. In an outage all
	// fail, and each costs a call to the platform.
	peersAsked = 2
)

// Way is a transport that can go through peers. It is safe for concurrent use.
type Way struct {
	direct http.RoundTripper
	node   *Node
	peers  func() []string // addresses of the other entry processes

	// mu guards all fields below.
	mu      lockrank.Mutex
	down    bool
	probeAt time.Time
	cut     chan struct{} // closed when the direct way goes down
}

var _ http.RoundTripper = (*Way)(nil)

// NewWay returns a transport whose direct way is down until the first answer
// only if told so; peers returns whom to ask.
func NewWay(direct http.RoundTripper, node *Node, peers func() []string) *Way {
	return &Way{
		direct: direct, node: node, peers: peers,
		mu: lockrank.New(lockrank.RankAdapter), cut: make(chan struct{}),
	}
}

// Down reports whether the direct way is down.
func (w *Way) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *Way) set(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case down && !w.down:
		w.probeAt = time.Now().Add(probeEvery)
		close(w.cut)
	case !down && w.down:
		w.cut = make(chan struct{})
	}
	w.down = down
}

// untilCut returns a context that ends when the direct way goes down, so that a
// change on it does not hang for its whole time: its caller finds out through a
// peer what became of it.
func (w *Way) untilCut(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-cut:
			cancel(errCut)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

var errCut = errors.New("the direct way went down")

// probeDue reports whether the direct way is to be tried, at most once for each
// interval while it is down.
func (w *Way) probeDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.down || now.Before(w.probeAt) {
		return !w.down
	}
	w.probeAt = now.Add(probeEvery)
	return true
}

// RoundTrip implements http.RoundTripper.
func (w *Way) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		return w.read(request)
	}
	return w.change(request)
}

// change sends a call that changes something.
func (w *Way) change(request *http.Request) (*http.Response, error) {
	if w.Down() {
		return w.aside(request)
	}
	ctx, cancel := w.untilCut(request.Context())
	response, err := w.direct.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel()
	}
	switch {
	case err == nil && !refused(response):
		response.Body = &stoppingBody{response.Body, cancel}
		return response, nil
	case err == nil:
		if again, asideErr := w.aside(request); asideErr == nil && !refused(again) {
			w.set(true)
			discard(response)
			cancel()
			return again, nil
		} else if asideErr == nil {
			discard(again)
		}
		response.Body = &stoppingBody{response.Body, cancel}
		return response, nil
	default:
		if errors.Is(context.Cause(ctx), errCut) {
			return nil, errors.Join(errCut, err)
		}
		if !errors.Is(err, context.Canceled) {
			w.set(true)
		}
		return nil, err
	}
}

type answer struct {
	response *http.Response
	err      error
	direct   bool
}

func (a answer) good() bool { return a.err == nil && !refused(a.response) }

// read sends a read the direct way, and through a peer when that takes long or
// fails.
func (w *Way) read(request *http.Request) (*http.Response, error) {
	answers := make(chan answer, 2)
	waiting := 0
	send := func(direct bool) {
		waiting++
		go func() {
			if direct {
				response, err := w.direct.RoundTrip(request.Clone(request.Context()))
				answers <- answer{response, err, true}
				return
			}
			response, err := w.aside(request)
			answers <- answer{response, err, false}
		}()
	}
	straight := w.probeDue()
	if straight {
		send(true)
	}
	asked := !straight || w.Down()
	if asked {
		send(false)
	}
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	var last answer
	for waiting > 0 {
		select {
		case <-hedge.C:
			if !asked {
				asked = true
				send(false)
			}
			continue
		case last = <-answers:
		}
		waiting--
		w.learn(request.Context(), last)
		if last.good() {
			w.dropRest(answers, waiting)
			return last.response, nil
		}
		if !asked {
			asked = true
			send(false)
		}
		if waiting > 0 && last.err == nil {
			discard(last.response)
		}
	}
	return last.response, last.err
}

// learn takes what an answer tells of the direct way: a peer that answers while
// the direct way does not shows that the platform is there.
func (w *Way) learn(ctx context.Context, a answer) {
	switch {
	case a.direct && a.good():
		w.set(false)
	case a.direct && a.err != nil && !errors.Is(ctx.Err(), context.Canceled):
		w.set(true)
	case !a.direct && a.good():
		w.set(true)
	}
}

// dropRest closes the answers that are not used.
func (w *Way) dropRest(answers <-chan answer, waiting int) {
	if waiting == 0 {
		return
	}
	go func() {
		for range waiting {
			if a := <-answers; a.err == nil {
				if a.direct && a.good() {
					w.set(false)
				}
				discard(a.response)
			}
		}
	}()
}

var errNoPeer = errors.New("no peer can make the call")

// aside sends a call through a peer. It counts as sent once a peer has it.
func (w *Way) aside(request *http.Request) (*http.Response, error) {
	peers := w.peers()
	if len(peers) == 0 {
		return w.direct.RoundTrip(request)
	}
	var last error = errNoPeer
	first := rand.IntN(len(peers))
	for i := range min(peersAsked, len(peers)) {
		response, sent, err := w.node.call(request, peers[(first+i)%len(peers)])
		if sent {
			if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
				trace.GotConn(httptrace.GotConnInfo{})
			}
		}
		if err == nil {
			return response, nil
		}
		last = err
		if sent && request.Method != http.MethodGet {
			break
		}
	}
	return nil, last
}

// refused reports whether the platform says that it did nothing.
func refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

func discard(response *http.Response) { _ = response.Body.Close() }
