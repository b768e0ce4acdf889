// Package workers runs the service's work: a fixed pool of workers takes short
// steps from bounded queues, lanes bound the calls to the outside, and timers
// put steps into the queues when they are due.
//
// A step never blocks on I/O; it hands the I/O to a Lane, whose completion
// enqueues the next step. All waiting is on a condition, channel or timer.
package workers

import (
	"sync"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Step is a short piece of work that does no I/O.
type Step func()

// Pool runs steps on a fixed number of workers, the most urgent class first.
type Pool struct {
	wake *sync.Cond // on mu
	done sync.WaitGroup

	// mu guards all fields below.
	mu      lockrank.Mutex
	queues  [core.ClassCount][]Step
	limit   int
	stopped bool
	ran     uint64
	refused uint64
}

// NewPool starts a pool of the given number of workers. Each class's queue
// holds at most limit steps.
func NewPool(workers, limit int) *Pool {
	p := &Pool{mu: lockrank.New(lockrank.RankQueue), limit: limit}
	p.wake = sync.NewCond(&p.mu)
	p.done.Add(workers)
	for range workers {
		go p.work()
	}
	return p
}

// Enqueue adds a step to its class's queue. Errors: Overloaded when the queue
// is full, ShuttingDown after Stop.
func (p *Pool) Enqueue(class core.Class, step Step) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errkind.New(errkind.ShuttingDown, "the worker pool has stopped")
	}
	if len(p.queues[class]) >= p.limit {
		p.refused++
		return errkind.New(errkind.Overloaded, "the queue for class %s is full", class)
	}
	p.queues[class] = append(p.queues[class], step)
	p.wake.Signal()
	return nil
}

// MustEnqueue adds a step that continues work already accepted; it ignores the
// queue's limit, which bounded the work when it was accepted. After Stop the
// step is dropped.
func (p *Pool) MustEnqueue(class core.Class, step Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.queues[class] = append(p.queues[class], step)
	p.wake.Signal()
}

// Stop runs the steps that are queued, then ends the workers.
func (p *Pool) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.wake.Broadcast()
	p.mu.Unlock()
	p.done.Wait()
}

// PoolState is a pool's part of the state dump.
type PoolState struct {
	Queued  map[string]int `json:"queued"`
	Ran     uint64         `json:"ran"`
	Refused uint64         `json:"refused"`
}

// State returns the pool's counters and queue lengths.
func (p *Pool) State() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := PoolState{Queued: make(map[string]int), Ran: p.ran, Refused: p.refused}
	for class := range p.queues {
		state.Queued[core.Class(class).String()] = len(p.queues[class])
	}
	return state
}

func (p *Pool) work() {
	defer p.done.Done()
	for {
		step, ok := p.dequeue()
		if !ok {
			return
		}
		step()
	}
}

// dequeue waits for a step. It returns false when the pool has stopped and its
// queues are empty.
func (p *Pool) dequeue() (Step, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for class := range p.queues {
			if len(p.queues[class]) > 0 {
				step := p.queues[class][0]
				p.queues[class][0] = nil
				p.queues[class] = p.queues[class][1:]
				p.ran++
				return step, true
			}
		}
		if p.stopped {
			return nil, false
		}
		p.wake.Wait()
	}
}
