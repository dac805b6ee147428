// Package departer records which incarnations of backend servers are leaving or have
// stopped, as announced by servers themselves: by a leave notice in an answer, or by an
// answer in which another server states that it now uses the address.
//
// An announcement takes precedence over the store's entry, which may be stale or
// unreadable, and over what other hosts report. It applies until the server's next
// incarnation. It is attributed to the incarnation to which the request was sent, so
// a late answer of an earlier incarnation does not affect a later one, and reuse of
// an address does not affect the server that now uses it. Hosts exchange notices of
// announcements, so that not every host has to send a call to a server that has
// stopped. This is an optimisation; correctness does not depend on it.
package departer

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Status is the announced state of an incarnation. A later constant supersedes an
// earlier one.
type Status uint8

const (
	// Leaving servers still answer the calls in flight and get no new ones.
	Leaving Status = iota + 1
	// Gone servers have stopped: another server answers at their address.
	Gone
)

const (
	// retention is how long an announcement is remembered. No leaving server runs
	// for longer. maxEntries bounds how many are remembered.
	retention  = 3600 * timer.Second
	maxEntries = 8192
	// reportFor is how long a host reports an announcement that it received from
	// the server itself.
	reportFor timer.Millis = 1500
)

// Notice is an announcement as hosts report it to each other.
type Notice struct {
	ID     string `cbor:"1,keyasint"`
	Born   int64  `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint"`
}

// entry is an announced status and when it was recorded.
type entry struct {
	status Status
	at     timer.Millis
}

// Departer records announcements. It is safe for concurrent use.
type Departer struct {
	clock  timer.Clock
	logger *zap.Logger

	mu      sync.Mutex
	entries map[cataloger.Incarnation]entry
	// reported lists the incarnations of which this host reports, oldest first.
	reported []cataloger.Incarnation
}

// New returns a Departer without announcements.
func New(c timer.Clock, l *zap.Logger) *Departer {
	return &Departer{clock: c, logger: l, entries: make(map[cataloger.Incarnation]entry)}
}

// Record records an announcement that this host received from a server.
func (d *Departer) Record(v cataloger.Incarnation, s Status) { d.record(v, s, true) }

// IsLeaving reports whether an incarnation is leaving or has stopped.
func (d *Departer) IsLeaving(v cataloger.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.entries[v]
	return ok
}

// Merge records the notices of another host. Notices with an unknown status, as of a
// newer version, are ignored.
func (d *Departer) Merge(list []Notice) {
	for _, n := range list {
		if n.Status == Leaving || n.Status == Gone {
			d.record(cataloger.Incarnation{ID: n.ID, StartedAt: n.Born}, n.Status, false)
		}
	}
}

// Notices returns the notices that this host currently sends to the others.
func (d *Departer) Notices() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for len(d.reported) > 0 && now-d.entries[d.reported[0]].at > reportFor {
		d.reported = d.reported[1:]
	}
	out := make([]Notice, 0, len(d.reported))
	for _, v := range d.reported {
		out = append(out, Notice{ID: v.ID, Born: v.StartedAt, Status: d.entries[v].status})
	}
	return out
}

// record records status s of v, unless the same or a later one is recorded already.
// own is set if this host received the announcement itself.
func (d *Departer) record(v cataloger.Incarnation, s Status, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[v].status >= s {
		return
	}
	now := d.clock.Now()
	d.evict(now)
	d.entries[v] = entry{status: s, at: now}
	if own {
		d.reported = append(d.reported, v)
	}
	d.logger.Info("server departs by its own word", zap.String("server", v.ID), zap.Int64("started-at", v.StartedAt), zap.Bool("gone", s == Gone), zap.Bool("heard-here", own))
}

// evict makes room for an entry if there are maxEntries. It removes those that are
// older than retention or, if there are none, the oldest.
func (d *Departer) evict(now timer.Millis) {
	if len(d.entries) < maxEntries {
		return
	}
	oldest, at := cataloger.Incarnation{}, now
	for v, e := range d.entries {
		switch {
		case now-e.at >= retention:
			delete(d.entries, v)
		case e.at <= at:
			oldest, at = v, e.at
		}
	}
	if len(d.entries) >= maxEntries {
		delete(d.entries, oldest)
	}
}
