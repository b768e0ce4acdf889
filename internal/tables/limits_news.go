package tables

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// News returns what a heartbeat to the peer carries, at most
// core.HeartbeatLimits deployments in turn; answer tells that it answers one of
// the peer's. Units that it gives away are no longer usable here.
func (t *Limits) News(peer core.VMID, answer bool, now time.Time) []core.LimitNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := t.names()
	from, _ := slices.BinarySearch(names, t.cursor+"\x00")
	var news []core.LimitNews
	for i := 0; i < len(names) && len(news) < core.HeartbeatLimits; i++ {
		name := names[(from+i)%len(names)]
		row := t.rows[name]
		if !row.absent.IsZero() {
			continue
		}
		one, found := row.share.News(peer, row.gate.Need(), answer, now)
		if !found {
			continue
		}
		t.cursor = name
		news = append(news, one)
		row.adapt(now)
	}
	return news
}

// Asks returns the peers that are to get a heartbeat out of turn.
func (t *Limits) Asks(now time.Time) []core.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var asks []core.VMID
	for _, row := range t.rows {
		if row.absent.IsZero() {
			asks = append(asks, row.share.Asks(row.gate.Need(), now)...)
		}
	}
	slices.Sort(asks)
	return slices.Compact(asks)
}

// Heard takes the news of a peer's heartbeat or answer and calls the requests
// that may start. Sent is when the heartbeat that the peer answered was sent,
// zero for a heartbeat of its own.
func (t *Limits) Heard(peer core.VMID, news []core.LimitNews, sent, now time.Time) {
	for _, ready := range t.heard(peer, news, sent, now) {
		ready(nil)
	}
}

func (t *Limits) heard(peer core.VMID, news []core.LimitNews, sent, now time.Time) []Ready {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.Heard(peer, now)
	var ready []Ready
	for i := range news {
		row := t.rows[news[i].Deployment]
		if row == nil {
			continue
		}
		row.share.Tick(now)
		row.share.Heard(peer, news[i], sent, now)
		row.adapt(now)
		ready = append(ready, row.dequeue(now)...)
	}
	return ready
}
