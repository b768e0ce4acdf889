package workers

import (
	"context"
	"sync"

	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Call is one outbound call. It may block until its context ends.
type Call func(ctx context.Context)

// Lane bounds the outbound calls in flight to one kind of remote service, so
// that a slow service blocks neither the pool nor the other lanes. Its
// goroutines start on demand, up to the limit, and end when no call waits.
type Lane struct {
	name       string
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu guards all fields below.
	mu      lockrank.Mutex
	waiting []Call
	running int
	limit   int // maximum number of calls in flight
	backlog int // maximum number of waiting calls
	closed  bool
}

// NewLane returns a lane for at most limit calls in flight and backlog calls
// waiting. The name appears in errors.
func NewLane(name string, limit, backlog int) *Lane {
	ctx, cancel := context.WithCancel(context.Background())
	return &Lane{
		name: name, ctx: ctx, cancel: cancel, limit: limit, backlog: backlog,
		mu: lockrank.New(lockrank.RankQueue),
	}
}

// Go runs a call in the background as soon as fewer than limit calls are in
// flight. Errors: Overloaded when the backlog is full, ShuttingDown after Stop.
func (l *Lane) Go(call Call) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return errkind.New(errkind.ShuttingDown, "lane %s is stopped", l.name)
	case l.running < l.limit:
		l.running++
		l.goroutines.Add(1)
		go l.run(call)
		return nil
	case len(l.waiting) < l.backlog:
		l.waiting = append(l.waiting, call)
		return nil
	default:
		return errkind.New(errkind.Overloaded, "lane %s is full: %d calls in flight, %d waiting", l.name, l.running, len(l.waiting))
	}
}

// Cancel refuses further calls and cancels the contexts of those in flight and
// waiting.
func (l *Lane) Cancel() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
}

// Stop does what Cancel does and waits until all calls have returned.
func (l *Lane) Stop() {
	l.Cancel()
	l.goroutines.Wait()
}

// LaneState is a lane's part of the state dump.
type LaneState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// State returns the numbers of calls in flight and waiting.
func (l *Lane) State() LaneState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LaneState{Running: l.running, Waiting: len(l.waiting)}
}

// run makes calls until none waits.
func (l *Lane) run(call Call) {
	defer l.goroutines.Done()
	for call != nil {
		call(l.ctx)
		call = l.next()
	}
}

// next removes and returns the first waiting call. If none waits, it returns
// nil and the calling goroutine no longer counts as running.
func (l *Lane) next() Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.running--
		return nil
	}
	call := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	return call
}
