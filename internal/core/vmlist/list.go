package vmlist

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// change is the step from one list to the next.
type change struct {
	from uint64 // digest of the list before
	vms  []core.ServerID
}

// Book is the newest VM list that a process has, with the last changes.
type Book struct {
	vms     map[core.ServerID]core.VM
	digest  uint64
	asOf    time.Time // the list was not older then; zero before the first one
	past    []change  // oldest first
	changed int       // VMs in past
}

// NewBook returns a book without a list.
func NewBook() *Book { return &Book{vms: make(map[core.ServerID]core.VM)} }

// Digest returns the digest of the list, zero for an empty one.
func (b *Book) Digest() uint64 { return b.digest }

// Read takes a list that the process read for itself at a time before it asked
// for it. It returns whether the list differs from the one before. Of a VM that
// is listed twice the first entry counts. A list read before the newest one
// known is dropped.
func (b *Book) Read(vms []core.VM, asOf time.Time) (changed bool) {
	if asOf.Before(b.asOf) {
		return false
	}
	first := b.asOf.IsZero()
	listed := make(map[core.ServerID]core.VM, len(vms))
	var differs []core.ServerID
	digest := uint64(0)
	for _, vm := range vms {
		if _, twice := listed[vm.ID]; twice {
			continue
		}
		listed[vm.ID] = vm
		digest ^= digestOf(&vm)
		if before, known := b.vms[vm.ID]; !known || before != vm {
			differs = append(differs, vm.ID)
		}
	}
	for id := range b.vms {
		if _, known := listed[id]; !known {
			differs = append(differs, id)
		}
	}
	b.note(differs)
	b.vms, b.digest, b.asOf = listed, digest, asOf
	return first || len(differs) > 0
}

// note keeps what changed since the present list, within the bounds.
func (b *Book) note(differs []core.ServerID) {
	if len(differs) == 0 {
		return
	}
	b.past = append(b.past, change{from: b.digest, vms: differs})
	b.changed += len(differs)
	for len(b.past) > 0 && (len(b.past) > pastLists || b.changed > pastChanges) {
		b.changed -= len(b.past[0].vms)
		b.past = slices.Delete(b.past, 0, 1)
	}
}

// News tells a process whose list has a digest what changed since. Known is
// false when that list is not among the last ones.
func (b *Book) News(digest uint64, now time.Time) core.VMNews {
	if b.asOf.IsZero() {
		return core.VMNews{}
	}
	news := core.VMNews{Known: true, Digest: b.digest, Age: max(0, now.Sub(b.asOf))}
	if digest == b.digest {
		return news
	}
	at := slices.IndexFunc(b.past, func(c change) bool { return c.from == digest })
	if at < 0 {
		return core.VMNews{}
	}
	told := make(map[core.ServerID]bool)
	for _, c := range b.past[at:] {
		for _, id := range c.vms {
			if told[id] {
				continue
			}
			told[id] = true
			if vm, listed := b.vms[id]; listed {
				news.Listed = append(news.Listed, vm)
			} else {
				news.Gone = append(news.Gone, id)
			}
		}
	}
	return news
}

// Take applies news that a reader gave to the digest asked with, at a time
// before it was asked. It returns whether the list changed, and false for ok
// when the news must not be used: it is too old, the process's list has become
// another meanwhile, or the changes do not lead to the reader's list. A Book is
// then as before.
func (b *Book) Take(news core.VMNews, asked uint64, at time.Time, maxAge time.Duration) (changed, ok bool) {
	asOf := at.Add(-news.Age)
	if !news.Known || news.Age > maxAge || asked != b.digest || b.asOf.IsZero() {
		return false, false
	}
	digest := b.digest
	flip := func(vm core.VM, listed bool) {
		if listed {
			digest ^= digestOf(&vm)
		}
	}
	for _, vm := range news.Listed {
		before, listed := b.vms[vm.ID]
		flip(before, listed)
		flip(vm, true)
	}
	for _, id := range news.Gone {
		before, listed := b.vms[id]
		flip(before, listed)
	}
	if digest != news.Digest {
		return false, false
	}
	b.apply(news)
	if asOf.After(b.asOf) {
		b.asOf = asOf
	}
	return len(news.Listed)+len(news.Gone) > 0, true
}

// apply takes changes whose digest was checked.
func (b *Book) apply(news core.VMNews) {
	var differs []core.ServerID
	for _, vm := range news.Listed {
		differs = append(differs, vm.ID)
	}
	b.note(append(differs, news.Gone...))
	for _, vm := range news.Listed {
		b.vms[vm.ID] = vm
	}
	for _, id := range news.Gone {
		delete(b.vms, id)
	}
	b.digest = news.Digest
}

// VMs returns the list, sorted by id.
func (b *Book) VMs() []core.VM {
	vms := make([]core.VM, 0, len(b.vms))
	for _, vm := range b.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b core.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}

// digestOf hashes one row; the digest of a list is the exclusive or over all.
func digestOf(vm *core.VM) uint64 {
	hash := fnv.New64a()
	for _, field := range [...]string{
		string(vm.ID), string(vm.Kind), vm.Service, vm.Address, string(vm.Zone), string(vm.Region), string(vm.State),
	} {
		_, _ = hash.Write([]byte(field))
		_, _ = hash.Write([]byte{0})
	}
	return rendezvous.Mix(hash.Sum64())
}
