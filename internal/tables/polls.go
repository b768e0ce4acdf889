package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/polling"
	"fescuespar/internal/lockrank"
)

// Polls holds which engines this process polls for status reports.
type Polls struct {
	// mu guards plan.
	mu   lockrank.Mutex
	plan *polling.Plan
}

// NewPolls returns the table of a process that knows no engines.
func NewPolls(self core.Member, policy polling.Policy) *Polls {
	return &Polls{mu: lockrank.New(lockrank.RankPolls), plan: polling.NewPlan(self.VM, self.Region, policy)}
}

// ApplyVMs applies a VM list and returns the engines that are polled from now on.
func (t *Polls) ApplyVMs(vms []core.VM) map[core.ServerID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.ApplyVMs(vms)
	return t.plan.PolledEngines()
}

// SetCoordinated sets how many deployments of each service this process coordinates.
// It returns the engines that are polled from now on, or false if they are the
// same as before.
func (t *Polls) SetCoordinated(deployments map[string]int, now time.Time) (polled map[core.ServerID]bool, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.plan.SetCoordinated(deployments, now) {
		return nil, false
	}
	return t.plan.PolledEngines(), true
}

// Polled returns the engines that are polled.
func (t *Polls) Polled() map[core.ServerID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.PolledEngines()
}

// CoordinatedSince returns when this process began to coordinate deployments of
// a service, and false if it coordinates none.
func (t *Polls) CoordinatedSince(service string) (since time.Time, coordinated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.CoordinatedSince(service)
}

// PollFasterUntil polls a service's engines as often as possible until the
// given time.
func (t *Polls) PollFasterUntil(service string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.PollFasterUntil(service, until)
}

// SetProcesses sets the number of entry processes, including this one.
func (t *Polls) SetProcesses(processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.SetProcesses(processes)
}

// Due returns the polls to send now.
func (t *Polls) Due(now time.Time) []polling.Poll {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.DuePolls(now)
}

// EndPoll records the end of a poll. cursor is where the next poll continues, zero
// if this one failed.
func (t *Polls) EndPoll(id core.ServerID, cursor uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.PollEnded(id, cursor)
}
