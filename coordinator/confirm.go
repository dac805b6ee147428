package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// ask begins a round: a question to every member, to the joining hosts, and to
// a relay or the store.
func (t *step) ask() {
	t.askAt = t.now + t.interval()
	t.nextRound++
	r := round{id: t.nextRound, sent: t.now, epoch: t.record.Epoch, newest: t.record.Version}
	r.answered = make([]uint64, (len(t.record.Members)+63)/64)
	if i := t.selfIndex(); i >= 0 && !t.ended {
		r = r.with(i)
	}
	t.rounds = append(slices.Clone(t.rounds), r)
	if targets := t.targets(); len(targets) > 0 {
		t.emit(Ask{Round: r.id, Targets: targets, Question: t.question()})
	}
	t.useRound(r)
	t.askRelay(r.id)
}

// interval is the time to the next round.
func (t *step) interval() timer.Millis {
	waiting := len(t.leaving) > 0
	for _, c := range t.changes {
		waiting = waiting || c.version > 0
	}
	if waiting || t.record.Version == 0 || (t.workSince != never && !t.epochAccepted()) {
		return t.timing.Fast
	}
	return t.timing.Confirm
}

func (t *step) question() Question {
	q := Question{Report: t.report(), Address: t.self.PeerAddress, Unheard: t.unheard()}
	if t.joinDue() {
		self := t.self
		q.Joining = &self
	}
	return q
}

func (t *step) targets() []Target {
	var targets []Target
	for _, m := range t.record.Members {
		if m.Name == t.self.Name {
			continue
		}
		targets = append(targets, Target{m.Name, m.PeerAddress})
	}
	for _, j := range t.joiners() {
		if _, ok := t.record.Member(j.member.Name); !ok {
			targets = append(targets, Target{j.member.Name, j.member.PeerAddress})
		}
	}
	if t.record.Version == 0 {
		targets = append(targets, t.seeds...)
	}
	return targets
}

// askRelay asks for a read of the store, here or at a relay.
func (t *step) askRelay(id uint64) {
	if t.relay || len(t.relays) == 0 {
		t.readDue()
		return
	}
	relay := t.relays[int(id)%len(t.relays)]
	t.emit(AskRelay{Round: id, Address: relay.Address})
}

// with counts member i as having answered.
func (r round) with(i int) round {
	word, bit := i/64, uint64(1)<<(i%64)
	if r.answered[word]&bit != 0 {
		return r
	}
	r.answered = slices.Clone(r.answered)
	r.answered[word] |= bit
	r.count++
	return r
}

func (t *step) dropOldRounds() {
	oldest := t.now - t.timing.Late
	if len(t.rounds) > 0 && t.rounds[0].sent < oldest {
		t.rounds = slices.DeleteFunc(slices.Clone(t.rounds), func(r round) bool { return r.sent < oldest })
	}
}

// questioned answers a peer. A host that has ended confirms nothing.
func (t *step) questioned(e Questioned) {
	q := e.Question
	t.merge(q.Report, q.Address)
	if q.Joining != nil {
		t.wantsToJoin(*q.Joining)
	}
	t.complain(q)
	t.emit(ReplyReport{Token: e.Token, Report: t.report()})
}

// reported counts an answer. It confirms only when it came from the very
// incarnation that is a member.
func (t *step) reported(e Reported) {
	t.merge(e.Report, e.Address)
	r := slices.IndexFunc(t.rounds, func(r round) bool { return r.id == e.Round })
	if r < 0 || t.rounds[r].epoch != t.record.Epoch {
		return
	}
	t.verify(e)
	t.departedReplaced(e)
	i := t.record.Index(e.Report.Name)
	if i < 0 {
		return
	}
	m := t.record.Members[i]
	if m.Incarnation != e.Report.Incarnation {
		t.replaced(i, e)
		return
	}
	p := t.peers.at(i)
	p.heard = t.now
	t.State = t.withPeer(i, p)
	t.rounds = slices.Clone(t.rounds)
	t.rounds[r] = t.rounds[r].with(i)
	t.rounds[r].newest = max(t.rounds[r].newest, e.Report.Version)
	t.useRound(t.rounds[r])
}

// replaced notes that a newer process answers at the address of member i. The
// question was sent when the record already named the member, so the answer is
// not that of an earlier incarnation.
func (t *step) replaced(i int, e Reported) {
	m := t.record.Members[i]
	p := t.peers.at(i)
	if e.Name != m.Name || e.Address != m.PeerAddress || p.replaced || m.Name == t.self.Name {
		return
	}
	p.replaced = true
	t.State = t.withPeer(i, p)
	t.changed = true
}

// departedReplaced notes that a newer process answers at the address of a member
// that left in this epoch's transitions: that member has ended.
func (t *step) departedReplaced(e Reported) {
	if t.settled >= t.record.Epoch {
		return
	}
	for _, c := range t.record.Transitions {
		for _, d := range c.Removed {
			k := memberKey{d.Name, d.Incarnation}
			same := d.Name == e.Report.Name && d.PeerAddress == e.Address
			if same && d.Incarnation != e.Report.Incarnation && t.departed[k] < t.record.Version {
				t.holdDeparted(k, t.record.Version)
			}
		}
	}
}

// useRound extends the permission when a majority of the members answered and
// none of them holds a newer version than this host.
func (t *step) useRound(r round) {
	if r.epoch != t.record.Epoch || r.newest > t.record.Version || len(t.record.Members) == 0 {
		return
	}
	if r.count > len(t.record.Members)/2 {
		t.permit(r.sent)
	}
}

// permit extends the permission to what a question sent at sent allows.
func (t *step) permit(sent timer.Millis) {
	until := sent + t.timing.Permission
	if t.ended || until <= t.permittedUntil || t.record.Version == 0 {
		return
	}
	t.permittedUntil = until
	t.changed = true
}

// prove takes in that the store held version at some instant after sent.
func (t *step) prove(sent timer.Millis, version registrar.Version) {
	t.proofs = append(slices.Clone(t.proofs), proof{sent, version})
	t.useProofs()
}

func (t *step) useProofs() {
	var left []proof
	for _, p := range t.proofs {
		switch {
		case p.version <= t.record.Version:
			t.permit(p.sent)
		case p.sent+t.timing.Permission > t.now:
			left = append(left, p)
		}
	}
	t.proofs = left
}

func (t *step) relayReported(e RelayReported) {
	r := slices.IndexFunc(t.rounds, func(r round) bool { return r.id == e.Round })
	if e.Failed || e.Report.Unavailable || r < 0 {
		return
	}
	if e.Report.Version > t.record.Version {
		t.fetch(e.Address)
	}
	t.prove(t.rounds[r].sent, e.Report.Version)
}
