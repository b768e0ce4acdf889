package workers

import (
	"context"
	"sync"

	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Call is one call to the outside. It may block until its context ends.
type Call func(ctx context.Context)

// Lane bounds the calls in flight to one kind of outside thing, so that a slow
// one occupies neither the pool nor the other lanes. Its goroutines start on
// demand, up to the limit, and end when there is nothing to do.
type Lane struct {
	name string
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	// mu guards all fields below.
	mu      lockrank.Mutex
	waiting []Call
	running int
	limit   int // calls in flight
	backlog int // calls waiting
	closed  bool
}

// NewLane returns a lane for at most limit calls in flight and backlog waiting.
func NewLane(name string, limit, backlog int) *Lane {
	ctx, stop := context.WithCancel(context.Background())
	return &Lane{
		name: name, ctx: ctx, stop: stop, limit: limit, backlog: backlog,
		mu: lockrank.New(lockrank.RankQueue),
	}
}

// Go runs a call as soon as the lane has room. Errors: Overloaded when the
// backlog is full, ShuttingDown after Stop.
func (l *Lane) Go(call Call) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return errkind.New(errkind.ShuttingDown, "lane %s has stopped", l.name)
	case l.running < l.limit:
		l.running++
		l.done.Add(1)
		go l.run(call)
		return nil
	case len(l.waiting) < l.backlog:
		l.waiting = append(l.waiting, call)
		return nil
	default:
		return errkind.New(errkind.Overloaded, "lane %s is full", l.name)
	}
}

// Stop refuses further calls, cancels those in flight and waits for them.
func (l *Lane) Stop() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stop()
	l.done.Wait()
}

// LaneState is a lane's part of the state dump.
type LaneState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// State returns the lane's counters.
func (l *Lane) State() LaneState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LaneState{Running: l.running, Waiting: len(l.waiting)}
}

func (l *Lane) run(call Call) {
	defer l.done.Done()
	for call != nil {
		call(l.ctx)
		call = l.next()
	}
}

// next takes a waiting call, or gives the goroutine's place back.
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
