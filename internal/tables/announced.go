package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/lockrank"
)

// AnnouncedMembers holds the entry processes that publish a member row about
// themselves.
type AnnouncedMembers struct {
	// mu guards all fields below.
	mu   lockrank.Mutex
	view *announce.View
	live []core.Member // live members of view
}

// NewAnnouncedMembers returns a table without members.
func NewAnnouncedMembers() *AnnouncedMembers {
	return &AnnouncedMembers{mu: lockrank.New(lockrank.RankMembers), view: announce.NewView()}
}

// Observe applies the rows of all members, read at time now.
func (t *AnnouncedMembers) Observe(rows map[core.VMID]core.MemberRecord, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Observe(rows, now)
	t.live = t.view.Live()
}

// RateShares returns a process's shares of the rate limits that servers advertise.
func (t *AnnouncedMembers) RateShares(self core.VMID) (shares map[string]float64, others float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.RateShares(self)
}

// HasDemandGrown reports whether a process's demand has grown so much since it was
// announced that the next announcement should not wait.
func (t *AnnouncedMembers) HasDemandGrown(self core.VMID, now []core.ServiceDemand) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.HasDemandGrown(self, now)
}

// JobRoom returns the memory that the coordinator of a service has announced to have left
// for a job, false if it is not short of it.
func (t *AnnouncedMembers) JobRoom(service string) (bytes int64, isScarce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.JobRoom(service)
}

// ClockOffsets returns the clock offsets that the other processes have published, and the
// number of other processes.
func (t *AnnouncedMembers) ClockOffsets(self core.VMID) (offsets []time.Duration, processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.ClockOffsets(self)
}

// CountedThrough returns the last window of which all processes have written their counts,
// false if no process counts, and since when the members have been read without a longer
// gap.
func (t *AnnouncedMembers) CountedThrough(now time.Time) (through core.UsageWindow, found bool, readableSince time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	through, found = t.view.CountedThrough()
	return through, found, t.view.ReadableSince(now)
}

// Live returns the live members that are not leaving, sorted by VM. The result
// must not be changed.
func (t *AnnouncedMembers) Live() []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live
}
