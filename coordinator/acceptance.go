package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/registrar"
)

// memberSet is one set of members of which a majority must hold the epoch: the
// present one, or the one before a transition.
type memberSet struct {
	// size is the number of members, holders how many count as holding.
	size    int
	holders int
	// version is what they must hold: the version that began the epoch.
	version registrar.Version
	// without are present members that were not in the set.
	without map[string]bool
	// extra are members of the set that left since; ended ones count at once.
	extra map[memberKey]bool
}

func (m memberSet) accepted() bool { return m.size == 0 || m.holders > m.size/2 }

// newMemberSets returns the sets that must hold r's epoch, the present last.
func newMemberSets(r registrar.Record) []memberSet {
	set := memberSet{size: len(r.Members), version: r.EpochVersion}
	sets := []memberSet{set}
	ended := make(map[memberKey]bool)
	for _, t := range slices.Backward(r.Transitions) {
		set = set.before(t, ended)
		sets = append(sets, set)
	}
	for i, m := range sets {
		for k := range m.extra {
			m.extra[k] = ended[k]
		}
		sets[i] = m
	}
	slices.Reverse(sets)
	return sets
}

// before returns the set from which t made m.
func (m memberSet) before(t registrar.Transition, ended map[memberKey]bool) memberSet {
	b := memberSet{size: m.size - len(t.Joined) + len(t.Removed), version: m.version}
	b.without, b.extra = make(map[string]bool), make(map[memberKey]bool)
	for name := range m.without {
		b.without[name] = true
	}
	for k := range m.extra {
		b.extra[k] = false
	}
	for _, name := range t.Joined {
		b.dropJoined(name)
	}
	for _, d := range t.Removed {
		k := memberKey{d.Name, d.Incarnation}
		b.extra[k] = false
		ended[k] = ended[k] || d.Stopped
	}
	return b
}

// dropJoined takes out the entry of name that a transition added. It is the
// present member, or one that a later transition took out again.
func (m memberSet) dropJoined(name string) {
	for k := range m.extra {
		if k.name == name {
			delete(m.extra, k)
			return
		}
	}
	m.without[name] = true
}

// holds says whether p counts as holding v: a replaced process is dead.
func (p peer) holds(v registrar.Version) bool { return p.version >= v || p.replaced }

// recounted counts afresh who holds the record.
func (s State) recounted() State {
	if i := s.selfIndex(); i >= 0 {
		p := s.peers.at(i)
		p.version = s.record.Version
		s.peers = s.peers.with(i, p)
	}
	s.holders = 0
	s.sets = slices.Clone(s.sets)
	for i := range s.sets {
		s.sets[i].holders = s.extraHolders(s.sets[i])
	}
	for i, m := range s.record.Members {
		p := s.peers.at(i)
		if p.holds(s.record.Version) {
			s.holders++
		}
		for j := range s.sets {
			if p.holds(s.sets[j].version) && !s.sets[j].without[m.Name] {
				s.sets[j].holders++
			}
		}
	}
	return s
}

func (s State) extraHolders(m memberSet) int {
	n := 0
	for k, ended := range m.extra {
		if ended || s.departed[k] >= m.version {
			n++
		}
	}
	return n
}

// withPeer replaces what is known of member i and counts the difference.
func (s State) withPeer(i int, p peer) State {
	old := s.peers.at(i)
	s.peers = s.peers.with(i, p)
	if !old.holds(s.record.Version) && p.holds(s.record.Version) {
		s.holders++
	}
	var sets []memberSet
	for j, m := range s.sets {
		if old.holds(m.version) || !p.holds(m.version) || m.without[s.record.Members[i].Name] {
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

// epochAccepted says whether the epoch is known to be accepted.
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

// versionAccepted says whether the record in force is known to be accepted.
func (s State) versionAccepted() bool {
	if s.accepted >= s.record.Version {
		return true
	}
	present := s.sets[len(s.sets)-1]
	return s.epochAccepted() && (present.size == 0 || s.holders > present.size/2)
}

func (s State) selfIndex() int {
	i := s.record.Index(s.self.Name)
	if i < 0 || s.record.Members[i].Incarnation != s.self.Incarnation {
		return -1
	}
	return i
}
