package router

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// serversPerPrefix is the number of servers recorded for one prefix.
	serversPerPrefix = 4
	// hintLifetime is how long a hint is valid after it was last confirmed.
	hintLifetime = 300 * timer.Second
)

// Hints records which servers probably have which prefixes cached. It holds a
// bounded number of prefixes and replaces those that were not confirmed recently,
// by the CLOCK algorithm. It is safe for concurrent use.
type Hints struct {
	mu       sync.Mutex
	capacity int
	prefixes map[uint64]*prefixEntry
	// ring holds the prefixes in order of insertion. hand is the position of the
	// oldest one, which is examined next for replacement.
	ring []uint64
	hand int
	// cleared holds, by server, the time of the latest known loss of its cache.
	cleared map[string]timer.Millis
}

// prefixEntry holds the servers of one prefix, the newest hint first.
type prefixEntry struct {
	hints [serversPerPrefix]hint
	// referenced reports whether the prefix was confirmed since it was last examined
	// for replacement.
	referenced bool
}

type hint struct {
	server string
	at     timer.Millis
}

// NewHints returns Hints for at most capacity prefixes.
func NewHints(capacity int) *Hints {
	return &Hints{
		capacity: max(capacity, 1),
		prefixes: make(map[uint64]*prefixEntry),
		cleared:  make(map[string]timer.Millis),
	}
}

// Cached records that server has prefixes cached, either because its cache events
// say so or because a call with these prefixes was sent to it.
func (h *Hints) Cached(server string, prefixes []uint64, now timer.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range prefixes {
		h.entry(p).add(hint{server: server, at: now})
	}
}

// Evicted records that server no longer has prefix cached.
func (h *Hints) Evicted(server string, prefix uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x, ok := h.prefixes[prefix]; ok {
		x.remove(server)
	}
}

// Cleared records that server lost its whole cache, for example by a restart, or
// that a gap in its cache events implies such a loss.
func (h *Hints) Cleared(server string, now timer.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleared[server] = now
}

// Overlap is the number of a call's prefixes that a server probably has cached.
type Overlap struct {
	Server string
	Count  int
}

// Find appends to dst the servers that probably have the longest of the given
// prefixes cached, longest first. It stops after the prefix with which dst reaches
// serversPerPrefix entries. Each server occurs once.
func (h *Hints) Find(dst []Overlap, prefixes []uint64, now timer.Millis) []Overlap {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(prefixes) - 1; i >= 0 && len(dst) < serversPerPrefix; i-- {
		x, ok := h.prefixes[prefixes[i]]
		if !ok {
			continue
		}
		for _, y := range x.hints {
			if y.server != "" && now-y.at < hintLifetime && y.at > h.clearedAt(y.server) && !containsServer(dst, y.server) {
				dst = append(dst, Overlap{Server: y.server, Count: i + 1})
			}
		}
	}
	return dst
}

// Len returns the number of prefixes held.
func (h *Hints) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.prefixes)
}

func (h *Hints) clearedAt(server string) timer.Millis {
	if at, ok := h.cleared[server]; ok {
		return at
	}
	return -1
}

func containsServer(list []Overlap, server string) bool {
	for _, o := range list {
		if o.Server == server {
			return true
		}
	}
	return false
}

// entry returns the entry of prefix. If there is none it creates one, and replaces
// an old entry if the capacity is reached.
func (h *Hints) entry(prefix uint64) *prefixEntry {
	if x, ok := h.prefixes[prefix]; ok {
		x.referenced = true
		return x
	}
	x := &prefixEntry{}
	if len(h.ring) < h.capacity {
		h.ring = append(h.ring, prefix)
	} else {
		h.replaceOldest(prefix)
	}
	h.prefixes[prefix] = x
	return x
}

// replaceOldest puts prefix in the place of the first prefix from hand that was not
// confirmed since hand last passed it.
func (h *Hints) replaceOldest(prefix uint64) {
	for {
		old := h.ring[h.hand]
		x := h.prefixes[old]
		if !x.referenced {
			delete(h.prefixes, old)
			h.ring[h.hand] = prefix
			h.hand = (h.hand + 1) % len(h.ring)
			return
		}
		x.referenced = false
		h.hand = (h.hand + 1) % len(h.ring)
	}
}

func (x *prefixEntry) add(n hint) {
	i := 0
	for i < serversPerPrefix-1 && x.hints[i].server != n.server && x.hints[i].server != "" {
		i++
	}
	copy(x.hints[1:i+1], x.hints[:i])
	x.hints[0] = n
}

func (x *prefixEntry) remove(server string) {
	for i := range x.hints {
		if x.hints[i].server == server {
			copy(x.hints[i:], x.hints[i+1:])
			x.hints[serversPerPrefix-1] = hint{}
			return
		}
	}
}
