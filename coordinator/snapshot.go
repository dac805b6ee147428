package coordinator

import (
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Object names something that one host decides for, such as "server/m1",
// "limit/kitchen" or "job/0198". Use the functions below to make one.
type Object string

// ServerObject is the backend server of this name.
func ServerObject(name string) Object { return Object("server/" + name) }

// LimitObject is the limit of the workspace of this name.
func LimitObject(workspace string) Object { return Object("limit/" + workspace) }

// JobObject is the batch job with this identifier.
func JobObject(id string) Object { return Object("job/" + id) }

// FingerprintObject is the calls with this fingerprint.
func FingerprintObject(hex string) Object { return Object("fingerprint/" + hex) }

// Snapshot is what traffic knows of the fleet. It is immutable: the control
// goroutine publishes a new one for each change, and a goroutine that holds one
// for longer than a single check must take the newest again.
type Snapshot struct {
	Record registrar.Record
	// Self is this host as it would be listed; it may not be a member.
	Self registrar.Member
	// PermittedUntil is the monotonic instant until which this host may act.
	PermittedUntil timer.Millis
	// OwnsFrom is the instant from which this host may act for whatever belongs
	// to it in Record.Epoch. Before it, Owns tells object by object.
	OwnsFrom timer.Millis
	// Draining says that this host is leaving and takes nothing new.
	Draining bool

	index    *assigner.Index
	peers    vector[peer]
	departed map[memberKey]registrar.Version
	layers   []layer
	settled  registrar.Epoch
}

// WithRecord returns the snapshot with another record. Embedders and tests that
// have no State make snapshots with it; nothing is known of earlier epochs then.
func (s Snapshot) WithRecord(r registrar.Record) Snapshot {
	s.Record = r
	names := make([]string, len(r.Members))
	for i, m := range r.Members {
		names[i] = m.Name
	}
	s.index = assigner.NewIndex(names)
	s.layers, s.settled, s.departed = nil, 0, nil
	s.peers = vector[peer]{}
	return s
}

// Permitted says whether this host may act at all at now: serve callers, give
// orders, count. It must be asked directly before each effect.
func (s Snapshot) Permitted(now timer.Millis) bool {
	return s.Record.Version > 0 && now < s.PermittedUntil
}

// Member says whether this incarnation is in the record.
func (s Snapshot) Member() bool {
	return s.Record.HasMember(s.Self.Name, s.Self.Incarnation)
}

// Owner returns the member that object belongs to.
func (s Snapshot) Owner(object Object) (registrar.Member, bool) {
	if s.index == nil {
		return registrar.Member{}, false
	}
	i := s.index.Pick(string(object))
	if i < 0 {
		return registrar.Member{}, false
	}
	return s.Record.Members[i], true
}

// Owns says whether this host may decide for object at now: it is permitted,
// object belongs to it, and no earlier owner can still be acting.
func (s Snapshot) Owns(object Object, now timer.Millis) bool {
	o, ok := s.Owner(object)
	if !ok || o.Name != s.Self.Name || o.Incarnation != s.Self.Incarnation || !s.Permitted(now) {
		return false
	}
	return now >= s.OwnsFrom || s.free(object, now)
}

// DrainingMember says whether the member of this name is known to be leaving,
// so that callers must not be sent to it.
func (s Snapshot) DrainingMember(name string) bool {
	if name == s.Self.Name {
		return s.Draining
	}
	i := s.Record.Index(name)
	return i >= 0 && i < s.peers.size && s.peers.at(i).draining
}

// free says whether no other host can act for object under an epoch before
// Record.Epoch. It goes down the earlier epochs until one whose predecessors
// have settled, and each owner on the way must have stopped: it is this
// incarnation, it ended, or it said that it holds a later epoch.
func (s Snapshot) free(object Object, now timer.Millis) bool {
	for k := 0; k < len(s.layers); k++ {
		if s.settled >= s.layers[k].epoch || now >= s.layers[k].ownsFrom {
			return true
		}
		if k+1 == len(s.layers) {
			return false
		}
		o, ok := s.layers[k+1].owner(object)
		if ok && !s.stopped(o, k) {
			return false
		}
	}
	return false
}

// stopped says whether the owner o of the epoch before layer k acts no more
// under it.
func (s Snapshot) stopped(o registrar.Member, k int) bool {
	key := memberKey{o.Name, o.Incarnation}
	if o.Name == s.Self.Name && o.Incarnation == s.Self.Incarnation {
		return true
	}
	for _, l := range s.layers[:k+1] {
		if l.ended[key] {
			return true
		}
	}
	since := s.layers[k].version
	if since == 0 {
		return false
	}
	i := s.Record.Index(o.Name)
	if i >= 0 && s.Record.Members[i].Incarnation == o.Incarnation {
		return i < s.peers.size && s.peers.at(i).holds(since)
	}
	return s.departed[key] >= since
}

// Viewer gives the newest Snapshot. It never blocks.
type Viewer interface{ View() Snapshot }
