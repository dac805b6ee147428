package emulator

import (
	"container/list"
	"strconv"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheEvent is a change of the prefix cache. Numbers increase by one; a missing
// number stands for an event that was not published.
type CacheEvent struct {
	Number int    `json:"number"`
	Kind   string `json:"kind"`
	// Block is the block's hash as PrefixBlocks returns it, in hexadecimal. It is
	// empty when the cache was cleared.
	Block string `json:"block,omitempty"`
	at    timer.Millis
}

// maxCacheEvents is the maximum number of events that are retained for readers.
// When it is exceeded, the older half is discarded.
const maxCacheEvents = 65_536

// prefixCache is a bounded LRU cache of blocks of prompt prefixes. It is guarded
// by the lock of the batch.
type prefixCache struct {
	limit      int
	eventGap   int
	recency    *list.List
	blocks     map[uint64]*list.Element
	lastNumber int
	events     []CacheEvent
}

func newPrefixCache(limit, gap int) *prefixCache {
	return &prefixCache{limit: limit, eventGap: gap, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (p *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := p.blocks[b]
		if !ok {
			return i
		}
		p.recency.MoveToFront(e)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones beyond the limit.
func (p *prefixCache) store(blocks []uint64, now timer.Millis) {
	for _, b := range blocks {
		if e, ok := p.blocks[b]; ok {
			p.recency.MoveToFront(e)
			continue
		}
		p.blocks[b] = p.recency.PushFront(b)
		p.addEvent(CacheStored, b, now)
	}
	for p.recency.Len() > p.limit {
		b := p.recency.Remove(p.recency.Back()).(uint64)
		delete(p.blocks, b)
		p.addEvent(CacheEvicted, b, now)
	}
}

// clear removes all blocks.
func (p *prefixCache) clear(now timer.Millis) {
	p.recency.Init()
	clear(p.blocks)
	p.addEvent(CacheCleared, 0, now)
}

// addEvent numbers an event and retains it, except for one in every eventGap
// events, which uses up a number and is dropped.
func (p *prefixCache) addEvent(kind string, block uint64, now timer.Millis) {
	p.lastNumber++
	if p.lastNumber%p.eventGap == 0 {
		return
	}
	e := CacheEvent{Number: p.lastNumber, Kind: kind, at: now}
	if kind != CacheCleared {
		e.Block = strconv.FormatUint(block, 16)
	}
	p.events = append(p.events, e)
	if len(p.events) > maxCacheEvents {
		p.events = append([]CacheEvent(nil), p.events[len(p.events)/2:]...)
	}
}

// eventsAfter returns the events with numbers greater than n that occurred no
// later than until.
func (p *prefixCache) eventsAfter(n int, until timer.Millis) []CacheEvent {
	out := make([]CacheEvent, 0)
	for _, e := range p.events {
		if e.Number > n && e.at <= until {
			out = append(out, e)
		}
	}
	return out
}
