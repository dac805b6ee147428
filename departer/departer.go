// Package departer knows which incarnations of backend servers leave or are gone by
// the servers' own word: an answer that says that its server leaves, or one by which
// another server says that the address is its own now.
//
// Such a word goes before the store's entry, which may be older or cannot be read,
// and before what other hosts say, and it holds until the server's next incarnation.
// It is attributed to the incarnation that the request was sent to, so a late answer
// of an earlier start says nothing of a later one, and an address that is used again
// nothing of the server that uses it. Hosts tell one another, so that a server that
// is gone is not asked in vain by each of them; nothing depends on that.
package departer

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Word is what a server said.
type Status uint8

const (
	// Leaving servers still answer what they have, and get nothing new.
	Leaving Status = iota + 1
	// Gone servers have ended: another one answers at their address.
	Gone
)

const (
	// keepFor is how long a word is remembered, which no server outlives that
	// leaves. maxWords bounds how many are.
	retention  = 3600 * timer.Second
	maxEntries = 8192
	// tellFor is for how long a host tells of a word that it heard itself.
	reportFor timer.Millis = 1500
)

// Notice is a word as hosts tell it.
type Notice struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"`
	Word Status `cbor:"3,keyasint"`
}

// heard is a word and when it was heard.
type entry struct {
	status Status
	at     timer.Millis
}

// Departer is safe for concurrent use.
type Departer struct {
	clock  timer.Clock
	logger *zap.Logger

	mu      sync.Mutex
	entries map[cataloger.Incarnation]entry
	// recent are the incarnations of which this host tells, oldest first.
	recent []cataloger.Incarnation
}

// New returns a Departer that knows of no server that leaves.
func New(c timer.Clock, l *zap.Logger) *Departer {
	return &Departer{clock: c, logger: l, entries: make(map[cataloger.Incarnation]entry)}
}

// Said records a server's word.
func (d *Departer) Said(v cataloger.Incarnation, w Status) { d.record(v, w, true) }

// Departs says whether an incarnation leaves or is gone.
func (d *Departer) Departs(v cataloger.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.entries[v]
	return ok
}

// Hear takes in what another host told.
func (d *Departer) Hear(list []Notice) {
	for _, n := range list {
		if n.Word == Leaving || n.Word == Gone {
			d.record(cataloger.Incarnation{ID: n.ID, Born: n.Born}, n.Word, false)
		}
	}
}

// Told returns what this host tells the others now.
func (d *Departer) Told() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for len(d.recent) > 0 && now-d.entries[d.recent[0]].at > reportFor {
		d.recent = d.recent[1:]
	}
	out := make([]Notice, 0, len(d.recent))
	for _, v := range d.recent {
		out = append(out, Notice{ID: v.ID, Born: v.Born, Word: d.entries[v].status})
	}
	return out
}

// note remembers a word; one that is known already changes nothing, but that gone is
// more than leaving.
func (d *Departer) record(v cataloger.Incarnation, w Status, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[v].status >= w {
		return
	}
	now := d.clock.Now()
	d.evict(now)
	d.entries[v] = entry{status: w, at: now}
	if own {
		d.recent = append(d.recent, v)
	}
	d.logger.Info("server departs by its own word", zap.String("server", v.ID), zap.Int64("born", v.Born), zap.Bool("gone", w == Gone), zap.Bool("heard-here", own))
}

// bound forgets words that are old, and when there are too many the oldest.
func (d *Departer) evict(now timer.Millis) {
	if len(d.entries) < maxEntries {
		return
	}
	oldest, at := cataloger.Incarnation{}, now
	for v, h := range d.entries {
		switch {
		case now-h.at >= retention:
			delete(d.entries, v)
		case h.at <= at:
			oldest, at = v, h.at
		}
	}
	if len(d.entries) >= maxEntries {
		delete(d.entries, oldest)
	}
}
