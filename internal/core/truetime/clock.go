package truetime

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// agreementWait is the time after a process has first read the other processes from which it
// goes by the offsets that it knows, although most have not published any. All processes of
// a fleet that starts together publish theirs within two announcements.
const agreementWait = 5 * time.Second

// Clock is true time as one process knows it. It is not safe for concurrent use.
type Clock struct {
	store     StoreClock
	own       timeOfDay
	others    []time.Duration // offsets published by other processes
	members   int             // live other processes
	readSince time.Time       // when the other processes were first read
	agreed    time.Duration
	hasAgreed bool
}

// New returns a clock that has read nothing yet.
func New() *Clock { return new(Clock) }

// ObserveStore adds a reading of the store's clock.
func (c *Clock) ObserveStore(t core.StoreTime) {
	c.store.Observe(t)
	c.updateAgreed(t.Received)
}

// ObserveTimeOfDay adds a reading of the VM's time of day, taken at a time of the
// process's clock. It reports whether the time of day is that of a jump which is not
// followed, and whether it was before.
func (c *Clock) ObserveTimeOfDay(now, timeOfDay time.Time) (jumped, hadJumped bool) {
	store, known := c.store.Offset(now)
	var confirmed time.Duration
	if known = known && len(c.others) > 0; known {
		confirmed, known = agree(c.others, c.agreed, c.hasAgreed)
		confirmed += store
	}
	hadJumped = c.own.jumped
	c.own.observe(timeOfDay.Sub(now), confirmed, known)
	c.updateAgreed(now)
	return c.own.jumped, hadJumped
}

// SetOthers sets the offsets that other processes have published, and the number of
// other processes that are live.
func (c *Clock) SetOthers(offsets []time.Duration, members int, now time.Time) {
	c.others, c.members = offsets, members
	if c.readSince.IsZero() {
		c.readSince = now
	}
	c.updateAgreed(now)
}

// Measured returns the offset that this process publishes: its VM's time of day minus
// the store's clock.
func (c *Clock) Measured(now time.Time) (time.Duration, bool) {
	store, known := c.store.Offset(now)
	return c.own.followed - store, known && c.own.known
}

// updateAgreed sets the agreed offset from those of most processes, or of all that are
// known if the others have published none for long.
func (c *Clock) updateAgreed(now time.Time) {
	if c.readSince.IsZero() {
		return
	}
	offsets := slices.Clone(c.others)
	if measured, known := c.Measured(now); known {
		offsets = append(offsets, measured)
	}
	if len(offsets) == 0 {
		return
	}
	isMost := 2*len(offsets) > c.members+1
	agreed, isClear := agree(offsets, c.agreed, c.hasAgreed)
	if !isClear && len(c.others) > 0 {
		// The others have run for longer and have followed no jump since.
		agreed, isClear = agree(c.others, c.agreed, c.hasAgreed)
	}
	if isMost && isClear || now.Sub(c.readSince) >= agreementWait {
		c.agreed, c.hasAgreed = agreed, true
	}
}

// Agreed returns true time minus the store's clock, and false while too few processes
// have published an offset.
func (c *Clock) Agreed() (time.Duration, bool) { return c.agreed, c.hasAgreed }

// At returns true time at a time of the process's clock, and false while it is not
// known.
func (c *Clock) At(now time.Time) (time.Time, bool) {
	store, known := c.store.Offset(now)
	agreed, isAgreed := c.Agreed()
	if !known || !isAgreed {
		return time.Time{}, false
	}
	return now.Add(store + agreed).Round(0), true
}
