// Package announce decides which entry processes live, from rows that each of
// them rewrites at an interval.
//
// No clocks are compared: a member is gone when its row has not changed over
// several of its own intervals in which this process could read. Time in which
// the rows could not be read or written counts for nobody.
package announce

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

const (
	// missedBeats is how many intervals without a change make a member gone:
	// one may be lost and one late.
	missedBeats = 3
	// gapShare is the part of an interval that a gap between two reads counts at
	// most. A longer one tells that reads failed, and perhaps writes too; after
	// it a member that lives needs up to one interval to write again.
	gapShare = 0.5
	// smallestEvery is the interval of a small system.
	smallestEvery = 500 * time.Millisecond
	// beatsPerSecond bounds the announcements of all members together, a
	// sixteenth of the writes that the table service takes.
	beatsPerSecond = 50
)

// Every returns the interval between the announcements of one of so many members.
func Every(members int) time.Duration {
	return max(smallestEvery, time.Duration(members)*time.Second/beatsPerSecond)
}

const (
	// readShare is the part of the table service's reads that all members
	// together take to follow what others publish; jobs and leases need the rest.
	readShare = 0.25
	// followed is how many reads one look takes: routes with versions, and
	// backend servers.
	followed = 2
	// looksPerBeat is how often members are read in one interval of theirs. Each
	// read brings all of them, so that it must not grow with the square.
	looksPerBeat = 3
)

// ReadEvery returns the interval between one member's looks at what others
// publish, at least the given one, so that all members stay within their part
// of the table service's reads a second. Zero reads a second set no bound.
func ReadEvery(least time.Duration, members, readsPerSecond int) time.Duration {
	if readsPerSecond <= 0 {
		return least
	}
	budget := readShare * float64(readsPerSecond)
	return max(least, time.Duration(float64(members*followed)/budget*float64(time.Second)))
}

// LookEvery returns the interval between one member's reads of all members, at
// least the given one.
func LookEvery(least time.Duration, members int) time.Duration {
	return max(least, Every(members)/looksPerBeat)
}

type row struct {
	record core.MemberRecord
	still  time.Duration // for which the row was seen unchanged
}

// View is what one process knows of the others. It is not safe for concurrent
// use.
type View struct {
	rows   map[core.VMID]*row
	readAt time.Time
}

// NewView returns an empty view.
func NewView() *View { return &View{rows: make(map[core.VMID]*row)} }

// Observe takes the rows of all members as read at a time.
func (v *View) Observe(rows map[core.VMID]core.MemberRecord, now time.Time) {
	var passed time.Duration
	if !v.readAt.IsZero() {
		passed = now.Sub(v.readAt)
	}
	v.readAt = now
	for id := range v.rows {
		if _, listed := rows[id]; !listed {
			delete(v.rows, id)
		}
	}
	for id, record := range rows {
		known := v.rows[id]
		if known == nil || known.record != record {
			v.rows[id] = &row{record: record}
			continue
		}
		known.still += min(passed, time.Duration(gapShare*float64(record.Every)))
	}
}

// Live returns the members that live and stay, sorted by VM.
func (v *View) Live() []core.Member {
	var live []core.Member
	for id, known := range v.rows {
		if known.record.Leaving || known.gone() {
			continue
		}
		live = append(live, core.Member{
			VM: id, Incarnation: known.record.Incarnation, CallAddress: known.record.CallAddress,
			PeerAddress: known.record.PeerAddress,
			Zone:        known.record.Zone, Region: known.record.Region, Power: known.record.Power,
		})
	}
	slices.SortFunc(live, func(a, b core.Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

func (r *row) gone() bool { return r.still >= missedBeats*r.record.Every }

// Addresses returns the callers' addresses of the members nearest to a place:
// those of the region if it has enough, else all.
func Addresses(live []core.Member, region core.RegionName) []string {
	var near, all []string
	for _, member := range live {
		all = append(all, member.CallAddress)
		if member.Region == region {
			near = append(near, member.CallAddress)
		}
	}
	if len(near) >= enoughNear {
		return near
	}
	return all
}

// enoughNear is how many members of a caller's own region make a choice that
// outlives the loss of one.
const enoughNear = 2

// strongShare is the part of the strongest VM's power from which on a VM
// counts as strong.
const strongShare = 0.75

// IsCandidate reports whether a process follows the lease on a coordinator's
// work: it runs on a strong VM and ranks among the first of those.
func IsCandidate(name string, self core.VMID, live []core.Member) bool {
	strong := Strong(live)
	listed := slices.ContainsFunc(strong, func(m core.Member) bool { return m.VM == self })
	return listed && lease.IsCandidate(name, self, strong)
}

// Strong returns the members on strong VMs. A coordinator reads all events of
// a service's runs: on a VM of a fifth of a core it would be the bottleneck.
func Strong(live []core.Member) []core.Member {
	most := 0
	for i := range live {
		most = max(most, live[i].Power)
	}
	var strong []core.Member
	for _, member := range live {
		if float64(member.Power) >= strongShare*float64(most) {
			strong = append(strong, member)
		}
	}
	return strong
}
