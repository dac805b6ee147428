package dispatcher

import (
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// hintBytesPerSecond limits the bytes of hints that a host sends, hintBytes those
	// in one reply. A host that queries PullPeers hosts a second receives at most
	// PullPeers times hintBytes a second.
	hintBytesPerSecond = 512
	hintBytes          = 64
	// hintBurst is the time for which unused bytes are saved up.
	hintBurst = 500 * timer.Millis(1)
	// hintedBlocks and hintedEvictions limit the blocks in one hint.
	hintedBlocks    = 4
	hintedEvictions = 1
	// clearedHintTime is how long hints to other hosts report that a server's cache
	// was cleared.
	clearedHintTime = 300 * timer.Second
)

// cacheHint is what a host reports to another host about the cache of a server.
type cacheHint struct {
	Server  string   `cbor:"1,keyasint"`
	Cached  []uint64 `cbor:"2,keyasint,omitempty"`
	Evicted []uint64 `cbor:"3,keyasint,omitempty"`
	// Cleared is the time since the cache was cleared, in milliseconds, plus one; zero
	// if it was not cleared within clearedHintTime.
	Cleared timer.Millis `cbor:"4,keyasint,omitempty"`
}

// hintPicker selects the hints for replies, from each server in turn.
type hintPicker struct {
	mu    sync.Mutex
	round int
	// spentUntil is when the bytes sent so far will be within the rate.
	spentUntil timer.Millis
}

// nextHint returns a hint about one of servers, or nil if there is none or the limit
// of bytes is reached.
func (d *Dispatcher) nextHint(servers []string, now timer.Millis) *cacheHint {
	if len(servers) == 0 || d.options.Hints == nil {
		return nil
	}
	slices.Sort(servers)
	d.hintPicker.mu.Lock()
	defer d.hintPicker.mu.Unlock()
	d.hintPicker.round++
	turn := d.hintPicker.round
	h := d.cacheLogs.hintOf(servers[turn%len(servers)], turn/len(servers), now)
	if h == nil || !d.hintPicker.takeBytes(h, now) {
		return nil
	}
	return h
}

// takeBytes takes the bytes of h from the limit and reports whether they were
// available.
func (t *hintPicker) takeBytes(h *cacheHint, now timer.Millis) bool {
	b, err := cbor.Marshal(h)
	if err != nil || len(b) > hintBytes {
		return false
	}
	// Rounded up, so that fractions of milliseconds do not add to the rate.
	cost := (timer.Millis(len(b))*timer.Second + hintBytesPerSecond - 1) / hintBytesPerSecond
	spent := max(t.spentUntil, now-hintBurst) + cost
	if spent > now {
		return false
	}
	t.spentUntil = spent
	return true
}

// hintOf returns the hint about server, nil for none. Successive values of page select
// successive parts of its recently stored blocks.
func (x *cacheLogs) hintOf(server string, page int, now timer.Millis) *cacheHint {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.logs[server]
	if !ok {
		return nil
	}
	h := &cacheHint{Server: server}
	for i := range min(hintedBlocks, len(l.recentlyStored)) {
		h.Cached = append(h.Cached, l.recentlyStored[(page*hintedBlocks+i)%len(l.recentlyStored)])
	}
	h.Evicted = slices.Clone(l.recentlyEvicted[max(0, len(l.recentlyEvicted)-hintedEvictions):])
	if l.wasCleared && now-l.clearedAt < clearedHintTime {
		h.Cleared = now - l.clearedAt + 1
	}
	if len(h.Cached)+len(h.Evicted) == 0 && h.Cleared == 0 {
		return nil
	}
	return h
}

// applyPeerHint validates a hint from another host and applies it.
func (d *Dispatcher) applyPeerHint(h *cacheHint) {
	if h == nil || d.options.Hints == nil || len(h.Cached) > hintedBlocks || len(h.Evicted) > hintedEvictions {
		return
	}
	if _, ok := d.options.Viewer.View().Record.Servers[h.Server]; !ok {
		return
	}
	now := d.options.Clock.Now()
	if h.Cleared > 0 {
		d.options.Hints.Cleared(h.Server, now-h.Cleared)
	}
	d.applyHints(h.Server, cacheChange{cached: h.Cached, evicted: h.Evicted}, now)
}
