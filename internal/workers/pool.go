// Package workers runs the service's work: a fixed pool of workers runs short
// steps from bounded queues, lanes bound the outbound calls, and timers enqueue
// steps when they are due.
//
// A step never blocks on I/O: it passes the I/O to a Lane, and the completed
// call enqueues the next step. All waiting is on a condition variable, channel
// or timer.
package workers

import (
	"sync"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Step is a short piece of work that does no I/O.
type Step func()

// Pool runs steps on a fixed number of worker goroutines. Steps of a more urgent
// class run first, those of one class in the order in which they were enqueued.
type Pool struct {
	queued     *sync.Cond // on mu; signaled when a step is queued or the pool is stopped
	goroutines sync.WaitGroup

	// mu guards all fields below.
	mu      lockrank.Mutex
	queues  [core.ClassCount][]Step
	limit   int // steps in each class's queue
	stopped bool
	ran     uint64 // steps started
	refused uint64 // steps refused because a queue was full
}

// NewPool starts a pool of the given number of workers. Each class's queue
// holds at most limit steps.
func NewPool(workers, limit int) *Pool {
	p := &Pool{mu: lockrank.New(lockrank.RankQueue), limit: limit}
	p.queued = sync.NewCond(&p.mu)
	p.goroutines.Add(workers)
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
		return errkind.New(errkind.ShuttingDown, "worker pool is stopped")
	}
	if len(p.queues[class]) >= p.limit {
		p.refused++
		return errkind.New(errkind.Overloaded, "worker queue of class %s is full: %d steps", class, p.limit)
	}
	p.queues[class] = append(p.queues[class], step)
	p.queued.Signal()
	return nil
}

// MustEnqueue adds a step that continues accepted work. It ignores the queue's
// limit, which applied when the work was accepted. After Stop it drops the step.
func (p *Pool) MustEnqueue(class core.Class, step Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.queues[class] = append(p.queues[class], step)
	p.queued.Signal()
}

// Stop runs the queued steps and then stops the workers. It returns when all
// have stopped.
func (p *Pool) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.queued.Broadcast()
	p.mu.Unlock()
	p.goroutines.Wait()
}

// PoolState is a pool's part of the state dump.
type PoolState struct {
	Queued  map[string]int `json:"queued"`
	Ran     uint64         `json:"ran"`
	Refused uint64         `json:"refused"`
}

// State returns the counters and queue lengths.
func (p *Pool) State() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := PoolState{Queued: make(map[string]int), Ran: p.ran, Refused: p.refused}
	for class := range p.queues {
		state.Queued[core.Class(class).String()] = len(p.queues[class])
	}
	return state
}

// work runs steps until the pool is stopped and its queues are empty.
func (p *Pool) work() {
	defer p.goroutines.Done()
	for {
		step, ok := p.dequeue()
		if !ok {
			return
		}
		step()
	}
}

// dequeue waits for a step and removes it. It returns false when the pool is
// stopped and its queues are empty.
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
		p.queued.Wait()
	}
}
