package engine

import (
	"container/list"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
)

// maxEvents is the maximum number of cache events kept for status requests.
// Older events are dropped.
const maxEvents = 4096

// timedEvent is a cache event with its number and the time from which it is
// reported.
type timedEvent struct {
	number uint64
	due    time.Time
	event  enginehttp.CacheEvent
}

// prefixCache is an LRU cache of prompt blocks. It is guarded by Engine.mu.
type prefixCache struct {
	maxBlocks    int
	eventDelay   time.Duration
	lossInterval int

	lru        *list.List // block hashes (uint64), most recently used first
	blocks     map[uint64]*list.Element
	events     []timedEvent
	nextNumber uint64 // number of the next event
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		maxBlocks: o.CacheBlocks, eventDelay: o.EventDelay, lossInterval: o.EventGap,
		lru: list.New(), blocks: make(map[uint64]*list.Element), nextNumber: 1,
	}
}

// storePrompt adds the prompt's blocks to the cache and returns the length in
// bytes of the longest prefix that was cached already.
func (c *prefixCache) storePrompt(prompt string, now time.Time) int {
	hashes := core.PrefixHashes(prompt)
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	for _, hash := range hashes {
		c.storeBlock(hash, now)
	}
	return hits * core.PrefixBlockBytes
}

func (c *prefixCache) storeBlock(hash uint64, now time.Time) {
	if element := c.blocks[hash]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.emitEvent(enginehttp.CacheEvent{PrefixHash: hash}, now)
	if c.lru.Len() <= c.maxBlocks {
		return
	}
	oldest := c.lru.Remove(c.lru.Back()).(uint64)
	delete(c.blocks, oldest)
	c.emitEvent(enginehttp.CacheEvent{PrefixHash: oldest, Evicted: true}, now)
}

func (c *prefixCache) emitEvent(event enginehttp.CacheEvent, now time.Time) {
	number := c.nextNumber
	c.nextNumber++
	if c.lossInterval > 0 && number%uint64(c.lossInterval) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{number: number, due: now.Add(c.eventDelay), event: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsSince returns the due events with numbers from cursor on, and the
// cursor for the next call.
func (c *prefixCache) eventsSince(cursor uint64, now time.Time) ([]enginehttp.CacheEvent, uint64) {
	var reported []enginehttp.CacheEvent
	next := max(cursor, 1)
	for _, e := range c.events {
		if e.due.After(now) {
			return reported, max(next, e.number)
		}
		if e.number >= cursor {
			reported = append(reported, e.event)
		}
		next = max(next, e.number+1)
	}
	return reported, max(next, c.nextNumber)
}
