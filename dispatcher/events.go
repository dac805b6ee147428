package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Hints receives what backend servers probably have in their prefix caches. Its
// methods are called by many goroutines.
type Hints interface {
	Cached(server string, prefixes []uint64, now timer.Millis)
	Evicted(server string, prefix uint64)
	Cleared(server string, now timer.Millis)
}

const (
	pathCacheEvents = "/cache-events"
	// maxEventStep is the largest difference between the numbers of two successive
	// events at which what is recorded about the cache is kept: one event fewer than
	// that may be missing between them.
	maxEventStep = 64
	// maxRecentlyStored is the number of recently stored blocks that are recorded,
	// maxRecentlyEvicted that of recently evicted ones.
	maxRecentlyStored  = 256
	maxRecentlyEvicted = 16
	// maxChangedBlocks is the number of blocks of each kind that one reading yields.
	maxChangedBlocks = 2048
	// skippedEvents is the number of events that are skipped when an answer is too
	// long to be read. It is smaller than the number of events in such an answer.
	skippedEvents = 4096
)

// cacheEvent is one event of a server's prefix cache. Numbers increase by one from 1;
// a missing number is an event that was lost.
type cacheEvent struct {
	Number int    `json:"number"`
	Kind   string `json:"kind"`
	Block  string `json:"block"`
}

// cacheLogs follows the cache events of the servers that this host owns.
type cacheLogs struct {
	mu   sync.Mutex
	logs map[string]*cacheLog
}

// cacheLog holds what the events of one server contained.
type cacheLog struct {
	// after is the event number after which to read. last is the event that was read
	// last; it is read again each time. If the server no longer returns it, the
	// server was restarted or has dropped the event, and its cache is not the
	// recorded one.
	after int
	last  cacheEvent
	// recentlyStored holds the blocks stored last and not evicted, the newest last;
	// recentlyEvicted holds those evicted last.
	recentlyStored, recentlyEvicted []uint64
	clearedAt                       timer.Millis
	wasCleared                      bool
}

// cacheChange is the effect of new events, to be applied in the order of its fields.
type cacheChange struct {
	cleared         bool
	cached, evicted []uint64
}

func newCacheLogs() *cacheLogs { return &cacheLogs{logs: make(map[string]*cacheLog)} }

// logOf returns the log of server. The caller holds mu.
func (x *cacheLogs) logOf(server string) *cacheLog {
	l, ok := x.logs[server]
	if !ok {
		l = &cacheLog{}
		x.logs[server] = l
	}
	return l
}

func (x *cacheLogs) after(server string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.logOf(server).after
}

// skip advances past events that are too many to be read, and discards what was
// recorded.
func (x *cacheLogs) skip(server string, now timer.Millis) cacheChange {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.logOf(server)
	*l = cacheLog{after: l.after + skippedEvents, clearedAt: now, wasCleared: true}
	return cacheChange{cleared: true}
}

func (x *cacheLogs) apply(server string, events []cacheEvent, now timer.Millis) cacheChange {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.logOf(server)
	c := l.apply(events)
	if c.cleared {
		l.clearedAt, l.wasCleared = now, true
	}
	return c
}

// retain removes the logs of all other servers.
func (x *cacheLogs) retain(servers map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name := range x.logs {
		if !servers[name] {
			delete(x.logs, name)
		}
	}
}

func (l *cacheLog) apply(events []cacheEvent) cacheChange {
	if l.last.Number > 0 {
		if len(events) == 0 || events[0] != l.last {
			*l = cacheLog{}
			return cacheChange{cleared: true}
		}
		events = events[1:]
	}
	var c cacheChange
	for _, e := range events {
		if l.last.Number > 0 && e.Number-l.last.Number > maxEventStep {
			l.clear(&c)
		}
		l.applyEvent(&c, e)
		l.last, l.after = e, e.Number-1
	}
	return c
}

func (l *cacheLog) applyEvent(c *cacheChange, e cacheEvent) {
	block, err := strconv.ParseUint(e.Block, 16, 64)
	switch {
	case e.Kind == "cleared":
		l.clear(c)
	case err != nil:
		return
	case e.Kind == "stored":
		// A block among the maxRecentlyStored last ones is stored again, so an event
		// between was lost, most likely that the cache was cleared. In a cache of
		// fewer blocks it may have been an eviction; then more is discarded than
		// necessary.
		if slices.Contains(l.recentlyStored, block) {
			l.clear(c)
		}
		l.recentlyStored = lastN(append(l.recentlyStored, block), maxRecentlyStored)
		l.recentlyEvicted = without(l.recentlyEvicted, block)
		c.cached, c.evicted = lastN(append(c.cached, block), maxChangedBlocks), without(c.evicted, block)
	case e.Kind == "evicted":
		l.recentlyStored = without(l.recentlyStored, block)
		l.recentlyEvicted = lastN(append(l.recentlyEvicted, block), maxRecentlyEvicted)
		c.cached, c.evicted = without(c.cached, block), lastN(append(c.evicted, block), maxChangedBlocks)
	}
}

func (l *cacheLog) clear(c *cacheChange) {
	l.recentlyStored, l.recentlyEvicted = nil, nil
	*c = cacheChange{cleared: true}
}

func without(list []uint64, block uint64) []uint64 {
	return slices.DeleteFunc(list, func(b uint64) bool { return b == block })
}

// lastN returns the last n elements of list.
func lastN(list []uint64, n int) []uint64 {
	return slices.Delete(list, 0, max(0, len(list)-n))
}

// readEvents reads the changes in b's cache. Servers that publish no events answer
// with an error.
func (d *Dispatcher) readEvents(ctx context.Context, b registrar.BackendServer) {
	if b.Kind == registrar.KindPlain || d.options.Hints == nil {
		return
	}
	path := fmt.Sprintf("%s?after=%d", pathCacheEvents, d.cacheLogs.after(b.Name))
	status, body, err := d.options.Exchanger.Get(ctx, "events-"+b.Name, b.Address, path)
	now := d.options.Clock.Now()
	var tooLong *exchanger.TooLongError
	if errors.As(err, &tooLong) {
		d.applyHints(b.Name, d.cacheLogs.skip(b.Name, now), now)
		return
	}
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var answer struct {
		Events []cacheEvent `json:"events"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		d.options.Logger.Warn("decode cache events failed", zap.String("server", b.Name), zap.Error(err))
		return
	}
	d.applyHints(b.Name, d.cacheLogs.apply(b.Name, answer.Events, now), now)
}

// applyHints passes a change to Hints. A clearing applies to what was recorded before
// now, not to blocks cached at now.
func (d *Dispatcher) applyHints(server string, c cacheChange, now timer.Millis) {
	if c.cleared {
		d.options.Hints.Cleared(server, now-1)
	}
	if len(c.cached) > 0 {
		d.options.Hints.Cached(server, c.cached, now)
	}
	for _, b := range c.evicted {
		d.options.Hints.Evicted(server, b)
	}
}
