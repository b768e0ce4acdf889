package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/truetime"
	"fescuespar/internal/lockrank"
)

// TrueTime holds what this process knows of true time.
type TrueTime struct {
	// mu guards clock.
	mu    lockrank.Mutex
	clock *truetime.Clock
}

// NewTrueTime returns a table that knows nothing yet.
func NewTrueTime() *TrueTime {
	return &TrueTime{mu: lockrank.New(lockrank.RankTrueTime), clock: truetime.New()}
}

// ObserveStore adds a reading of the store's clock.
func (t *TrueTime) ObserveStore(reading core.StoreTime) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.ObserveStore(reading)
}

// ObserveTimeOfDay adds a reading of the VM's time of day, taken at time now. It reports
// whether the time of day is that of a jump which is not followed, and whether it was
// before.
func (t *TrueTime) ObserveTimeOfDay(now, timeOfDay time.Time) (jumped, hadJumped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.ObserveTimeOfDay(now, timeOfDay)
}

// SetOthers sets the offsets that other processes have published, and the number of other
// processes.
func (t *TrueTime) SetOthers(offsets []time.Duration, processes int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.SetOthers(offsets, processes, now)
}

// Measured returns the offset that this process publishes.
func (t *TrueTime) Measured(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Measured(now)
}

// Agreed returns the offset that is in force in this process.
func (t *TrueTime) Agreed() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Agreed()
}

// Conversion returns the conversion of times of the process's clock to true time as known
// now, and false while true time is not known.
func (t *TrueTime) Conversion(now time.Time) (func(time.Time) time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trueTime, known := t.clock.At(now)
	difference := trueTime.Sub(now)
	return func(at time.Time) time.Time { return at.Add(difference).Round(0) }, known
}
