package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/registrar"
)

// memberSet is a set of members of which a majority must hold the epoch: the current
// members, or the members before a transition.
type memberSet struct {
	// size is the number of members, and holders the number of those that count as
	// holding version.
	size    int
	holders int
	// version is the version that began the epoch.
	version registrar.Version
	// joinedLater has the names of current members that are not in the set.
	joinedLater map[string]bool
	// removedLater has the members of the set that have been removed since, and whether
	// they had stopped acting. A stopped member counts as holding every version.
	removedLater map[memberKey]bool
}

func (m memberSet) accepted() bool { return m.size == 0 || m.holders > m.size/2 }

// newMemberSets returns the sets that must hold r's epoch, with the current members
// last.
func newMemberSets(r registrar.Record) []memberSet {
	set := memberSet{size: len(r.Members), version: r.EpochVersion}
	sets := []memberSet{set}
	stopped := make(map[memberKey]bool)
	for _, t := range slices.Backward(r.Transitions) {
		set = set.beforeTransition(t, stopped)
		sets = append(sets, set)
	}
	for i, m := range sets {
		for k := range m.removedLater {
			m.removedLater[k] = stopped[k]
		}
		sets[i] = m
	}
	slices.Reverse(sets)
	return sets
}

// beforeTransition returns the set of the members before the transition t, given the set
// m of those after it. It adds the members that had stopped when they were removed to
// stopped.
func (m memberSet) beforeTransition(t registrar.Transition, stopped map[memberKey]bool) memberSet {
	b := memberSet{size: m.size - len(t.Joined) + len(t.Removed), version: m.version}
	b.joinedLater, b.removedLater = make(map[string]bool), make(map[memberKey]bool)
	for name := range m.joinedLater {
		b.joinedLater[name] = true
	}
	for k := range m.removedLater {
		b.removedLater[k] = false
	}
	for _, name := range t.Joined {
		b.excludeJoined(name)
	}
	for _, d := range t.Removed {
		k := memberKey{d.Name, d.Incarnation}
		b.removedLater[k] = false
		stopped[k] = stopped[k] || d.Stopped
	}
	return b
}

// excludeJoined excludes the member called name, which a transition added, from m. If a
// later transition removed the member, it is deleted from removedLater; otherwise it is
// a current member and is added to joinedLater.
func (m memberSet) excludeJoined(name string) {
	for k := range m.removedLater {
		if k.name == name {
			delete(m.removedLater, k)
			return
		}
	}
	m.joinedLater[name] = true
}

// holds reports whether p counts as holding v. A replaced process does, because it has
// ended and can no longer act under an earlier version.
func (p peer) holds(v registrar.Version) bool { return p.version >= v || p.replaced }

// withRecount returns s with the holders of the record counted anew.
func (s State) withRecount() State {
	if i := s.selfIndex(); i >= 0 {
		p := s.peers.at(i)
		p.version = s.record.Version
		s.peers = s.peers.with(i, p)
	}
	s.holders = 0
	s.sets = slices.Clone(s.sets)
	for i := range s.sets {
		s.sets[i].holders = s.removedHolders(s.sets[i])
	}
	for i, m := range s.record.Members {
		p := s.peers.at(i)
		if p.holds(s.record.Version) {
			s.holders++
		}
		for j := range s.sets {
			if p.holds(s.sets[j].version) && !s.sets[j].joinedLater[m.Name] {
				s.sets[j].holders++
			}
		}
	}
	return s
}

// removedHolders counts the members of m removed since that count as holding its
// version.
func (s State) removedHolders(m memberSet) int {
	n := 0
	for k, stopped := range m.removedLater {
		if stopped || s.departed[k] >= m.version {
			n++
		}
	}
	return n
}

// withPeer returns s with p as the state of member i, and with the counts of holders
// updated.
func (s State) withPeer(i int, p peer) State {
	old := s.peers.at(i)
	s.peers = s.peers.with(i, p)
	if !old.holds(s.record.Version) && p.holds(s.record.Version) {
		s.holders++
	}
	var sets []memberSet
	for j, m := range s.sets {
		if old.holds(m.version) || !p.holds(m.version) || m.joinedLater[s.record.Members[i].Name] {
			continue
		}
		if sets == nil {
			sets = slices.Clone(s.sets)
		}
		sets[j].holders++
	}
	if sets != nil {
		s.sets = sets
	}
	return s
}

// epochAccepted reports whether the epoch is known to be accepted.
func (s State) epochAccepted() bool {
	if s.accepted >= s.record.EpochVersion {
		return true
	}
	for _, m := range s.sets {
		if !m.accepted() {
			return false
		}
	}
	return true
}

// versionAccepted reports whether the record in force is known to be accepted.
func (s State) versionAccepted() bool {
	if s.accepted >= s.record.Version {
		return true
	}
	current := s.sets[len(s.sets)-1]
	return s.epochAccepted() && (current.size == 0 || s.holders > current.size/2)
}

// selfIndex returns the index of this incarnation in the record, or -1.
func (s State) selfIndex() int {
	i := s.record.Index(s.self.Name)
	if i < 0 || s.record.Members[i].Incarnation != s.self.Incarnation {
		return -1
	}
	return i
}
