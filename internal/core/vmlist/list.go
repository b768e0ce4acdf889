package vmlist

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// listChange records which VMs differ between a list and the next one.
type listChange struct {
	from uint64 // digest of the list before the change
	vms  []core.ServerID
}

// List is the newest VM list of a process, with its recent changes.
type List struct {
	vms        map[core.ServerID]core.VM
	digest     uint64
	readAt     time.Time    // start of the platform read that returned the list; zero before the first list
	history    []listChange // oldest first
	historyVMs int          // total number of VMs in history
}

// NewList returns the state of a process before its first list.
func NewList() *List { return &List{vms: make(map[core.ServerID]core.VM)} }

// Digest returns the digest of the list, zero for an empty one.
func (l *List) Digest() uint64 { return l.digest }

// ApplyList replaces the list by one that the process read from the platform. The
// time is that of the start of the read. It returns whether the list differs
// from the previous one, true for the first list. If the list contains a VM
// twice, the first entry counts. A list older than the present one is ignored.
func (l *List) ApplyList(vms []core.VM, readAt time.Time) (changed bool) {
	if readAt.Before(l.readAt) {
		return false
	}
	isFirst := l.readAt.IsZero()
	listed := make(map[core.ServerID]core.VM, len(vms))
	var differs []core.ServerID
	digest := uint64(0)
	for _, vm := range vms {
		if _, twice := listed[vm.ID]; twice {
			continue
		}
		listed[vm.ID] = vm
		digest ^= vmDigest(&vm)
		if before, known := l.vms[vm.ID]; !known || before != vm {
			differs = append(differs, vm.ID)
		}
	}
	for id := range l.vms {
		if _, known := listed[id]; !known {
			differs = append(differs, id)
		}
	}
	l.recordChange(differs)
	l.vms, l.digest, l.readAt = listed, digest, readAt
	return isFirst || len(differs) > 0
}

// recordChange adds the change from the present list to the history and removes
// the oldest changes beyond the limits.
func (l *List) recordChange(differs []core.ServerID) {
	if len(differs) == 0 {
		return
	}
	l.history = append(l.history, listChange{from: l.digest, vms: differs})
	l.historyVMs += len(differs)
	for len(l.history) > 0 && (len(l.history) > maxHistoryLists || l.historyVMs > maxHistoryVMs) {
		l.historyVMs -= len(l.history[0].vms)
		l.history = slices.Delete(l.history, 0, 1)
	}
}

// ChangesSince returns the changes since the list with a digest, for a process
// that has that list. Known is false when the digest is not in the history.
func (l *List) ChangesSince(digest uint64, now time.Time) core.VMListChanges {
	if l.readAt.IsZero() {
		return core.VMListChanges{}
	}
	changes := core.VMListChanges{Known: true, Digest: l.digest, Age: max(0, now.Sub(l.readAt))}
	if digest == l.digest {
		return changes
	}
	start := slices.IndexFunc(l.history, func(c listChange) bool { return c.from == digest })
	if start < 0 {
		return core.VMListChanges{}
	}
	added := make(map[core.ServerID]bool)
	for _, c := range l.history[start:] {
		for _, id := range c.vms {
			if added[id] {
				continue
			}
			added[id] = true
			if vm, listed := l.vms[id]; listed {
				changes.Listed = append(changes.Listed, vm)
			} else {
				changes.Removed = append(changes.Removed, id)
			}
		}
	}
	return changes
}

// ApplyChanges applies the changes that a reader returned for a request with
// the given digest, sent at the given time. It returns whether the list
// changed. It returns false for ok and leaves the receiver unchanged when the
// changes are not usable: the reader's list is unknown or too old, the
// process's list has changed since the request, or the result does not have the
// reader's digest.
func (l *List) ApplyChanges(changes core.VMListChanges, requestDigest uint64, requestedAt time.Time, maxAge time.Duration) (changed, ok bool) {
	readAt := requestedAt.Add(-changes.Age)
	if !changes.Known || changes.Age > maxAge || requestDigest != l.digest || l.readAt.IsZero() {
		return false, false
	}
	digest := l.digest
	toggle := func(vm core.VM, listed bool) {
		if listed {
			digest ^= vmDigest(&vm)
		}
	}
	for _, vm := range changes.Listed {
		before, listed := l.vms[vm.ID]
		toggle(before, listed)
		toggle(vm, true)
	}
	for _, id := range changes.Removed {
		before, listed := l.vms[id]
		toggle(before, listed)
	}
	if digest != changes.Digest {
		return false, false
	}
	l.applyVerified(changes)
	if readAt.After(l.readAt) {
		l.readAt = readAt
	}
	return len(changes.Listed)+len(changes.Removed) > 0, true
}

// applyVerified applies changes whose resulting digest was checked.
func (l *List) applyVerified(changes core.VMListChanges) {
	var differs []core.ServerID
	for _, vm := range changes.Listed {
		differs = append(differs, vm.ID)
	}
	l.recordChange(append(differs, changes.Removed...))
	for _, vm := range changes.Listed {
		l.vms[vm.ID] = vm
	}
	for _, id := range changes.Removed {
		delete(l.vms, id)
	}
	l.digest = changes.Digest
}

// VMs returns the list, sorted by ID.
func (l *List) VMs() []core.VM {
	vms := make([]core.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b core.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}

// vmDigest returns the hash of one VM. The digest of a list is the exclusive or
// of the hashes of its VMs, so it can be updated for each change.
func vmDigest(vm *core.VM) uint64 {
	hash := fnv.New64a()
	for _, field := range [...]string{
		string(vm.ID), string(vm.Kind), vm.Service, vm.Address, string(vm.Zone), string(vm.Region), string(vm.State),
	} {
		_, _ = hash.Write([]byte(field))
		_, _ = hash.Write([]byte{0})
	}
	return rendezvous.Mix(hash.Sum64())
}
