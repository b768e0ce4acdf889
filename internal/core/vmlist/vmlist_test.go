package vmlist

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
)

var testStart = time.Unix(1_700_000_000, 0)

func member(i, zones int) core.Member {
	return core.Member{
		VM: core.VMID(fmt.Sprint("entry-", i)), PeerAddress: fmt.Sprint("peer-", i),
		Zone: core.ZoneName(fmt.Sprint("zone-", i%zones)), Region: "r",
	}
}

func members(number, zones int) []core.Member {
	all := make([]core.Member, number)
	for i := range all {
		all[i] = member(i, zones)
	}
	return all
}

func TestSelectReader(t *testing.T) {
	for _, c := range []struct{ members, zones, readers int }{
		{1, 1, 1}, {10, 3, 10}, {32, 3, 32}, {33, 1, 2}, {100, 3, 6}, {610, 12, 24}, {40, 40, 40},
	} {
		all := members(c.members, c.zones)
		readers := make(map[core.VMID]bool)
		for _, self := range all {
			if _, ask := SelectReader(self, all, 0); !ask {
				readers[self.VM] = true
			}
		}
		if len(readers) != c.readers {
			t.Errorf("%+v: got %d readers", c, len(readers))
		}
		followerCounts := make(map[core.VMID]int)
		for _, self := range all {
			first, ask := SelectReader(self, all, 0)
			if !ask {
				continue
			}
			second, _ := SelectReader(self, all, 1)
			followerCounts[first.VM]++
			if !readers[first.VM] || !readers[second.VM] || first.VM == second.VM || first.Zone != self.Zone {
				t.Errorf("%+v: %s asks %s, then %s", c, self.VM, first.VM, second.VM)
			}
		}
		for vm, followers := range followerCounts {
			if mean := float64(c.members-c.readers) / float64(c.readers); float64(followers) > 2*mean+5 {
				t.Errorf("%+v: %s has %d followers, want at most twice the mean of %.1f plus 5", c, vm, followers, mean)
			}
		}
	}
}

// TestSelectReaderAfterReaderLoss checks that when a reader is no longer live,
// another member of its zone becomes a reader, and no process asks the lost one.
func TestSelectReaderAfterReaderLoss(t *testing.T) {
	all := members(100, 2)
	lost, _ := SelectReader(all[4], all, 0)
	rest := slices.DeleteFunc(slices.Clone(all), func(m core.Member) bool { return m.VM == lost.VM })
	readers := 0
	for _, self := range rest {
		reader, ask := SelectReader(self, rest, 0)
		if !ask {
			readers++
		}
		if ask && reader.VM == lost.VM {
			t.Errorf("%s asks a process that is not live", self.VM)
		}
	}
	if readers != 4 {
		t.Errorf("%d readers after the loss of one, want 4", readers)
	}
}

// TestChangePropagationWithin3Seconds checks the default interval against the
// guarantee that no request goes to a server 3 s after the server left the list.
func TestChangePropagationWithin3Seconds(t *testing.T) {
	if got := MaxPropagationDelay(time.Second, 250*time.Millisecond); got > 3*time.Second {
		t.Errorf("changes are known within %v, want at most 3s", got)
	}
}

func vm(i int, state core.VMState) core.VM {
	return core.VM{ID: core.ServerID(fmt.Sprint("server-", i)), Kind: core.KindEngine, Service: "m", State: state}
}

// randomChange applies up to three random changes to a list and returns its VMs.
func randomChange(list map[int]core.VM, random *rand.Rand) []core.VM {
	for range random.IntN(4) {
		at := random.IntN(40)
		switch random.IntN(3) {
		case 0:
			delete(list, at)
		case 1:
			list[at] = vm(at, core.VMLeaving)
		default:
			list[at] = vm(at, core.VMLive)
		}
	}
	return slices.Collect(maps.Values(list))
}

// TestFollowersReachReadersList applies the changes of two readers, which read
// the list at different times, to a follower. The changes must either be rejected
// or result in exactly the reader's list and its age.
func TestFollowersReachReadersList(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same list", prop.ForAll(func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, 0))
		platform := make(map[int]core.VM)
		readers := [2]*List{NewList(), NewList()}
		follower := NewList()
		now, rejected := testStart, 0
		for step := range 300 {
			now = now.Add(100 * time.Millisecond)
			list := randomChange(platform, random)
			if reader := readers[random.IntN(2)]; random.IntN(3) == 0 {
				reader.ApplyList(list, now)
			}
			reader := readers[random.IntN(2)]
			digest := follower.Digest()
			changes := reader.ChangesSince(digest, now)
			_, ok := follower.ApplyChanges(changes, digest, now, time.Second)
			switch {
			case ok && (follower.Digest() != reader.Digest() || !slices.Equal(follower.VMs(), reader.VMs())):
				return fmt.Sprint("step ", step, ": follower's list differs from the reader's")
			case ok && follower.readAt.Before(now.Add(-time.Second)):
				return fmt.Sprint("step ", step, ": a list older than 1 s was accepted")
			case !ok:
				rejected++
				follower.ApplyList(list, now)
				if !slices.Equal(follower.VMs(), sortedByID(list)) {
					return fmt.Sprint("step ", step, ": follower's list differs from the list read")
				}
			}
		}
		if rejected == 300 {
			return "all changes were rejected"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func sortedByID(list []core.VM) []core.VM {
	vmList := NewList()
	vmList.ApplyList(list, testStart)
	return vmList.VMs()
}

func TestInvalidChangesAreRejected(t *testing.T) {
	read := func(list ...core.VM) *List {
		vmList := NewList()
		vmList.ApplyList(list, testStart)
		return vmList
	}
	reader := read(vm(1, core.VMLive))
	reader.ApplyList([]core.VM{vm(1, core.VMLeaving)}, testStart.Add(time.Second))
	now := testStart.Add(1500 * time.Millisecond)
	validChanges := reader.ChangesSince(read(vm(1, core.VMLive)).Digest(), now)
	for _, c := range []struct {
		name   string
		vmList *List
		change func(*core.VMListChanges)
		want   bool
	}{
		{"unchanged", read(vm(1, core.VMLive)), func(*core.VMListChanges) {}, true},
		{"too old", read(vm(1, core.VMLive)), func(n *core.VMListChanges) { n.Age = time.Minute }, false},
		{"digest not known to the reader", read(vm(1, core.VMLive)), func(n *core.VMListChanges) { n.Known = false }, false},
		{"missing change", read(vm(1, core.VMLive)), func(n *core.VMListChanges) { n.Listed = nil }, false},
		{"list changed since the request", read(vm(1, core.VMLive), vm(2, core.VMLive)), func(*core.VMListChanges) {}, false},
		{"no list", NewList(), func(*core.VMListChanges) {}, false},
	} {
		changes := validChanges
		c.change(&changes)
		before := c.vmList.VMs()
		changed, ok := c.vmList.ApplyChanges(changes, read(vm(1, core.VMLive)).Digest(), now, time.Second)
		if ok != c.want || changed != c.want || !ok && !slices.Equal(c.vmList.VMs(), before) {
			t.Errorf("%s: changed %v, accepted %v, want %v for both", c.name, changed, ok, c.want)
		}
	}
	if changes := NewList().ChangesSince(0, now); changes.Known {
		t.Error("a process without a list returned changes")
	}
	if reader.ApplyList(nil, testStart) || len(reader.VMs()) != 1 {
		t.Error("a list older than the present one was accepted")
	}
}

// TestHistoryIsBounded checks the limits of the history after many small changes
// and after one change larger than the limit.
func TestHistoryIsBounded(t *testing.T) {
	vmList := NewList()
	for i := range 1000 {
		vmList.ApplyList([]core.VM{vm(i, core.VMLive)}, testStart.Add(time.Duration(i)*time.Second))
	}
	if len(vmList.history) > maxHistoryLists || vmList.historyVMs > maxHistoryVMs {
		t.Errorf("history has %d lists with %d VMs, want at most %d and %d", len(vmList.history), vmList.historyVMs, maxHistoryLists, maxHistoryVMs)
	}
	before := vmList.Digest()
	var large []core.VM
	for i := range maxHistoryVMs + 1 {
		large = append(large, vm(i, core.VMLeaving))
	}
	vmList.ApplyList(large, testStart.Add(time.Hour))
	if changes := vmList.ChangesSince(before, testStart.Add(time.Hour)); changes.Known || vmList.historyVMs != 0 {
		t.Errorf("changes since the previous list are known and history has %d VMs, want neither", vmList.historyVMs)
	}
}
