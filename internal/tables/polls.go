package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/polling"
	"fescuespar/internal/lockrank"
)

// Polls holds which engines this process asks for reports.
type Polls struct {
	// mu guards plan.
	mu   lockrank.Mutex
	plan *polling.Plan
}

// NewPolls returns the table of a process that knows no engines.
func NewPolls(self core.Member, policy polling.Policy) *Polls {
	return &Polls{mu: lockrank.New(lockrank.RankPolls), plan: polling.New(self.VM, self.Region, policy)}
}

// ApplyVMs takes a VM list and returns the engines that are polled from now on.
func (t *Polls) ApplyVMs(vms []core.VM) map[core.ServerID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.ApplyVMs(vms)
	return t.plan.Polled()
}

// Coordinate tells how many deployments of each service this process
// coordinates. It returns the engines that are polled from now on, and false
// when they are the same as before.
func (t *Polls) Coordinate(deployments map[string]int, now time.Time) (polled map[core.ServerID]bool, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.plan.Coordinate(deployments, now) {
		return nil, false
	}
	return t.plan.Polled(), true
}

// Polled returns the engines that are polled.
func (t *Polls) Polled() map[core.ServerID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.Polled()
}

// CoordinatedSince returns since when this process has coordinated deployments
// of a service, and false when it does not.
func (t *Polls) CoordinatedSince(service string) (since time.Time, coordinated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.CoordinatedSince(service)
}

// Hasten has a service's engines polled as often as possible until a time.
func (t *Polls) Hasten(service string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.Hasten(service, until)
}

// SetProcesses tells how many entry processes there are, this one included.
func (t *Polls) SetProcesses(processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.SetProcesses(processes)
}

// Due returns the engines to be asked now.
func (t *Polls) Due(now time.Time) []polling.Poll {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.Due(now)
}

// Ended tells that a poll ended, with the next cursor or zero when it failed.
func (t *Polls) Ended(id core.ServerID, cursor uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.Ended(id, cursor)
}
