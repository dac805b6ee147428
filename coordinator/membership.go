package coordinator

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// joinDue says whether this host should ask to become a member.
func (s State) joinDue() bool {
	return !s.ended && !s.draining && !s.Member() && s.ticked >= s.joinAt
}

// wantsToJoin notes a process that asks to become a member. It is named only
// after it answered a question of this host (see verify).
func (t *step) wantsToJoin(m registrar.Member) {
	if t.record.HasMember(m.Name, m.Incarnation) || m.Name == t.self.Name {
		return
	}
	j := t.joining[m.Name]
	if j.member.Incarnation != m.Incarnation {
		j = joiner{member: m}
		t.askAt = min(t.askAt, t.now+t.timing.Fast)
	}
	j.asked = t.now
	t.joining = maps.Clone(t.joining)
	t.joining[m.Name] = j
}

// verify notes that a joining host answered during this epoch.
func (t *step) verify(e Reported) {
	j, ok := t.joining[e.Report.Name]
	if !ok || j.member.Incarnation != e.Report.Incarnation || j.member.PeerAddress != e.Address {
		return
	}
	j.verified = t.record.Epoch
	t.joining = maps.Clone(t.joining)
	t.joining[e.Report.Name] = j
}

// forgetJoiners drops hosts that stopped asking.
func (t *step) forgetJoiners() {
	for name, j := range t.joining {
		if t.now-j.asked > t.timing.Silence {
			t.joining = maps.Clone(t.joining)
			delete(t.joining, name)
		}
	}
}

// joiners returns the joining hosts in the order of their names.
func (s State) joiners() []joiner {
	out := make([]joiner, 0, len(s.joining))
	for _, name := range slices.Sorted(maps.Keys(s.joining)) {
		out = append(out, s.joining[name])
	}
	return out
}

// complain notes which members a member does not hear.
func (t *step) complain(q Question) {
	if !t.record.HasMember(q.Report.Name, q.Report.Incarnation) {
		return
	}
	_, had := t.complaints[q.Report.Name]
	if len(q.Unheard) == 0 && !had {
		return
	}
	t.complaints = maps.Clone(t.complaints)
	if t.complaints == nil {
		t.complaints = make(map[string]complaint)
	}
	if len(q.Unheard) == 0 {
		delete(t.complaints, q.Report.Name)
		return
	}
	t.complaints[q.Report.Name] = complaint{q.Unheard, t.now}
}

// unheard returns the members that this host has not heard for Silence.
func (t *step) unheard() []string {
	var names []string
	for i, m := range t.record.Members {
		if m.Name != t.self.Name && t.now-t.peers.at(i).heard > t.timing.Silence {
			names = append(names, m.Name)
		}
	}
	return names
}

// silent returns the members that a majority does not hear.
func (t *step) silent() []string {
	if !t.Member() {
		return nil
	}
	counts := make(map[string]int)
	for _, name := range t.unheard() {
		counts[name]++
	}
	if len(counts) == 0 {
		return nil
	}
	for _, c := range t.complaints {
		if t.now-c.at > 2*t.timing.Confirm {
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

// wanted returns the change of members that this host knows to be due.
func (t *step) wanted() registrar.MemberChange {
	var c registrar.MemberChange
	for _, name := range t.silent() {
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
	if m, ok := t.ownEntry(); ok && t.ended {
		c.Remove = append(c.Remove, registrar.RemovedMember{Name: m.Name, Incarnation: m.Incarnation, Stopped: true})
	}
	return c
}

// ownEntry returns the member that is this process or an ended one at its address.
func (s State) ownEntry() (registrar.Member, bool) {
	m, ok := s.record.Member(s.self.Name)
	if !ok || (m.Incarnation != s.self.Incarnation && m.PeerAddress != s.self.PeerAddress) {
		return registrar.Member{}, false
	}
	return m, true
}

// membersDue returns the change of members that this host must write now. The
// proposers take their turns in an order that depends on the epoch.
func (t *step) membersDue() registrar.MemberChange {
	c := t.wanted()
	if c.Empty() {
		t.workSince = never
		return c
	}
	if t.workSince == never {
		t.workSince = t.now
	}
	if t.now < t.workSince+t.turn(c) {
		return registrar.MemberChange{}
	}
	return c
}

// turn is how long after the first reason this host writes the change c.
func (t *step) turn(c registrar.MemberChange) timer.Millis {
	if t.ended || len(t.record.Members) == 0 {
		return 0
	}
	if !t.Member() {
		jitter := assigner.Score("propose", t.self.Name+t.self.Incarnation) % uint64(2*t.timing.Stagger)
		return t.timing.Gather + 2*t.timing.Stagger + timer.Millis(jitter)
	}
	gather := t.timing.Gather
	if len(c.Remove) > 0 {
		gather += t.timing.Confirm
	}
	return gather + timer.Millis(t.rank(c))*t.timing.Stagger
}

// rank is how many of the members that stay come before this one.
func (t *step) rank(c registrar.MemberChange) int {
	object := fmt.Sprintf("propose/%d", t.record.Epoch)
	mine := assigner.Score(object, t.self.Name)
	rank := 0
	for _, m := range t.record.Members {
		leaves := slices.ContainsFunc(c.Remove, func(d registrar.RemovedMember) bool { return d.Name == m.Name })
		if !leaves && assigner.Score(object, m.Name) > mine {
			rank++
		}
	}
	return rank
}

// leaveWanted ends this host's acting for good, before its departure is
// written: from then on nobody needs to wait for it.
func (t *step) leaveWanted(e LeaveWanted) {
	t.draining, t.ended, t.changed = true, true, true
	t.permittedUntil = min(t.permittedUntil, t.now)
	t.leaving = append(slices.Clone(t.leaving), e.Token)
	t.decide(Leaving)
	t.askAt = t.now
	t.due = t.membersDue()
}

// concludeLeave answers when the departure is written and accepted, so that
// nobody needs this host as a member any more.
func (t *step) concludeLeave() {
	if _, ok := t.ownEntry(); ok || !t.ended || !t.epochAccepted() {
		return
	}
	for _, token := range t.leaving {
		t.emit(FinishLeave{Token: token})
	}
	t.leaving = nil
}
