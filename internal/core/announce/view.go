// Package announce determines which entry processes are live, from a row that each
// of them rewrites at an interval.
//
// Clocks are not compared: a member expires when its row has not changed for
// several of its own intervals while this process could read it. Time during which
// rows could not be read or written does not count against any member.
package announce

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

const (
	// missedAnnouncements is the number of intervals without a change after
	// which a member expires: one announcement may be lost and one late.
	missedAnnouncements = 3
	// maxGapShare is the maximum share of an interval that is counted for the time
	// between two reads. A longer gap means that reads failed, and possibly writes
	// too; a live member then needs up to one interval to write again.
	maxGapShare = 0.5
	// minInterval is the interval in a small fleet.
	minInterval = 500 * time.Millisecond
	// announcementsPerSecond limits the announcements of all members together
	// to one sixteenth of the writes that the table service accepts.
	announcementsPerSecond = 50
)

// Interval returns the interval between two announcements of one member, for a fleet
// with the given number of members.
func Interval(members int) time.Duration {
	return max(minInterval, time.Duration(members)*time.Second/announcementsPerSecond)
}

const (
	// readShare is the share of the table service's read capacity that all members
	// together use to poll published data; jobs and leases need the rest.
	readShare = 0.25
	// crashReadShare is the share for polling crash records, which are one read. A
	// process must know of a crash within the seconds in which it counts as in contact.
	crashReadShare = 0.1
	// keyReadShare is the share for reads of the configuration for requests whose key is
	// not known, which callers with random keys can cause at every process.
	keyReadShare = 0.1
	// streamWriteShare is the share of the table service's write capacity for rows of
	// streams, which processes write while servers of several software versions serve.
	streamWriteShare = 0.25
	// streamReadShare is the share for reads for streams that callers resume, all at once
	// after all processes were killed.
	streamReadShare = 0.25
	// readsPerPoll is the number of reads per poll: one for routes and versions, one
	// for backend servers.
	readsPerPoll = 2
	// memberReadsPerInterval is how often each member reads all members per
	// interval. Every read returns all rows, so with a fixed read interval the rows
	// read would grow with the square of the fleet size.
	memberReadsPerInterval = 3
)

// PollInterval returns the interval at which one member polls published data,
// at least the given one, so that all members together stay within their share
// of the table service's reads per second. If readsPerSecond is zero there is
// no limit.
func PollInterval(least time.Duration, members, readsPerSecond int) time.Duration {
	return sharedInterval(least, members*readsPerPoll, readShare*float64(readsPerSecond))
}

// CrashReadInterval returns the interval at which one member polls crash records, as
// PollInterval does.
func CrashReadInterval(least time.Duration, members, readsPerSecond int) time.Duration {
	return sharedInterval(least, members, crashReadShare*float64(readsPerSecond))
}

// KeyReadInterval returns the interval from one read of the configuration to the next that
// is made for requests whose key is not known, as PollInterval does.
func KeyReadInterval(least time.Duration, members, readsPerSecond int) time.Duration {
	return sharedInterval(least, members, keyReadShare*float64(readsPerSecond))
}

// StreamWriteInterval returns the least interval between two commits of rows of streams by
// one member, so that all members together stay within their share of the table service's
// writes per second. If writesPerSecond is zero there is no limit.
func StreamWriteInterval(members, writesPerSecond int) time.Duration {
	return sharedInterval(0, members, streamWriteShare*float64(writesPerSecond))
}

// StreamReadInterval returns the mean interval between two reads by one member for streams
// that callers resume, so that all members together stay within their share of the table
// service's reads per second. If readsPerSecond is zero there is no limit.
func StreamReadInterval(members, readsPerSecond int) time.Duration {
	return sharedInterval(0, members, streamReadShare*float64(readsPerSecond))
}

// sharedInterval returns the interval, at least the given one, at which a number of calls
// may be repeated with a budget of calls per second. Without a budget there is no limit.
func sharedInterval(least time.Duration, reads int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return least
	}
	return max(least, time.Duration(float64(reads)/perSecond*float64(time.Second)))
}

// MemberReadInterval returns the interval at which one member reads the rows of
// all members, at least the given one.
func MemberReadInterval(least time.Duration, members int) time.Duration {
	return max(least, Interval(members)/memberReadsPerInterval)
}

type memberRow struct {
	record       core.MemberRecord
	unchangedFor time.Duration // time for which the row was seen unchanged
	clockOffset  time.Duration // as last published, also by an earlier process of the VM; zero for none
}

// View holds the members as read by one process. It is not safe for concurrent use.
type View struct {
	rows   map[core.VMID]*memberRow
	readAt time.Time

	readableSince time.Time // begin of the reads without a longer gap
}

// NewView returns an empty view.
func NewView() *View { return &View{rows: make(map[core.VMID]*memberRow)} }

// Observe updates the view with the rows of all members, read at the given time.
func (v *View) Observe(rows map[core.VMID]core.MemberRecord, now time.Time) {
	var elapsed time.Duration
	if !v.readAt.IsZero() {
		elapsed = now.Sub(v.readAt)
	}
	v.readAt = now
	v.updateReadable(elapsed, now)
	for id := range v.rows {
		if _, listed := rows[id]; !listed {
			delete(v.rows, id)
		}
	}
	for id, record := range rows {
		known := v.rows[id]
		if known == nil || !isSameAnnouncement(&known.record, &record) {
			v.rows[id] = &memberRow{record: record, clockOffset: publishedOffset(known, &record)}
			continue
		}
		known.unchangedFor += min(elapsed, time.Duration(maxGapShare*float64(record.Every)))
	}
}

// isSameAnnouncement reports whether two rows of a member are one announcement.
func isSameAnnouncement(a, b *core.MemberRecord) bool {
	return a.Incarnation == b.Incarnation && a.Beat == b.Beat && a.Leaving == b.Leaving
}

// Live returns the members that are neither expired nor leaving, sorted by VM.
func (v *View) Live() []core.Member {
	var live []core.Member
	for id, known := range v.rows {
		if known.record.Leaving || known.isExpired() {
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

func (r *memberRow) isExpired() bool { return r.unchangedFor >= missedAnnouncements*r.record.Every }

// JobRoom returns the memory that the coordinator of a service has announced to have left
// for a job. It returns false if none has announced that it is short of it.
func (v *View) JobRoom(service string) (bytes int64, isScarce bool) {
	for _, known := range v.rows {
		for _, room := range known.record.Rooms {
			if room.Service == service && !known.isExpired() && (!isScarce || room.Bytes < bytes) {
				bytes, isScarce = room.Bytes, true
			}
		}
	}
	return bytes, isScarce
}

// minPowerShare is the share of the strongest VM's power that a VM needs to count
// as strong.
const minPowerShare = 0.75

// IsCandidate reports whether a process competes for the lease of a coordinator: it
// runs on a strong VM and is a candidate among the members on strong VMs.
func IsCandidate(name string, self core.VMID, live []core.Member) bool {
	strong := StrongMembers(live)
	isStrong := slices.ContainsFunc(strong, func(m core.Member) bool { return m.VM == self })
	return isStrong && lease.IsCandidate(name, self, strong)
}

// StrongMembers returns the members on strong VMs. A coordinator reads all events of a
// service's runs, so on a VM with a fifth of a core it would be the bottleneck.
func StrongMembers(live []core.Member) []core.Member {
	maxPower := 0
	for i := range live {
		maxPower = max(maxPower, live[i].Power)
	}
	var strong []core.Member
	for _, member := range live {
		if float64(member.Power) >= minPowerShare*float64(maxPower) {
			strong = append(strong, member)
		}
	}
	return strong
}
