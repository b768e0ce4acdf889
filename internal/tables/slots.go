package tables

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

const (
	// slotHeadroom is how many requests may be in flight to a service for each slot of its
	// servers. The excess waits at the servers, so that one that ends a request has the next
	// at once: a round trip to another zone takes an eighth of a short request.
	slotHeadroom = 1.25
	// sampleDivisor: an account must be served at least a quarter as often as all requests
	// are, and a third leaves room for chance.
	sampleDivisor = 3
)

// SlotKind is a kind of request to one service. Streams, which hold a slot for their whole
// length, are counted apart from calls.
type SlotKind struct {
	Service string
	Stream  bool
}

// compare orders kinds by service, calls first.
func (k SlotKind) compare(other SlotKind) int {
	if k.Stream != other.Stream && k.Service == other.Service {
		if k.Stream {
			return 1
		}
		return -1
	}
	return cmp.Compare(k.Service, other.Service)
}

// SlotWait identifies a request that waits for a slot.
type SlotWait struct {
	kind SlotKind
	wait admission.Wait
}

// Until returns the time at which the wait must end.
func (w SlotWait) Until() time.Time { return w.wait.Until }

// slotRow is the state of one kind of request.
type slotRow struct {
	admission.Gate[AdmissionCallback]
	shortAt  time.Time // when a request last found no slot
	shortage Shortage  // the one that has been reported; zero for none
	short    uint64    // requests that found no slot
}

// Slots holds the requests to each service that are in flight and waiting for a slot of
// its servers.
type Slots struct {
	capacity int // requests that the process may hold, in flight and waiting

	// mu guards all fields below.
	mu       lockrank.Mutex
	rows     map[SlotKind]*slotRow
	services map[string]int // slots of each service's live servers; none means that there is no bound
	held     int            // requests in flight and waiting
}

// NewSlots returns a table without requests that holds at most capacity of them.
func NewSlots(capacity int) *Slots {
	return &Slots{
		capacity: capacity, mu: lockrank.New(lockrank.RankSlots),
		rows: make(map[SlotKind]*slotRow), services: make(map[string]int),
	}
}

// Acquire takes a slot for a request if one is free and no other request waits for it.
// Release must be called once after true.
func (t *Slots) Acquire(kind SlotKind, class core.Class, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(kind)
	if !t.mayHold(row) || !row.TryStart(class, now) {
		return false
	}
	t.held++
	return true
}

// Wait queues a request for which Acquire found no slot. Its payload is called later, unless
// Cancel ends the wait. If a slot has become free it returns true, as Acquire does. Errors:
// Overloaded if the process holds too many requests, DeadlineTooShort if no slot can become
// free in time.
func (t *Slots) Wait(kind SlotKind, request *admission.Request[AdmissionCallback], now time.Time) (SlotWait, bool, error) {
	started, evicted, err := t.admit(kind, request, now)
	if evicted != nil {
		evicted(errkind.New(errkind.Overloaded, "request to %s gave its place in the queue to one of another caller or route and was not run", kind.Service))
	}
	return SlotWait{kind, request.Wait}, started, err
}

func (t *Slots) admit(kind SlotKind, request *admission.Request[AdmissionCallback], now time.Time) (started bool, evicted AdmissionCallback, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(kind)
	row.shortAt = now
	row.short++
	isFull := !t.mayHold(row)
	if isFull && row.Waiting(request.Class) == 0 {
		return false, nil, t.errFull(kind, row)
	}
	started, err = row.Admit(request, now)
	switch {
	case err != nil:
		return false, nil, err
	case !isFull || started:
		t.held++
		return started, nil, nil
	}
	evicted, isOther := row.EvictFor(request)
	if !isOther {
		return false, nil, t.errFull(kind, row)
	}
	return false, evicted, nil
}

func (t *Slots) mayHold(row *slotRow) bool {
	return admission.MayHold(row.Held(), t.held, t.capacity)
}

func (t *Slots) errFull(kind SlotKind, row *slotRow) error {
	return errkind.New(errkind.Overloaded, "%d requests to %s and %d in all are held, no more fit", row.Held(), kind.Service, t.held)
}

// Release ends a request that was in flight for the duration held, or zero if that says
// nothing about others, and starts the waiting requests that have a slot now.
func (t *Slots) Release(kind SlotKind, class core.Class, held time.Duration, now time.Time) {
	for _, ready := range t.release(kind, class, held, now) {
		ready(nil)
	}
}

func (t *Slots) release(kind SlotKind, class core.Class, held time.Duration, now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(kind)
	t.held--
	if held > 0 {
		row.Release(class, held)
	} else {
		row.Abandon(class)
	}
	return dequeueReady(row, now)
}

// Cancel ends a wait. It returns false if the request no longer waits.
func (t *Slots) Cancel(wait SlotWait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[wait.kind]
	if row == nil {
		return false
	}
	_, found := row.Cancel(wait.wait)
	if found {
		t.held--
	}
	return found
}

// RefuseWaiting ends all waits with an error.
func (t *Slots) RefuseWaiting(err error) {
	for _, refused := range t.removeWaiting() {
		refused(err)
	}
}

func (t *Slots) removeWaiting() []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waiting []AdmissionCallback
	for _, row := range t.rows {
		waiting = row.RemoveWaiting(waiting)
	}
	t.held -= len(waiting)
	return waiting
}

// SetServices sets the slots of the live servers of each service and starts the waiting
// requests that have a slot now.
func (t *Slots) SetServices(slots map[string]int, now time.Time) {
	for _, ready := range t.setServices(slots, now) {
		ready(nil)
	}
}

func (t *Slots) setServices(slots map[string]int, now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = slots
	var ready []AdmissionCallback
	for kind, row := range t.rows {
		if slots[kind.Service] == 0 && row.Held() == 0 {
			delete(t.rows, kind)
			continue
		}
		t.updateBounds(kind, row)
		ready = append(ready, dequeueReady(row, now)...)
	}
	return ready
}

// RolloutRoom returns how many more calls of class rollout may be submitted to each service
// with known slots. Each of them gets a slot at once, or as soon as interactive requests
// leave rollouts their share.
func (t *Slots) RolloutRoom(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	room := make(map[string]int, len(t.services))
	for service := range t.services {
		room[service] = t.row(SlotKind{Service: service}).RolloutRoom(now)
	}
	return room
}

// SlotState is one kind's part of the state dump.
type SlotState struct {
	Service string              `json:"service"`
	Stream  bool                `json:"stream"`
	Slots   int                 `json:"slots"` // of the service's live servers; zero if unknown
	Short   uint64              `json:"short"` // requests that found no slot since the start
	Gate    admission.GateState `json:"gate"`
}

// State returns the state of each kind, sorted by service.
func (t *Slots) State() []SlotState {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := make([]SlotKind, 0, len(t.rows))
	for kind := range t.rows {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, SlotKind.compare)
	states := make([]SlotState, 0, len(kinds))
	for _, kind := range kinds {
		states = append(states, SlotState{Service: kind.Service, Stream: kind.Stream, Slots: t.services[kind.Service], Short: t.rows[kind].short, Gate: t.rows[kind].State()})
	}
	return states
}

// Held returns the number of requests in flight and waiting.
func (t *Slots) Held() (inFlight, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		waiting += row.Held() - row.InFlight()
	}
	return t.held - waiting, waiting
}

// row returns the state of a kind, added if needed. The caller holds mu.
func (t *Slots) row(kind SlotKind) *slotRow {
	row := t.rows[kind]
	if row == nil {
		row = &slotRow{Gate: *admission.NewGate[AdmissionCallback](admission.Bounds{})}
		t.updateBounds(kind, row)
		t.rows[kind] = row
	}
	return row
}

// updateBounds sets a gate's bounds from the slots of its service. Without a live server
// there is no bound: routing refuses the requests. The caller holds mu.
func (t *Slots) updateBounds(kind SlotKind, row *slotRow) {
	concurrent := t.capacity
	if slots := t.services[kind.Service]; slots > 0 {
		concurrent = min(concurrent, int(math.Ceil(slotHeadroom*float64(slots))))
	}
	row.SetBounds(admission.Bounds{
		Concurrent: concurrent, QueueLength: t.capacity, QueueTimeout: maxSlotWait, SampleDivisor: sampleDivisor,
	})
}

// maxSlotWait bounds a wait beside the request's deadline, which is the earlier of its
// caller's and its route's.
const maxSlotWait = time.Hour

// dequeueReady returns the callbacks of a gate's requests that may start now. The caller
// holds the table's lock.
func dequeueReady(row *slotRow, now time.Time) []AdmissionCallback {
	var ready []AdmissionCallback
	for next, _, found := row.Dequeue(now); found; next, _, found = row.Dequeue(now) {
		ready = append(ready, next)
	}
	return ready
}
