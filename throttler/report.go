package throttler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// changeReported is how long a changed word is in every report.
	changeReported timer.Millis = 1000
	// rotationSize is how many unchanged words are in a report, for hosts that have
	// started or missed them; others follow every rotationInterval.
	rotationSize                  = 4
	rotationInterval timer.Millis = 200
	// maxNotices bounds a report, which must fit a datagram.
	maxNotices = 256
)

// Notice is what a host reports of the limit of one server.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
	// Rate and Raised are in requests a second; negative for no limit. Raised is zero if
	// no answer named a higher rate.
	Rate, Raised float64
	Version      uint32
	// Taken, Recent, Turn and Level are the reporting host's rationer.Usage.
	Taken  uint64
	Recent uint32
	Turn   uint64
	Level  float32
	// Paused is the time in milliseconds for which the server takes no requests, if it
	// said so to the reporting host.
	Paused uint32
}

// rotation determines which words are reported that have not changed.
type rotation struct {
	at timer.Millis
	// order holds all entries by key, nil if it is to be made again, and next is the first
	// one to report.
	order []*entry
	next  int
}

// Notices returns what this host reports now: words that changed, limits of which it took
// tokens, and some others in turn.
func (t *Throttler) Notices() []Notice {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Notice
	for e := range t.reported {
		n, used := t.notice(e)
		switch {
		case !used && now-e.changedAt >= changeReported && !(e.pausedHere && e.paused(now) > 0):
			delete(t.reported, e)
		case len(out) < maxNotices:
			out = append(out, n)
		}
	}
	for _, e := range t.rotate(now) {
		if _, ok := t.reported[e]; ok || e.word.ended() || e.word.version == 0 {
			continue
		}
		n, _ := t.notice(e)
		out = append(out, n)
	}
	return out
}

// rotate returns the entries that are reported in turn now. t.mu must be held.
func (t *Throttler) rotate(now timer.Millis) []*entry {
	r := &t.rotation
	if r.order == nil {
		r.order = slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return cmp.Compare(a.key, b.key) })
	}
	if len(r.order) == 0 {
		return nil
	}
	if now-r.at >= rotationInterval {
		r.at, r.next = now, r.next+rotationSize
	}
	r.next %= len(r.order)
	return r.order[r.next:min(r.next+rotationSize, len(r.order))]
}

// Known returns all words, for a host that has started.
func (t *Throttler) Known() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Notice, 0, len(t.entries))
	for _, e := range t.entries {
		n, _ := t.notice(e)
		out = append(out, n)
	}
	return out
}

// notice returns the Notice of an entry, and whether this host took tokens of it lately.
// t.mu must be held.
func (t *Throttler) notice(e *entry) (Notice, bool) {
	u, used := t.counts.Usage(e.key)
	n := Notice{
		ID: e.server.ID, Born: e.server.StartedAt, Rate: e.word.rate, Raised: e.word.raised, Version: e.word.version,
		Taken: u.Taken, Recent: u.Recent, Turn: u.Turn, Level: float32(u.Level),
	}
	if e.pausedHere {
		n.Paused = uint32(e.paused(t.clock.Now()))
	}
	return n, used
}

// Merge applies the notices of an incarnation of another host.
func (t *Throttler) Merge(host, incarnation string, list []Notice) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range list {
		t.merge(host, incarnation, n)
	}
}

// merge applies one notice. Of two words with the same version, the lower limit holds.
// t.mu must be held.
func (t *Throttler) merge(host, incarnation string, n Notice) {
	w := word{rate: n.Rate, raised: n.Raised, version: n.Version}
	v := cataloger.Incarnation{ID: n.ID, StartedAt: n.Born}
	if !w.valid() {
		return
	}
	e, ok := t.entries[v]
	if !ok {
		if w.ended() && n.Paused == 0 {
			return
		}
		if e = t.entry(v); e == nil {
			return
		}
	}
	if n.Paused > 0 {
		t.pause(e, timer.Millis(n.Paused), false)
	}
	if w.replaces(e.word) {
		t.change(e, w, false)
	}
	if !e.word.ended() {
		t.counts.MergeUsage(host, incarnation, e.key, rationer.Usage{Taken: n.Taken, Recent: n.Recent, Turn: n.Turn, Level: float64(n.Level)})
	}
}

// valid reports whether a reported word is one that a host can have.
func (w word) valid() bool {
	rate := func(r float64) bool { return r == unlimited || (r >= 0 && r <= maxRate) }
	return rate(w.rate) && rate(w.raised) && (w.version > 0 || w.ended())
}

// replaces reports whether the word is newer than another one or, if that is unknown,
// stricter.
func (w word) replaces(o word) bool {
	switch {
	case w.version != o.version:
		return w.version > o.version
	case w.rate != o.rate:
		return lower(w.rate, o.rate)
	}
	return w.raised == 0 && o.raised != 0
}
