package truetime

import (
	"time"

	"fescuespar/internal/core"
)

// agreementWait is the time after the start of a process from which it goes by the offsets
// that it knows, although most processes have not published any. All processes of a fleet
// that starts together publish theirs within two announcements.
const agreementWait = 5 * time.Second

// Clock is true time as one process knows it. It is not safe for concurrent use.
type Clock struct {
	started     time.Time
	store       StoreClock
	own         timeOfDay
	others      []time.Duration // offsets published by other processes
	members     int             // live other processes
	membersRead bool
	agreed      time.Duration
	hasAgreed   bool
}

// New returns a clock of a process that started at a time.
func New(started time.Time) *Clock { return &Clock{started: started} }

// ObserveStore adds a reading of the store's clock.
func (c *Clock) ObserveStore(t core.StoreTime) {
	c.store.Observe(t)
	c.updateAgreed(t.Received)
}

// ObserveTimeOfDay adds a reading of the VM's time of day, taken at a time of the
// process's clock.
func (c *Clock) ObserveTimeOfDay(now, timeOfDay time.Time) {
	store, known := c.store.Offset(now)
	var confirmed time.Duration
	if known = known && len(c.others) > 0; known {
		confirmed = store + agree(c.others, c.agreed, c.hasAgreed)
	}
	c.own.observe(timeOfDay.Sub(now), confirmed, known)
	c.updateAgreed(now)
}

// SetOthers sets the offsets that other processes have published, and the number of
// other processes that are live.
func (c *Clock) SetOthers(offsets []time.Duration, members int, now time.Time) {
	c.others, c.members, c.membersRead = offsets, members, true
	c.updateAgreed(now)
}

// Measured returns the offset that this process publishes: its VM's time of day minus
// the store's clock.
func (c *Clock) Measured(now time.Time) (time.Duration, bool) {
	store, known := c.store.Offset(now)
	return c.own.followed - store, known && c.own.known
}

func (c *Clock) updateAgreed(now time.Time) {
	offsets := append([]time.Duration(nil), c.others...)
	if measured, known := c.Measured(now); known {
		offsets = append(offsets, measured)
	}
	if len(offsets) == 0 {
		return
	}
	c.agreed, c.hasAgreed = agree(offsets, c.agreed, c.hasAgreed), true
}

// Agreed returns true time minus the store's clock, and false while too few processes
// have published an offset.
func (c *Clock) Agreed(now time.Time) (time.Duration, bool) {
	isAgreement := c.membersRead && 2*len(c.others) >= c.members
	return c.agreed, c.hasAgreed && (isAgreement || now.Sub(c.started) >= agreementWait)
}

// At returns true time at a time of the process's clock, and false while it is not
// known.
func (c *Clock) At(now time.Time) (time.Time, bool) {
	store, known := c.store.Offset(now)
	agreed, isAgreed := c.Agreed(now)
	if !known || !isAgreed {
		return time.Time{}, false
	}
	return now.Add(store + agreed).Round(0), true
}
