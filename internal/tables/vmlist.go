package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/vmlist"
	"fescuespar/internal/lockrank"
)

// VMList holds the newest VM list. In each round of reads a few processes read
// the list from the platform and the others ask one of them for changes.
type VMList struct {
	// mu guards all fields below.
	mu             lockrank.Mutex
	list           *vmlist.List
	entries        []core.VM // entry VMs of the list
	readerFailures uint32    // incremented when a reader fails to answer
	version        uint64    // incremented on every change of the list
}

// NewVMList returns a table without a list.
func NewVMList() *VMList {
	return &VMList{mu: lockrank.New(lockrank.RankVMList), list: vmlist.NewList()}
}

// SelectReader returns the member to ask for changes and the digest of this
// process's list, or false if this process must read the list from the
// platform.
func (t *VMList) SelectReader(self core.Member, live []core.Member) (reader core.Member, digest uint64, ask bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reader, ask = vmlist.SelectReader(self, live, t.readerFailures)
	return reader, t.list.Digest(), ask
}

// RecordReaderFailure records that the reader did not answer, so that
// SelectReader returns the next one.
func (t *VMList) RecordReaderFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readerFailures++
}

// ApplyList applies a list that was requested from the platform at the given
// time. It reports whether the list changed.
func (t *VMList) ApplyList(vms []core.VM, asked time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.list.ApplyList(vms, asked)
	t.updateEntries(changed)
	return changed
}

// ApplyChanges applies the changes that a reader sent; see vmlist.List.ApplyChanges.
func (t *VMList) ApplyChanges(changes core.VMListChanges, digest uint64, asked time.Time, maxAge time.Duration) (changed, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, ok = t.list.ApplyChanges(changes, digest, asked, maxAge)
	t.updateEntries(changed)
	return changed, ok
}

// updateEntries updates version and the entry VMs after a change of the list.
// The caller holds mu.
func (t *VMList) updateEntries(changed bool) {
	if !changed {
		return
	}
	t.version++
	t.entries = nil
	for _, vm := range t.list.VMs() {
		if vm.Kind == core.KindEntry {
			t.entries = append(t.entries, vm)
		}
	}
}

// ChangesSince returns the changes for a peer whose list has the given digest.
func (t *VMList) ChangesSince(digest uint64, now time.Time) core.VMListChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.ChangesSince(digest, now)
}

// VMs returns the newest list and its version in this process.
func (t *VMList) VMs() (vms []core.VM, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.VMs(), t.version
}

// IsNewest reports whether the list still has the given version.
func (t *VMList) IsNewest(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version == version
}

// Entries returns the entry VMs of the newest list. The slice must not be changed.
func (t *VMList) Entries() []core.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries
}
