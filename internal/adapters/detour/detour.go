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
	"net/http"
	"sync/atomic"
	"time"

	"fescuespar/internal/lockrank"
)

const (
	// hedgeAfter is how long a read waits for the direct way before a peer is
	// asked too: ten times the store's usual time, which a slow store may take.
	hedgeAfter = 350 * time.Millisecond
	// probeEvery separates the tries of a direct way that is down.
	probeEvery = 250 * time.Millisecond
	// probeTimeout bounds such a try.
	probeTimeout = time.Second
)

// RememberHeader, with any value, marks a read whose older answer is better than
// none. A peer that has no way to the platform either answers it with what it
// read last, and with the status 203. The platform never sees the header.
const RememberHeader = "X-Detour-Remember"

// Way is a transport that can go through peers. It is safe for concurrent use.
type Way struct {
	direct http.RoundTripper
	node   *Node
	peers  func() Peers

	blocked atomic.Bool // a copy of down that the node reads

	// mu guards all fields below.
	mu        lockrank.Mutex
	down      bool
	probeAt   time.Time
	preferred string        // peer that served last, empty for none
	cut       chan struct{} // closed when the direct way goes down
}

var _ http.RoundTripper = (*Way)(nil)

// NewWay returns a transport over a node's peers. The node makes no calls for
// peers while its own way is down.
func NewWay(direct http.RoundTripper, node *Node, peers func() Peers) *Way {
	way := &Way{
		direct: direct, node: node, peers: peers,
		mu: lockrank.New(lockrank.RankAdapter), cut: make(chan struct{}),
	}
	node.blocked.Store(&way.blocked)
	return way
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
	w.blocked.Store(down)
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

// probeDue reports whether the direct way, which is down, is to be tried now.
func (w *Way) probeDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.down || now.Before(w.probeAt) {
		return false
	}
	w.probeAt = now.Add(probeEvery)
	return true
}

// probe tries the direct way with a copy of a read, whose own answer does not
// wait for it.
func (w *Way) probe(request *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, err := w.node.straight(request.Clone(ctx))
	if err != nil {
		return
	}
	if !refused(response) {
		w.set(false)
	}
	discard(response)
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

func (a answer) good() bool { return a.err == nil && a.response != nil && !refused(a.response) }

// read sends a read the direct way, and through a peer when that takes long or
// fails. While the direct way is down it goes through a peer.
func (w *Way) read(request *http.Request) (*http.Response, error) {
	if w.Down() {
		if w.probeDue() {
			go w.probe(request)
		}
		return w.aside(request)
	}
	answers := make(chan answer, 2)
	go func() {
		response, err := w.node.straight(request.Clone(request.Context()))
		answers <- answer{response, err, true}
	}()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	var first answer
	select {
	case first = <-answers:
		if first.good() {
			return first.response, nil
		}
	case <-hedge.C:
	}
	aside, err := w.aside(request)
	second := answer{aside, err, false}
	if second.good() && !old(aside) {
		return aside, w.overtaken(answers, first)
	}
	if first == (answer{}) {
		first = <-answers
	}
	if first.err != nil && !errors.Is(first.err, context.Canceled) {
		w.set(true)
	}
	if second.good() && !first.good() {
		// What a peer remembers is better than nothing.
		if first.response != nil {
			discard(first.response)
		}
		return aside, nil
	}
	if err == nil {
		discard(aside)
	}
	return first.response, first.err
}

// old reports whether a peer only remembers an answer.
func old(response *http.Response) bool {
	return response.StatusCode == http.StatusNonAuthoritativeInfo
}

// overtaken notes that a peer has answered and the direct way has not, which
// shows that the platform is there and the way is not.
func (w *Way) overtaken(answers <-chan answer, first answer) error {
	if first == (answer{}) {
		select {
		case first = <-answers:
		default:
		}
	}
	if first.good() {
		discard(first.response)
		return nil
	}
	w.set(true)
	if first.response != nil {
		discard(first.response)
	}
	return nil
}

// better returns the better of two second-best answers: one that is remembered
// rather than a refusal.
func better(known, other *http.Response) *http.Response {
	if known == nil {
		return other
	}
	if refused(known) && old(other) {
		known, other = other, known
	}
	discard(other)
	return known
}

// refused reports whether the platform says that it did nothing.
func refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

func discard(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
