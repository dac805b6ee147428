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

// never is an instant that is not reached.
const never timer.Millis = math.MaxInt64

// peer is the state of one member as far as this host has received it.
type peer struct {
	// version is the newest version that the member is known to hold.
	version registrar.Version
	// lastResponse is when the member last responded to this host.
	lastResponse timer.Millis
	// replaced reports whether a newer process responds at the member's address.
	replaced bool
	draining bool
}

// memberKey identifies an incarnation.
type memberKey struct{ name, incarnation string }

// storeProof shows that no version above version had been accepted before sent: the
// store held it at some later instant.
type storeProof struct {
	sent    timer.Millis
	version registrar.Version
}

// round is one request to all members, by which this host renews its permission.
type round struct {
	id    uint64
	sent  timer.Millis
	epoch registrar.Epoch
	// responded is the bit set of the members that responded, responses their number.
	responded []uint64
	responses int
	// newest is the highest version in the responses, and at least this host's own at
	// the start of the round.
	newest registrar.Version
}

// joiner is a process that requests to become a member.
type joiner struct {
	member      registrar.Member
	requestedAt timer.Millis
	// verified is the epoch during which this incarnation responded to a request sent
	// to its address. The request to join alone is no proof that the process runs: it
	// may be a delayed message of an incarnation that has ended.
	verified registrar.Epoch
}

// unreachableReport has the members that are unreachable according to one member.
type unreachableReport struct {
	names []string
	at    timer.Millis
}

// pendingChange is an operator's change that has not been answered.
type pendingChange struct {
	token    Token
	id       string
	change   registrar.Change
	deadline timer.Millis
	// afterRead is the last read of the store that began before the change arrived.
	afterRead uint64
	// version is the version that has the change, or zero if it was not found yet.
	version registrar.Version
	// maybeWritten reports whether the outcome of a write of the change is unknown.
	maybeWritten bool
}

// pendingRelayRequest is a request that waits for a read of the store that begins after it
// arrived.
type pendingRelayRequest struct {
	token     Token
	afterRead uint64
}

// storeState is the state of the store as last read, and of the calls to it.
type storeState struct {
	// version is the store's version and recordVersion that of the record in it, as last
	// read. fresh is true from a read that returned while no write of this host was in
	// flight until this host starts a write.
	version       storer.Version
	recordVersion registrar.Version
	fresh         bool
	// known reports whether the store was read at least once. Nothing reads it.
	known bool
	// lastRead is the number of the last read; readInFlight reports whether it has not
	// finished.
	lastRead     uint64
	readInFlight bool
	readSent     timer.Millis
	// answeredRead is the number of the last read that returned a value.
	answeredRead uint64
	// lastWrite is the number of the last write; writeInFlight has that write until it
	// has finished, or is nil.
	lastWrite     uint64
	writeInFlight *pendingWrite
	// writeSingly is set once a record with several changes was too large, until no change
	// waits to be written: each is then written alone, so that only those that do not fit
	// are refused.
	writeSingly bool
	// retryAt is the end of the back-off after failures consecutive failed reads.
	retryAt  timer.Millis
	failures int
}

// pendingWrite is a write in flight.
type pendingWrite struct {
	record registrar.Record
	// ids has the identifiers of the operators' changes in the write.
	ids []string
}

// State is the state of the protocol on one host. It is immutable: Step returns a new
// State, which shares the unchanged parts.
type State struct {
	timing Timing
	self   registrar.Member
	seeds  []Target

	record registrar.Record
	index  *assigner.Index
	peers  vector[peer]
	// departed has the versions that the incarnations removed since the last settled
	// epoch hold, or count as holding because they have ended.
	departed map[memberKey]registrar.Version
	// sets has the member sets that must hold the epoch, with the current members last.
	sets []memberSet
	// holders is the number of members known to hold record.Version.
	holders  int
	accepted registrar.Version
	// settled is the newest epoch known to be settled, see Report.
	settled registrar.Epoch
	// epochs has the held epochs, newest first.
	epochs []heldEpoch

	// permittedUntil is when this host's permission ends. loggedPermitted is whether the
	// last log entry reported that this host has a permission; nothing else uses it.
	permittedUntil  timer.Millis
	loggedPermitted bool
	proofs          []storeProof
	rounds          []round
	lastRound       uint64
	nextRoundAt     timer.Millis
	relays          []Target
	// readsStore reports whether this host reads the store itself: it is a relay, or not
	// a member.
	readsStore bool

	store         storeState
	relayRequests []pendingRelayRequest
	// fetchUntil is when a fetch of the record in flight times out, or zero.
	fetchUntil timer.Millis

	joining            map[string]joiner
	unreachableReports map[string]unreachableReport
	// dueChange is the change of members that this host must write now.
	dueChange registrar.MemberChange
	// changeNeededSince is when a change of members was first needed, or never.
	changeNeededSince timer.Millis
	// joinAt is when this host may request to become a member.
	joinAt  timer.Millis
	changes []pendingChange

	draining bool
	// stopped reports whether this host has stopped acting, permanently.
	stopped     bool
	leaveTokens []Token
	lastTick    timer.Millis
}

// New returns the initial state of the process self, which has no record. Seeds are the
// peer addresses of hosts from which the record can be fetched when the store is
// unavailable.
func New(self registrar.Member, seeds []string, timing Timing, now timer.Millis) State {
	s := State{
		timing: timing, self: self, changeNeededSince: never, nextRoundAt: now, joinAt: now,
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

// PermittedUntil returns the instant at which this host's permission ends.
func (s State) PermittedUntil() timer.Millis { return s.permittedUntil }

// ReadsStore reports whether this host reads the store itself: it is a relay, which also
// reads it for others, or not a member.
func (s State) ReadsStore() bool { return s.readsStore }

// Member reports whether this incarnation is a member.
func (s State) Member() bool { return s.record.HasMember(s.self.Name, s.self.Incarnation) }

// withRecord returns s with r, which must be newer, in force.
func (s State) withRecord(r registrar.Record, now timer.Millis) State {
	old := s.record
	s.record = r
	if r.Epoch == old.Epoch && old.Version > 0 {
		return s.withRecount()
	}
	return s.withEpoch(old, now).withRecount()
}

// withEpoch returns s with everything that depends on the members derived anew, after
// s.record replaced old at now.
func (s State) withEpoch(old registrar.Record, now timer.Millis) State {
	s.departed = s.departedAfter(old)
	s.peers = s.peersAfter(old, now)
	names := make([]string, len(s.record.Members))
	for i, m := range s.record.Members {
		names[i] = m.Name
	}
	s.index = s.index.Next(names)
	s.sets = newMemberSets(s.record)
	s.epochs = s.epochsAfter(old, now)
	s.rounds = nil
	s.nextRoundAt = now
	s.changeNeededSince = never
	s.dueChange = registrar.MemberChange{}
	s.unreachableReports = nil
	s.joining = s.joiningAfter()
	s = s.withRelays()
	if old.HasMember(s.self.Name, s.self.Incarnation) && !s.Member() {
		s.joinAt = now + s.timing.RejoinDelay
	}
	return s
}

// peersAfter returns the states of the members of s.record. Those of new members begin
// at now.
func (s State) peersAfter(old registrar.Record, now timer.Millis) vector[peer] {
	peers := newVector[peer](len(s.record.Members))
	for i, m := range s.record.Members {
		p := peer{lastResponse: now, version: s.departed[memberKey{m.Name, m.Incarnation}]}
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

// departedAfter adds the members of old that s.record no longer has.
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

// joiningAfter leaves out the joiners that s.record has as members.
func (s State) joiningAfter() map[string]joiner {
	joining := make(map[string]joiner)
	for name, j := range s.joining {
		if !s.record.HasMember(name, j.member.Incarnation) {
			joining[name] = j
		}
	}
	return joining
}

// relaysPerDataCentre is the number of hosts in each data centre that read the store
// for the others. The others alternate between them, so that one may be unavailable.
const relaysPerDataCentre = 2

// withRelays returns s with the relays of this host's data centre, or of the fleet if
// no member is in it. All hosts select the same relays for a data centre.
func (s State) withRelays() State {
	type scored struct {
		target Target
		score  uint64
	}
	var local, all []scored
	for _, m := range s.record.Members {
		c := scored{Target{m.Name, m.PeerAddress}, assigner.Score("relay/"+m.DataCentre, m.Name)}
		if m.DataCentre == s.self.DataCentre {
			local = append(local, c)
		}
		all = append(all, c)
	}
	if len(local) == 0 {
		local = all
	}
	slices.SortFunc(local, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	s.relays, s.readsStore = nil, !s.Member()
	for _, c := range local[:min(len(local), relaysPerDataCentre)] {
		if c.target.Name == s.self.Name {
			s.readsStore = true
			continue
		}
		s.relays = append(s.relays, c.target)
	}
	return s
}

// Snapshot returns the view of s for the request path.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		Record: s.record, Self: s.self,
		PermittedUntil: s.permittedUntil, OwnsFrom: s.ownsFrom(),
		Draining: s.draining, index: s.index, peers: s.peers,
		departed: s.departed, epochs: s.epochs, settled: s.settled,
	}
}
