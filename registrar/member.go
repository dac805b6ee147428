package registrar

import (
	"slices"
	"strings"
)

// RemovedMember is a member that was removed, or replaced by a new incarnation, at the
// beginning of an epoch.
type RemovedMember struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Stopped reports that the member is known to have stopped permanently before
	// the epoch was written: it announced that it leaves, a new process has bound
	// its address, or an operator asserted that it has stopped.
	Stopped bool `cbor:"3,keyasint" json:"ended"`
	// PeerAddress is the address at which the member accepted peers' connections.
	PeerAddress string `cbor:"4,keyasint" json:"peer-address"`
}

// Transition is the difference between the members of an epoch and those of the
// epoch before it.
type Transition struct {
	Epoch Epoch `cbor:"1,keyasint" json:"epoch"`
	// Version is the version that began the epoch.
	Version Version `cbor:"2,keyasint" json:"version"`
	// Joined contains the names of the new members.
	Joined []string `cbor:"3,keyasint" json:"joined"`
	// Removed contains the members that were removed or replaced.
	Removed []RemovedMember `cbor:"4,keyasint" json:"left"`
}

// FormerMember is a member that was removed or replaced. Its key is kept so that members
// that join later can attest it: those that knew it may all have stopped at the same time.
type FormerMember struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Epoch is the first epoch without the member.
	Epoch Epoch `cbor:"2,keyasint" json:"epoch"`
	// UsageKey is its public key; see Member.
	UsageKey []byte `cbor:"3,keyasint" json:"usage-key"`
}

// formerEpochs is the number of epochs after which a former member leaves the record. Its
// key has been attested long before: an epoch takes at least a write to the store that
// most members accept, and keys are attested within about a second.
const formerEpochs = 64

// MemberChange is one batch of members that join and members that are removed.
type MemberChange struct {
	Join   []Member
	Remove []RemovedMember
	// Forced means that the change is written without waiting for the acceptance
	// of the epoch before. The earlier transitions are then kept in the record.
	Forced bool
}

// Empty reports whether c has no members to add or to remove.
func (c MemberChange) Empty() bool { return len(c.Join) == 0 && len(c.Remove) == 0 }

// WithMembers returns the record that results from applying c, one version and one
// epoch later. A joining member replaces the member of the same name, whose removal
// has Stopped set if both have the same peer address. It ignores a removal
// of an incarnation that isn't a member and a join of one that already is; if no
// change remains, it returns the record unchanged.
func (r Record) WithMembers(c MemberChange) Record {
	t := Transition{Epoch: r.Epoch + 1, Version: r.Version + 1}
	members := make(map[string]Member, len(r.Members)+len(c.Join))
	former := make(map[string]FormerMember)
	for _, m := range r.Members {
		members[m.Name] = m
	}
	for _, d := range c.Remove {
		if m, ok := members[d.Name]; ok && m.Incarnation == d.Incarnation {
			delete(members, d.Name)
			former[m.Incarnation] = FormerMember{Name: m.Name, Epoch: t.Epoch, UsageKey: m.UsageKey}
			d.PeerAddress = m.PeerAddress
			t.Removed = append(t.Removed, d)
		}
	}
	for _, m := range c.Join {
		old, ok := members[m.Name]
		if ok && old.Incarnation == m.Incarnation {
			continue
		}
		if ok {
			former[old.Incarnation] = FormerMember{Name: old.Name, Epoch: t.Epoch, UsageKey: old.UsageKey}
			stopped := old.PeerAddress == m.PeerAddress
			t.Removed = append(t.Removed, RemovedMember{
				Name: old.Name, Incarnation: old.Incarnation, Stopped: stopped, PeerAddress: old.PeerAddress,
			})
		}
		members[m.Name] = m
		t.Joined = append(t.Joined, m.Name)
	}
	if len(t.Joined) == 0 && len(t.Removed) == 0 {
		return r
	}
	slices.Sort(t.Joined)
	r.Members = sortedMembers(members)
	for k, f := range r.Former {
		if f.Epoch+formerEpochs > t.Epoch {
			former[k] = f
		}
	}
	r.Former = former
	r.Version, r.Epoch, r.EpochVersion = t.Version, t.Epoch, t.Version
	if c.Forced {
		r.Transitions = append(slices.Clone(r.Transitions), t)
	} else {
		r.Transitions = []Transition{t}
	}
	return r
}

// WithMember returns the record with m added, in a new epoch. It replaces a member
// of the same name. If this incarnation of m is already a member, it returns the
// record unchanged.
func (r Record) WithMember(m Member) Record {
	return r.WithMembers(MemberChange{Join: []Member{m}})
}

// WithoutMember returns the record without the member of this name and
// incarnation, in a new epoch. A member of that name with another incarnation is
// not removed.
func (r Record) WithoutMember(name, incarnation string) Record {
	return r.WithMembers(MemberChange{Remove: []RemovedMember{{Name: name, Incarnation: incarnation}}})
}

func sortedMembers(members map[string]Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Index returns the index in Members of the member with this name, or -1.
func (r Record) Index(name string) int {
	i, ok := slices.BinarySearchFunc(r.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	if !ok {
		return -1
	}
	return i
}
