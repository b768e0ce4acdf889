package engine

import (
	"container/list"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
)

// maxEvents bounds the cache events kept for status calls; older ones are lost.
const maxEvents = 4096

// timedEvent is a cache event with its number and the time of its report.
type timedEvent struct {
	number uint64
	due    time.Time
	event  enginehttp.CacheEvent
}

// prefixCache keeps the most recently used prompt blocks. The engine's lock
// guards it.
type prefixCache struct {
	limit int
	delay time.Duration
	gap   int

	recent *list.List // of uint64, the most recent first
	blocks map[uint64]*list.Element
	events []timedEvent
	next   uint64 // number of the next event
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit: o.CacheBlocks, delay: o.EventDelay, gap: o.EventGap,
		recent: list.New(), blocks: make(map[uint64]*list.Element), next: 1,
	}
}

// use stores the prompt's blocks and returns how many leading bytes it held.
func (c *prefixCache) use(prompt string, now time.Time) int {
	hashes := core.PrefixHashes(prompt)
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	for _, hash := range hashes {
		c.store(hash, now)
	}
	return hits * core.PrefixBlockBytes
}

func (c *prefixCache) store(hash uint64, now time.Time) {
	if element := c.blocks[hash]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	c.emit(enginehttp.CacheEvent{PrefixHash: hash}, now)
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, oldest)
	c.emit(enginehttp.CacheEvent{PrefixHash: oldest, Evicted: true}, now)
}

func (c *prefixCache) emit(event enginehttp.CacheEvent, now time.Time) {
	number := c.next
	c.next++
	if c.gap > 0 && number%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{number: number, due: now.Add(c.delay), event: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// since returns the events due from a cursor on, and the next cursor.
func (c *prefixCache) since(cursor uint64, now time.Time) ([]enginehttp.CacheEvent, uint64) {
	var found []enginehttp.CacheEvent
	next := max(cursor, 1)
	for _, e := range c.events {
		if e.due.After(now) {
			return found, max(next, e.number)
		}
		if e.number >= cursor {
			found = append(found, e.event)
		}
		next = max(next, e.number+1)
	}
	return found, max(next, c.next)
}
