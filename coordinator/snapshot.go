package coordinator

import (
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Object identifies something that has one owner host at a time, such as "server/m1",
// "limit/kitchen" or "job/0198". The functions below make Objects.
type Object string

// ServerObject returns the Object of the backend server of this name.
func ServerObject(name string) Object { return Object("server/" + name) }

// LimitObject returns the Object of the limit of the workspace of this name.
func LimitObject(workspace string) Object { return Object("limit/" + workspace) }

// JobObject returns the Object of the batch job with this identifier.
func JobObject(id string) Object { return Object("job/" + id) }

// FingerprintObject returns the Object of the calls with this fingerprint.
func FingerprintObject(hex string) Object { return Object("fingerprint/" + hex) }

// Snapshot is the view of the fleet that the request path uses. It is immutable: the
// caller of Step publishes a new one at each Publish. A goroutine must get the current
// one from a Viewer for each check rather than keep it.
type Snapshot struct {
	Record registrar.Record
	// Self is the member entry of this host, which need not be in Record.
	Self registrar.Member
	// PermittedUntil is the monotonic instant until which this host may act.
	PermittedUntil timer.Millis
	// OwnsFrom is the instant from which this host may act for every object that it owns
	// in Record.Epoch. Before it, Owns decides for each object.
	OwnsFrom timer.Millis
	// Draining reports whether this host is leaving and takes no new work.
	Draining bool

	index    *assigner.Index
	peers    vector[peer]
	departed map[memberKey]registrar.Version
	epochs   []heldEpoch
	settled  registrar.Epoch
}

// WithRecord returns the snapshot with another record and without earlier epochs.
// Programs and tests that have no State use it to make snapshots.
func (s Snapshot) WithRecord(r registrar.Record) Snapshot {
	s.Record = r
	names := make([]string, len(r.Members))
	for i, m := range r.Members {
		names[i] = m.Name
	}
	s.index = assigner.NewIndex(names)
	s.epochs, s.settled, s.departed = nil, 0, nil
	s.peers = vector[peer]{}
	return s
}

// Permitted reports whether this host may act at all at now: serve callers, assign
// work, count usage. It must be called immediately before each such action.
func (s Snapshot) Permitted(now timer.Millis) bool {
	return s.Record.Version > 0 && now < s.PermittedUntil
}

// Member reports whether this incarnation is in the record.
func (s Snapshot) Member() bool {
	return s.Record.HasMember(s.Self.Name, s.Self.Incarnation)
}

// Owner returns the member that owns object in Record.Epoch, and false if there are no
// members. The owner may have to wait before it may act, see Owns.
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

// Owns reports whether this host may act as owner of object at now: it is permitted, it
// is the owner, and no earlier owner can still be acting.
func (s Snapshot) Owns(object Object, now timer.Millis) bool {
	o, ok := s.Owner(object)
	if !ok || o.Name != s.Self.Name || o.Incarnation != s.Self.Incarnation || !s.Permitted(now) {
		return false
	}
	return now >= s.OwnsFrom || s.earlierOwnersStopped(object, now)
}

// MemberDraining reports whether the member of this name is known to be leaving, so
// that callers must not be directed to it.
func (s Snapshot) MemberDraining(name string) bool {
	if name == s.Self.Name {
		return s.Draining
	}
	i := s.Record.Index(name)
	return i >= 0 && i < s.peers.size && s.peers.at(i).draining
}

// earlierOwnersStopped reports whether no other host can act for object under an epoch
// before Record.Epoch. It goes back through the held epochs to one before which no
// permission is left. Each owner on the way must have stopped acting under its epoch: it
// is this incarnation, it has ended, or it reported that it holds a later epoch.
func (s Snapshot) earlierOwnersStopped(object Object, now timer.Millis) bool {
	for k := 0; k < len(s.epochs); k++ {
		if s.settled >= s.epochs[k].epoch || now >= s.epochs[k].ownsFrom {
			return true
		}
		if k+1 == len(s.epochs) {
			return false
		}
		o, ok := s.epochs[k+1].owner(object)
		if ok && !s.ownerStopped(o, k) {
			return false
		}
	}
	return false
}

// ownerStopped reports whether o, which owned an object in the epoch before held epoch
// k, no longer acts under that epoch.
func (s Snapshot) ownerStopped(o registrar.Member, k int) bool {
	key := memberKey{o.Name, o.Incarnation}
	if o.Name == s.Self.Name && o.Incarnation == s.Self.Incarnation {
		return true
	}
	for _, l := range s.epochs[:k+1] {
		if l.stopped[key] {
			return true
		}
	}
	since := s.epochs[k].version
	if since == 0 {
		return false
	}
	i := s.Record.Index(o.Name)
	if i >= 0 && s.Record.Members[i].Incarnation == o.Incarnation {
		return i < s.peers.size && s.peers.at(i).holds(since)
	}
	return s.departed[key] >= since
}

// Viewer provides the current Snapshot. View never blocks and may be called by any
// goroutine.
type Viewer interface{ View() Snapshot }
