package coordinator

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// joinDue reports whether this host should request to become a member.
func (s State) joinDue() bool {
	return !s.stopped && !s.draining && !s.Member() && s.lastTick >= s.joinAt
}

// recordJoinRequest records that m requests to become a member. It is proposed only
// after it responded to a request of this host (see verifyJoiner).
func (t *step) recordJoinRequest(m registrar.Member) {
	if t.record.HasMember(m.Name, m.Incarnation) || m.Name == t.self.Name {
		return
	}
	j := t.joining[m.Name]
	if j.member.Incarnation != m.Incarnation {
		j = joiner{member: m}
		t.nextRoundAt = min(t.nextRoundAt, t.now+t.timing.FastConfirmInterval)
	}
	j.requestedAt = t.now
	t.joining = maps.Clone(t.joining)
	t.joining[m.Name] = j
}

// verifyJoiner records that a joining host responded during this epoch.
func (t *step) verifyJoiner(e ReportReceived) {
	j, ok := t.joining[e.Report.Name]
	if !ok || j.member.Incarnation != e.Report.Incarnation || j.member.PeerAddress != e.Address {
		return
	}
	j.verified = t.record.Epoch
	t.joining = maps.Clone(t.joining)
	t.joining[e.Report.Name] = j
}

// dropInactiveJoiners drops the hosts that no longer request to join.
func (t *step) dropInactiveJoiners() {
	for name, j := range t.joining {
		if t.now-j.requestedAt > t.timing.UnreachableTimeout {
			t.joining = maps.Clone(t.joining)
			delete(t.joining, name)
		}
	}
}

// joiners returns the joining hosts, sorted by name.
func (s State) joiners() []joiner {
	out := make([]joiner, 0, len(s.joining))
	for _, name := range slices.Sorted(maps.Keys(s.joining)) {
		out = append(out, s.joining[name])
	}
	return out
}

// recordUnreachable records which members are unreachable according to a member.
func (t *step) recordUnreachable(q ReportRequest) {
	if !t.record.HasMember(q.Report.Name, q.Report.Incarnation) {
		return
	}
	_, had := t.unreachableReports[q.Report.Name]
	if len(q.Unreachable) == 0 && !had {
		return
	}
	t.unreachableReports = maps.Clone(t.unreachableReports)
	if t.unreachableReports == nil {
		t.unreachableReports = make(map[string]unreachableReport)
	}
	if len(q.Unreachable) == 0 {
		delete(t.unreachableReports, q.Report.Name)
		return
	}
	t.unreachableReports[q.Report.Name] = unreachableReport{q.Unreachable, t.now}
}

// unreachable returns the names of the members that have not responded to this host
// for Timing.UnreachableTimeout.
func (t *step) unreachable() []string {
	var names []string
	for i, m := range t.record.Members {
		if m.Name != t.self.Name && t.now-t.peers.at(i).lastResponse > t.timing.UnreachableTimeout {
			names = append(names, m.Name)
		}
	}
	return names
}

// unreachableByMajority returns the names of the members that are unreachable from this
// host and from a majority of the members, itself included.
func (t *step) unreachableByMajority() []string {
	if !t.Member() {
		return nil
	}
	counts := make(map[string]int)
	for _, name := range t.unreachable() {
		counts[name]++
	}
	if len(counts) == 0 {
		return nil
	}
	for _, c := range t.unreachableReports {
		if t.now-c.at > 2*t.timing.ConfirmInterval {
			continue
		}
		for _, name := range c.names {
			if _, ok := counts[name]; ok {
				counts[name]++
			}
		}
	}
	var names []string
	for name, n := range counts {
		if n > len(t.record.Members)/2 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// neededMemberChange returns the change of members that this host finds to be needed.
func (t *step) neededMemberChange() registrar.MemberChange {
	var c registrar.MemberChange
	for _, name := range t.unreachableByMajority() {
		m, _ := t.record.Member(name)
		c.Remove = append(c.Remove, registrar.RemovedMember{Name: name, Incarnation: m.Incarnation})
	}
	for _, j := range t.joiners() {
		if j.verified == t.record.Epoch {
			c.Join = append(c.Join, j.member)
		}
	}
	if t.joinDue() {
		c.Join = append(c.Join, t.self)
	}
	if m, ok := t.ownEntry(); ok && t.stopped {
		c.Remove = append(c.Remove, registrar.RemovedMember{Name: m.Name, Incarnation: m.Incarnation, Stopped: true})
	}
	return c
}

// ownEntry returns the member that is this process, or an earlier one with its name and
// address.
func (s State) ownEntry() (registrar.Member, bool) {
	m, ok := s.record.Member(s.self.Name)
	if !ok || (m.Incarnation != s.self.Incarnation && m.PeerAddress != s.self.PeerAddress) {
		return registrar.Member{}, false
	}
	return m, true
}

// memberChangeDue returns the change of members that this host must write now. Other
// hosts may find the same change to be needed: each waits for its proposalDelay.
func (t *step) memberChangeDue() registrar.MemberChange {
	c := t.neededMemberChange()
	if c.Empty() {
		t.changeNeededSince = never
		return c
	}
	if t.changeNeededSince == never {
		t.changeNeededSince = t.now
	}
	if t.now < t.changeNeededSince+t.proposalDelay(c) {
		return registrar.MemberChange{}
	}
	return c
}

// proposalDelay returns how long this host waits, from when a change of members was
// first needed, before it writes the change c. A host that is leaving does not wait,
// nor does any host while the record has no members. Hosts that are not members wait
// longer than the first proposers.
func (t *step) proposalDelay(c registrar.MemberChange) timer.Millis {
	if t.stopped || len(t.record.Members) == 0 {
		return 0
	}
	if !t.Member() {
		jitter := assigner.Score("propose", t.self.Name+t.self.Incarnation) % uint64(2*t.timing.ProposerStagger)
		return t.timing.BatchDelay + 2*t.timing.ProposerStagger + timer.Millis(jitter)
	}
	delay := t.timing.BatchDelay
	if len(c.Remove) > 0 {
		delay += t.timing.ConfirmInterval
	}
	return delay + timer.Millis(t.proposerRank(c))*t.timing.ProposerStagger
}

// proposerRank returns how many of the members that c does not remove propose before
// this host. The order depends on the epoch.
func (t *step) proposerRank(c registrar.MemberChange) int {
	object := fmt.Sprintf("propose/%d", t.record.Epoch)
	ownScore := assigner.Score(object, t.self.Name)
	rank := 0
	for _, m := range t.record.Members {
		leaves := slices.ContainsFunc(c.Remove, func(d registrar.RemovedMember) bool { return d.Name == m.Name })
		if !leaves && assigner.Score(object, m.Name) > ownScore {
			rank++
		}
	}
	return rank
}

// handleLeaveRequested makes this host stop acting, permanently. Its departure is
// written only after that, so that no other host has to wait for its permission.
func (t *step) handleLeaveRequested(e LeaveRequested) {
	t.draining, t.stopped, t.snapshotChanged = true, true, true
	t.permittedUntil = min(t.permittedUntil, t.now)
	t.leaveTokens = append(slices.Clone(t.leaveTokens), e.Token)
	t.logDecision(Leaving)
	t.nextRoundAt = t.now
	t.dueChange = t.memberChangeDue()
}

// finishLeave answers the requests to leave when the departure is written and accepted,
// and this host is therefore no longer needed for a majority.
func (t *step) finishLeave() {
	if _, ok := t.ownEntry(); ok || !t.stopped || !t.epochAccepted() {
		return
	}
	for _, token := range t.leaveTokens {
		t.emit(FinishLeave{Token: token})
	}
	t.leaveTokens = nil
}
