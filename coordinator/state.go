package coordinator

import (
	"maps"
	"math"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// never is an instant that does not come.
const never timer.Millis = math.MaxInt64

// peer is what this host knows of one member.
type peer struct {
	// version is the newest that it is known to hold.
	version registrar.Version
	// heard is when a question to it was last answered.
	heard timer.Millis
	// replaced says that a newer process answers at its address.
	replaced bool
	draining bool
}

// memberKey names an incarnation.
type memberKey struct{ name, incarnation string }

// proof says that no version above version was accepted before sent.
type proof struct {
	sent    timer.Millis
	version registrar.Version
}

// round is one question to all members.
type round struct {
	id    uint64
	sent  timer.Millis
	epoch registrar.Epoch
	// answered has the members that answered, as a bit set.
	answered []uint64
	count    int
	// newest is the highest version that an answer named.
	newest registrar.Version
}

// joiner is a process that asks to become a member.
type joiner struct {
	member registrar.Member
	asked  timer.Millis
	// verified is the epoch during which a question to its address was answered
	// by this incarnation. A join heard from elsewhere may be an old message of
	// an incarnation that ended.
	verified registrar.Epoch
}

// complaint is the list of members that one member does not hear.
type complaint struct {
	names []string
	at    timer.Millis
}

// pending is an operator's change on its way.
type pending struct {
	token    Token
	id       string
	change   registrar.Change
	deadline timer.Millis
	// after is the last read of the store that began before the change came.
	after uint64
	// version is where it was written, or zero.
	version registrar.Version
	// maybe says that a write of it was sent whose answer is not known.
	maybe bool
}

// waiter is a relay question that waits for a read begun after it.
type waiter struct {
	token Token
	after uint64
}

// storeState is what is known of the store and of calls to it.
type storeState struct {
	// version and record belong together; fresh says that no write since may
	// have changed them.
	version storer.Version
	record  registrar.Version
	fresh   bool
	// known says that the store was read at least once.
	known bool
	// read counts reads; reading says that the last one is not answered.
	read     uint64
	reading  bool
	readSent timer.Millis
	// done is the last read that was answered with a value.
	done uint64
	// write counts writes; writing has the one that is not answered.
	write   uint64
	writing *writing
	// notBefore keeps reads apart; failures counts those in a row.
	notBefore timer.Millis
	failures  int
}

// writing is a write on its way.
type writing struct {
	record registrar.Record
	// ids are the operators' changes that it carries.
	ids []string
}

// State is the whole state of the protocol on one host. It is immutable: Step
// returns another one and shares what did not change.
type State struct {
	timing Timing
	self   registrar.Member
	seeds  []Target

	record registrar.Record
	index  *assigner.Index
	peers  vector[peer]
	// departed has the versions held by incarnations that left lately.
	departed map[memberKey]registrar.Version
	// sets are the member sets that must hold the epoch, the present one last.
	sets []memberSet
	// holders counts members known to hold record.Version.
	holders  int
	accepted registrar.Version
	settled  registrar.Epoch
	// layers are the epochs that may still have permissions, newest first.
	layers []layer

	permittedUntil timer.Millis
	permitted      bool
	proofs         []proof
	rounds         []round
	nextRound      uint64
	askAt          timer.Millis
	relays         []Target
	relay          bool

	store    storeState
	waiters  []waiter
	fetching timer.Millis

	joining    map[string]joiner
	complaints map[string]complaint
	// due is the change of members that this host must write now.
	due registrar.MemberChange
	// workSince is when a change of members was first due, or never.
	workSince timer.Millis
	// joinAt is when this host may ask to become a member.
	joinAt  timer.Millis
	changes []pending

	draining bool
	ended    bool
	leaving  []Token
	ticked   timer.Millis
}

// New returns the state of a process that just started as self and knows
// nothing. Seeds are addresses of hosts to fetch the record from when the
// store does not answer.
func New(self registrar.Member, seeds []string, timing Timing, now timer.Millis) State {
	s := State{
		timing: timing, self: self, workSince: never, askAt: now, joinAt: now,
		index: assigner.NewIndex(nil),
	}
	for _, a := range seeds {
		if a != self.PeerAddress {
			s.seeds = append(s.seeds, Target{Address: a})
		}
	}
	return s.withRecord(registrar.Record{}, now)
}

// Record returns the record in force.
func (s State) Record() registrar.Record { return s.record }

// Accepted returns the newest version known to be accepted.
func (s State) Accepted() registrar.Version { return s.accepted }

// Settled returns the newest epoch known to be settled.
func (s State) Settled() registrar.Epoch { return s.settled }

// PermittedUntil returns the end of this host's permission.
func (s State) PermittedUntil() timer.Millis { return s.permittedUntil }

// Relay says whether this host reads the store for others.
func (s State) Relay() bool { return s.relay }

// Member says whether this incarnation is a member.
func (s State) Member() bool { return s.record.HasMember(s.self.Name, s.self.Incarnation) }

// withRecord puts r, which must be newer, in force.
func (s State) withRecord(r registrar.Record, now timer.Millis) State {
	old := s.record
	s.record = r
	if r.Epoch == old.Epoch && old.Version > 0 {
		return s.recounted()
	}
	return s.withEpoch(old, now).recounted()
}

// withEpoch makes what depends on the members afresh, after s.record replaced old.
func (s State) withEpoch(old registrar.Record, now timer.Millis) State {
	s.departed = s.departedAfter(old)
	s.peers = s.peersAfter(old, now)
	names := make([]string, len(s.record.Members))
	for i, m := range s.record.Members {
		names[i] = m.Name
	}
	s.index = s.index.Next(names)
	s.sets = newMemberSets(s.record)
	s.layers = s.layersAfter(old, now)
	s.rounds = nil
	s.askAt = now
	s.workSince = never
	s.due = registrar.MemberChange{}
	s.complaints = nil
	s.joining = s.joiningAfter()
	s = s.withRelays()
	if old.HasMember(s.self.Name, s.self.Incarnation) && !s.Member() {
		s.joinAt = now + s.timing.Rejoin
	}
	return s
}

func (s State) peersAfter(old registrar.Record, now timer.Millis) vector[peer] {
	peers := newVector[peer](len(s.record.Members))
	for i, m := range s.record.Members {
		p := peer{heard: now, version: s.departed[memberKey{m.Name, m.Incarnation}]}
		if j := old.Index(m.Name); j >= 0 && old.Members[j].Incarnation == m.Incarnation {
			p = s.peers.at(j)
		}
		if m.Name == s.self.Name && m.Incarnation != s.self.Incarnation {
			p.replaced = m.PeerAddress == s.self.PeerAddress
		}
		peers.set(i, p)
	}
	return peers
}

func (s State) departedAfter(old registrar.Record) map[memberKey]registrar.Version {
	departed := maps.Clone(s.departed)
	if departed == nil {
		departed = make(map[memberKey]registrar.Version)
	}
	for i, m := range old.Members {
		if !s.record.HasMember(m.Name, m.Incarnation) {
			departed[memberKey{m.Name, m.Incarnation}] = s.peers.at(i).version
		}
	}
	return departed
}

func (s State) joiningAfter() map[string]joiner {
	joining := make(map[string]joiner)
	for name, j := range s.joining {
		if !s.record.HasMember(name, j.member.Incarnation) {
			joining[name] = j
		}
	}
	return joining
}

// relaysPerDataCentre is how many hosts of a data centre read the store.
const relaysPerDataCentre = 2

// withRelays picks the relays of this host's data centre, or of the fleet when
// no member is in it.
func (s State) withRelays() State {
	type scored struct {
		target Target
		score  uint64
	}
	var near, all []scored
	for _, m := range s.record.Members {
		c := scored{Target{m.Name, m.PeerAddress}, assigner.Score("relay/"+m.DataCentre, m.Name)}
		if m.DataCentre == s.self.DataCentre {
			near = append(near, c)
		}
		all = append(all, c)
	}
	if len(near) == 0 {
		near = all
	}
	slices.SortFunc(near, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	s.relays, s.relay = nil, !s.Member()
	for _, c := range near[:min(len(near), relaysPerDataCentre)] {
		if c.target.Name == s.self.Name {
			s.relay = true
			continue
		}
		s.relays = append(s.relays, c.target)
	}
	return s
}

// Snapshot returns what traffic may know.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		Record: s.record, Self: s.self,
		PermittedUntil: s.permittedUntil, OwnsFrom: s.ownsFrom(),
		Draining: s.draining, index: s.index, peers: s.peers,
		departed: s.departed, layers: s.layers, settled: s.settled,
	}
}
