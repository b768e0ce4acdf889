package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/vmlist"
	"fescuespar/internal/lockrank"
)

// VMList is the shared table of the newest VM list.
type VMList struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	book    *vmlist.Book
	entries []core.VM // entry VMs of the list
	turn    uint32    // grows when a reader fails to answer
	version uint64    // grows with every change of the list
}

// NewVMList returns a table without a list.
func NewVMList() *VMList {
	return &VMList{mu: lockrank.New(lockrank.RankVMList), book: vmlist.NewBook()}
}

// Source returns the member to ask and the digest to name, or false when the
// process is to read the list for itself.
func (t *VMList) Source(self core.Member, live []core.Member) (reader core.Member, digest uint64, ask bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reader, ask = vmlist.Source(self, live, t.turn)
	return reader, t.book.Digest(), ask
}

// Failed has the next reader asked the next time.
func (t *VMList) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
}

// Read takes a list that was asked for at a time. It returns whether it differs.
func (t *VMList) Read(vms []core.VM, asked time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.book.Read(vms, asked)
	t.keepEntries(changed)
	return changed
}

// Take applies a reader's news; see vmlist.Book.Take.
func (t *VMList) Take(news core.VMNews, digest uint64, asked time.Time, maxAge time.Duration) (changed, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, ok = t.book.Take(news, digest, asked, maxAge)
	t.keepEntries(changed)
	return changed, ok
}

// keepEntries copies the list's entry VMs after a change.
func (t *VMList) keepEntries(changed bool) {
	if !changed {
		return
	}
	t.version++
	t.entries = nil
	for _, vm := range t.book.VMs() {
		if vm.Kind == core.KindEntry {
			t.entries = append(t.entries, vm)
		}
	}
}

// News tells a peer what changed since the list with a digest.
func (t *VMList) News(digest uint64, now time.Time) core.VMNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.News(digest, now)
}

// VMs returns the newest list and its version in this process.
func (t *VMList) VMs() (vms []core.VM, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.VMs(), t.version
}

// IsNewest reports whether the list has a version still.
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
