// Package departer records which incarnations of backend servers are leaving or have
// stopped, as announced by servers themselves: by a leave notice in an answer, or by an
// answer in which another server states that it now uses the address.
//
// A leave notice takes precedence over the store's entry, which may be stale or
// unreadable, and over what other hosts report. It applies until the server's next
// incarnation. That another server answers at an address is learned from a refusal, for
// which there may be other reasons, so it applies only for goneFor: then the store's entry
// counts again, and if it is stale, the next refusal shows it.
//
// Announcements are attributed to the incarnation to which the request was sent, so
// a late answer of an earlier incarnation does not affect a later one, and reuse of
// an address does not affect the server that now uses it. Hosts exchange notices of
// announcements, so that not every host has to send a call to a server that has
// stopped. This is an optimisation; correctness does not depend on it.
package departer

import (
	"slices"
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Status is an announced state of an incarnation.
type Status uint8

const (
	// Leaving servers still answer the calls in flight and get no new ones.
	Leaving Status = iota + 1
	// Gone servers have stopped: another server answers at their address.
	Gone
)

const (
	// retention is how long a leave notice is remembered. No leaving server runs for
	// longer. maxEntries bounds how many announcements are remembered.
	retention = 3600 * timer.Second
	// goneFor is how long a server counts as stopped after it was found that another one
	// uses its address.
	goneFor    = 4 * timer.Second
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

// entry is what is known of one incarnation.
type entry struct {
	// leaving is set once the server announced that it is leaving. goneUntil is the instant
	// until which it counts as stopped.
	leaving   bool
	goneUntil timer.Millis
	// at is when the newest announcement was recorded.
	at timer.Millis
}

// applies reports whether the server is leaving or counts as stopped.
func (e entry) applies(now timer.Millis) bool { return e.leaving || now < e.goneUntil }

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
	return d.entries[v].applies(d.clock.Now())
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
		e := d.entries[v]
		if e.leaving {
			out = append(out, Notice{ID: v.ID, Born: v.StartedAt, Status: Leaving})
		}
		if now < e.goneUntil {
			out = append(out, Notice{ID: v.ID, Born: v.StartedAt, Status: Gone})
		}
	}
	return out
}

// record records status s of v, unless that is recorded already. own is set if this host
// received the announcement itself.
func (d *Departer) record(v cataloger.Incarnation, s Status, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e, known := d.entries[v]
	if (s == Leaving && e.leaving) || (s == Gone && now < e.goneUntil) {
		return
	}
	if !known {
		d.evict(now)
	}
	e.at = now
	switch s {
	case Leaving:
		e.leaving = true
	case Gone:
		e.goneUntil = now + goneFor
	}
	d.entries[v] = e
	if own {
		d.reported = append(slices.DeleteFunc(d.reported, func(o cataloger.Incarnation) bool { return o == v }), v)
	}
	d.logger.Info("server departs by its own word", zap.String("server", v.ID), zap.Int64("started-at", v.StartedAt), zap.Bool("gone", s == Gone), zap.Bool("heard-here", own))
}

// evict makes room for an entry if there are maxEntries. It removes those that do not apply
// any more or, if there are none, the oldest.
func (d *Departer) evict(now timer.Millis) {
	if len(d.entries) < maxEntries {
		return
	}
	oldest, at := cataloger.Incarnation{}, now
	for v, e := range d.entries {
		switch {
		case now-e.at >= retention || !e.applies(now):
			delete(d.entries, v)
		case e.at <= at:
			oldest, at = v, e.at
		}
	}
	if len(d.entries) >= maxEntries {
		delete(d.entries, oldest)
	}
}
