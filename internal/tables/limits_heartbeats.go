package tables

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// HeartbeatUpdates returns the limit updates for a heartbeat to the peer, at most
// core.HeartbeatLimits, going through the deployments in turn. answer tells
// whether the heartbeat answers one of the peer's. Units that an update lends
// are no longer usable in this process.
func (t *Limits) HeartbeatUpdates(peer core.VMID, answer bool, now time.Time) []core.LimitUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := t.sortedNames()
	from, _ := slices.BinarySearch(names, t.cursor+"\x00")
	var updates []core.LimitUpdate
	for i := 0; i < len(names) && len(updates) < core.HeartbeatLimits; i++ {
		name := names[(from+i)%len(names)]
		row := t.rows[name]
		if !row.absentSince.IsZero() {
			continue
		}
		update, found := row.share.PrepareUpdate(peer, row.gate.Need(), answer, now)
		if !found {
			continue
		}
		t.cursor = name
		updates = append(updates, update)
		row.updateBounds(now)
	}
	return updates
}

// HeartbeatTargets returns the peers that must get a heartbeat before the next
// round, to request, renew or return units, sorted.
func (t *Limits) HeartbeatTargets(now time.Time) []core.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []core.VMID
	for _, row := range t.rows {
		if row.absentSince.IsZero() {
			peers = append(peers, row.share.HeartbeatTargets(row.gate.Need(), now)...)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// ApplyUpdates applies the limit updates of a peer's heartbeat or answer and
// starts the waiting requests that have room now. sent is when the heartbeat
// that the peer answers was sent, zero if the peer sent the heartbeat.
func (t *Limits) ApplyUpdates(peer core.VMID, updates []core.LimitUpdate, sent, now time.Time) {
	for _, ready := range t.applyUpdates(peer, updates, sent, now) {
		ready(nil)
	}
}

func (t *Limits) applyUpdates(peer core.VMID, updates []core.LimitUpdate, sent, now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.RecordHeartbeat(peer, now)
	var ready []AdmissionCallback
	for i := range updates {
		row := t.rows[updates[i].Deployment]
		if row == nil {
			continue
		}
		row.share.Tick(now)
		row.share.ApplyUpdate(peer, updates[i], sent, now)
		row.updateBounds(now)
		ready = append(ready, row.dequeue(now)...)
	}
	return ready
}
