package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// startRound begins a confirmation round: a request to every member and to the joining
// hosts, and a read of the store, directly or through a relay.
func (t *step) startRound() {
	t.nextRoundAt = t.now + t.roundInterval()
	t.lastRound++
	r := round{id: t.lastRound, sent: t.now, epoch: t.record.Epoch, newest: t.record.Version}
	r.responded = make([]uint64, (len(t.record.Members)+63)/64)
	if i := t.selfIndex(); i >= 0 && !t.stopped {
		r = r.withResponse(i)
	}
	t.rounds = append(slices.Clone(t.rounds), r)
	if targets := t.targets(); len(targets) > 0 {
		t.emit(QueryReports{Round: r.id, Targets: targets, Request: t.reportRequest()})
	}
	t.applyRound(r)
	t.queryStore(r.id)
}

// roundInterval returns the time until the next round.
func (t *step) roundInterval() timer.Millis {
	waiting := len(t.leaveTokens) > 0
	for _, c := range t.changes {
		waiting = waiting || c.version > 0
	}
	if waiting || t.record.Version == 0 || (t.changeNeededSince != never && !t.epochAccepted()) {
		return t.timing.FastConfirmInterval
	}
	return t.timing.ConfirmInterval
}

// reportRequest returns the request that this host sends in a round.
func (t *step) reportRequest() ReportRequest {
	q := ReportRequest{Report: t.report(), Address: t.self.PeerAddress, Unreachable: t.unreachable()}
	if t.joinDue() {
		self := t.self
		q.Joining = &self
	}
	return q
}

// targets returns the hosts that a round queries: the other members, the joining
// hosts, and the seeds as long as there is no record.
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

// queryStore reads the store if this host reads it itself or there is no relay, and
// otherwise requests a read from the relays in turn.
func (t *step) queryStore(id uint64) {
	if t.readsStore || len(t.relays) == 0 {
		t.startRead()
		return
	}
	relay := t.relays[int(id)%len(t.relays)]
	t.emit(QueryRelay{Round: id, Address: relay.Address})
}

// withResponse returns r with member i counted as having responded.
func (r round) withResponse(i int) round {
	word, bit := i/64, uint64(1)<<(i%64)
	if r.responded[word]&bit != 0 {
		return r
	}
	r.responded = slices.Clone(r.responded)
	r.responded[word] |= bit
	r.responses++
	return r
}

// dropOldRounds drops the rounds whose responses have timed out.
func (t *step) dropOldRounds() {
	oldest := t.now - t.timing.RequestTimeout
	if len(t.rounds) > 0 && t.rounds[0].sent < oldest {
		t.rounds = slices.DeleteFunc(slices.Clone(t.rounds), func(r round) bool { return r.sent < oldest })
	}
}

// handleReportRequested answers a peer with this host's Report.
func (t *step) handleReportRequested(e ReportRequested) {
	q := e.Request
	t.mergeReport(q.Report, q.Address)
	if q.Joining != nil {
		t.recordJoinRequest(*q.Joining)
	}
	t.recordUnreachable(q)
	t.emit(ReplyReport{Token: e.Token, Report: t.report()})
}

// handleReportReceived counts a response towards its round. A response counts only if
// it is from the incarnation that is a member.
func (t *step) handleReportReceived(e ReportReceived) {
	t.mergeReport(e.Report, e.Address)
	r := slices.IndexFunc(t.rounds, func(r round) bool { return r.id == e.Round })
	if r < 0 || t.rounds[r].epoch != t.record.Epoch {
		return
	}
	t.verifyJoiner(e)
	t.markDepartedReplaced(e)
	i := t.record.Index(e.Report.Name)
	if i < 0 {
		return
	}
	m := t.record.Members[i]
	if m.Incarnation != e.Report.Incarnation {
		t.markReplaced(i, e)
		return
	}
	p := t.peers.at(i)
	p.lastResponse = t.now
	t.State = t.withPeer(i, p)
	t.rounds = slices.Clone(t.rounds)
	t.rounds[r] = t.rounds[r].withResponse(i)
	t.rounds[r].newest = max(t.rounds[r].newest, e.Report.Version)
	t.applyRound(t.rounds[r])
}

// markReplaced records that a newer process responds at the address of member i. The
// request was sent when the record already had the member, so the response is not
// from an earlier incarnation.
func (t *step) markReplaced(i int, e ReportReceived) {
	m := t.record.Members[i]
	p := t.peers.at(i)
	if e.Name != m.Name || e.Address != m.PeerAddress || p.replaced || m.Name == t.self.Name {
		return
	}
	p.replaced = true
	t.State = t.withPeer(i, p)
	t.snapshotChanged = true
}

// markDepartedReplaced records that a newer process responds at the address of a
// member that one of the record's Transitions removed. The removed incarnation has
// therefore ended, and counts as holding the record, which it need not have had.
func (t *step) markDepartedReplaced(e ReportReceived) {
	if t.settled >= t.record.Epoch {
		return
	}
	for _, c := range t.record.Transitions {
		for _, d := range c.Removed {
			k := memberKey{d.Name, d.Incarnation}
			same := d.Name == e.Report.Name && d.PeerAddress == e.Address
			if same && d.Incarnation != e.Report.Incarnation && t.departed[k] < t.record.Version {
				t.setDepartedVersion(k, t.record.Version)
			}
		}
	}
}

// applyRound extends the permission if a majority of the members responded and none of
// them holds a newer version than this host.
func (t *step) applyRound(r round) {
	if r.epoch != t.record.Epoch || r.newest > t.record.Version || len(t.record.Members) == 0 {
		return
	}
	if r.responses > len(t.record.Members)/2 {
		t.extendPermission(r.sent)
	}
}

// extendPermission extends the permission to that of a request sent at sent. It has no
// effect once this host has stopped acting.
func (t *step) extendPermission(sent timer.Millis) {
	until := sent + t.timing.PermissionDuration
	if t.stopped || until <= t.permittedUntil || t.record.Version == 0 {
		return
	}
	t.permittedUntil = until
	t.snapshotChanged = true
}

// addProof records that the store held version at some instant after sent.
func (t *step) addProof(sent timer.Millis, version registrar.Version) {
	t.proofs = append(slices.Clone(t.proofs), storeProof{sent, version})
	t.applyProofs()
}

// applyProofs extends the permission by the proofs for which the record in force is
// new enough, and drops those that have expired.
func (t *step) applyProofs() {
	var left []storeProof
	for _, p := range t.proofs {
		switch {
		case p.version <= t.record.Version:
			t.extendPermission(p.sent)
		case p.sent+t.timing.PermissionDuration > t.now:
			left = append(left, p)
		}
	}
	t.proofs = left
}

func (t *step) handleRelayResponse(e RelayResponseReceived) {
	r := slices.IndexFunc(t.rounds, func(r round) bool { return r.id == e.Round })
	if e.Failed || e.Response.Unavailable || r < 0 {
		return
	}
	if e.Response.Version > t.record.Version {
		t.fetch(e.Address)
	}
	t.addProof(t.rounds[r].sent, e.Response.Version)
}
