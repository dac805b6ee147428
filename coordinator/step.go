package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Step returns the state after e and the effects that the caller must carry out. It
// does not modify s.
func Step(s State, e Event) (State, []Effect) {
	t := &step{State: s, now: e.at()}
	t.handle(e)
	t.update()
	if t.snapshotChanged {
		t.effects = slices.Insert(t.effects, 0, Effect(Publish{}))
	}
	return t.State, t.effects
}

// step is a Step in progress: the state and the effects so far.
type step struct {
	State
	now     timer.Millis
	effects []Effect
	// snapshotChanged reports whether the Snapshot differs from the one before.
	snapshotChanged bool
}

func (t *step) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *step) logDecision(what DecisionKind, hosts ...string) {
	t.emit(LogDecision{Decision{Kind: what, Version: t.record.Version, Epoch: t.record.Epoch, Hosts: hosts}})
}

func (t *step) handle(e Event) {
	switch e := e.(type) {
	case Ticked:
		t.handleTick()
	case ReportRequested:
		t.handleReportRequested(e)
	case ReportReceived:
		t.handleReportReceived(e)
	case RelayRequested:
		t.relayRequests = append(slices.Clone(t.relayRequests), pendingRelayRequest{e.Token, t.store.lastRead})
	case RelayResponseReceived:
		t.handleRelayResponse(e)
	case RecordFetched:
		t.fetchUntil = 0
		if !e.Failed {
			t.adopt(e.Record)
		}
	case StoreRead:
		t.handleStoreRead(e)
	case StoreWritten:
		t.handleStoreWritten(e)
	case ChangeRequested:
		t.handleChangeRequested(e)
	case DrainRequested:
		t.draining, t.snapshotChanged = true, true
	case LeaveRequested:
		t.handleLeaveRequested(e)
	}
}

// update derives what follows from the state, whatever the event was.
func (t *step) update() {
	t.updateAcceptance()
	t.updateSettled()
	t.finishChanges()
	t.finishLeave()
	t.startStoreCalls()
	t.logPermissionChange()
}

// adopt puts r in force if it is newer than the current record.
func (t *step) adopt(r registrar.Record) {
	if r.Version <= t.record.Version {
		return
	}
	t.State = t.withRecord(r, t.now)
	t.snapshotChanged = true
	t.fetchUntil = 0
	t.logDecision(RecordAdopted)
	t.applyProofs()
	for _, r := range t.rounds {
		t.applyRound(r)
	}
}

// updateAcceptance records that the version and the epoch are accepted, once they are.
func (t *step) updateAcceptance() {
	if !t.versionAccepted() {
		t.markEpochAccepted()
		return
	}
	if t.accepted < t.record.Version {
		t.accepted = t.record.Version
		t.logDecision(VersionAccepted)
	}
	t.markEpochAccepted()
}

// markEpochAccepted starts the wait of Timing.HandOverDelay once the epoch is known to be accepted.
func (t *step) markEpochAccepted() {
	if t.epochs[0].acceptedAt != never || t.record.Version == 0 || !t.epochAccepted() {
		return
	}
	t.epochs = slices.Clone(t.epochs)
	t.epochs[0] = t.epochs[0].withAccepted(t.now, t.timing)
	t.snapshotChanged = true
}

// updateSettled settles the newest epoch whose wait has ended.
func (t *step) updateSettled() {
	before := t.settled
	for _, l := range t.epochs {
		if t.now >= l.ownsFrom && l.ownsFrom != never {
			t.State = t.withSettled(l.epoch)
			break
		}
	}
	if t.settled > before {
		t.snapshotChanged = true
		t.logDecision(EpochSettled)
	}
}

// logPermissionChange logs when this host gains or loses its permission.
func (t *step) logPermissionChange() {
	now := t.now < t.permittedUntil && t.record.Version > 0
	if now == t.loggedPermitted {
		return
	}
	t.loggedPermitted = now
	if now {
		t.logDecision(PermissionGained)
		return
	}
	t.logDecision(PermissionLost)
}

// handleTick does the work that depends on time alone.
func (t *step) handleTick() {
	if t.now-t.lastTick > 2*t.timing.ConfirmInterval && t.lastTick > 0 {
		t.resetResponseTimes()
	}
	t.lastTick = t.now
	if t.nextRoundAt <= t.now {
		t.startRound()
	}
	t.dropOldRounds()
	t.dropInactiveJoiners()
	t.dueChange = t.memberChangeDue()
}

// resetResponseTimes treats all members as having just responded. It is called after
// this process itself did not run for a while, which says nothing about the members.
func (t *step) resetResponseTimes() {
	peers := newVector[peer](t.peers.size)
	for i := range t.peers.size {
		p := t.peers.at(i)
		p.lastResponse = t.now
		peers.set(i, p)
	}
	t.peers = peers
	t.unreachableReports = nil
	t.changeNeededSince = never
}

// report returns this host's own Report.
func (s State) report() Report {
	return Report{
		Name: s.self.Name, Incarnation: s.self.Incarnation, Version: s.record.Version,
		Accepted: s.accepted, Settled: s.settled, Draining: s.draining,
	}
}

// mergeReport merges a report, whoever forwarded it. If the report has a newer version
// than this host, the record is fetched from address.
func (t *step) mergeReport(r Report, address string) {
	t.mergeMember(r)
	if r.Accepted > t.accepted {
		t.accepted = r.Accepted
	}
	if r.Settled > t.settled {
		t.State = t.withSettled(r.Settled)
		t.snapshotChanged = true
	}
	if r.Version > t.record.Version {
		t.fetch(address)
	}
}

// mergeMember merges the part of a report that is about the incarnation itself.
func (t *step) mergeMember(r Report) {
	i := t.record.Index(r.Name)
	if i < 0 || t.record.Members[i].Incarnation != r.Incarnation {
		t.mergeDeparted(r)
		return
	}
	p := t.peers.at(i)
	if r.Version <= p.version && r.Draining == p.draining {
		return
	}
	t.snapshotChanged = t.snapshotChanged || t.settled < t.record.Epoch || r.Draining != p.draining
	p.version = max(p.version, r.Version)
	p.draining = r.Draining || p.draining
	t.State = t.withPeer(i, p)
}

// mergeDeparted merges the report of an incarnation that was removed since the last
// settled epoch.
func (t *step) mergeDeparted(r Report) {
	k := memberKey{r.Name, r.Incarnation}
	v, ok := t.departed[k]
	if t.settled >= t.record.Epoch || (ok && v >= r.Version) || !t.wasMember(k) {
		return
	}
	t.setDepartedVersion(k, r.Version)
}

// setDepartedVersion counts a removed member as holding version.
func (t *step) setDepartedVersion(k memberKey, version registrar.Version) {
	departed := make(map[memberKey]registrar.Version, len(t.departed)+1)
	for o, v := range t.departed {
		departed[o] = v
	}
	departed[k] = version
	t.departed = departed
	t.State = t.withRecount()
	t.snapshotChanged = true
}

// wasMember reports whether k is known to have been removed recently.
func (t *step) wasMember(k memberKey) bool {
	for _, m := range t.sets {
		if _, ok := m.removedLater[k]; ok {
			return true
		}
	}
	_, ok := t.departed[k]
	return ok
}

// fetch requests a newer record from address unless such a request is in flight.
func (t *step) fetch(address string) {
	if address == "" || t.fetchUntil > t.now {
		return
	}
	t.fetchUntil = t.now + t.timing.RequestTimeout
	t.emit(FetchRecord{Address: address})
}
