package coordinator

import (
	"errors"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// handleChangeRequested queues an operator's change. The change is applied to a value
// that is read from the store after the change arrived, so that operators see each
// other's accepted changes.
func (t *step) handleChangeRequested(e ChangeRequested) {
	p := pendingChange{token: e.Token, id: e.ID, change: e.Change, deadline: e.Deadline, afterRead: t.store.lastRead}
	t.changes = append(slices.Clone(t.changes), p)
}

// finishChanges answers the changes that are accepted or past their deadline.
func (t *step) finishChanges() {
	if len(t.changes) == 0 {
		t.store.writeSingly = false
		return
	}
	var left []pendingChange
	for _, c := range t.changes {
		c = t.findWritten(c)
		if e, ok := t.changeOutcome(c); ok {
			t.emit(e)
			continue
		}
		left = append(left, c)
	}
	t.changes = left
}

// findWritten sets the version at which c was written, if the record in force has c.
func (t *step) findWritten(c pendingChange) pendingChange {
	if c.version > 0 {
		return c
	}
	a, ok := t.record.FindApplied(c.id)
	if !ok {
		return c
	}
	if digest, err := registrar.Digest(c.change); err != nil || digest != a.Digest {
		return c
	}
	c.version = a.Version
	t.nextRoundAt = t.now
	return c
}

// changeOutcome returns the answer to c, and false while c must wait.
func (t *step) changeOutcome(c pendingChange) (FinishChange, bool) {
	result := ChangeResult{Version: c.version, Holders: t.holders, Members: len(t.record.Members)}
	switch {
	case c.version > 0 && t.accepted >= c.version:
		result.Accepted = true
		return FinishChange{Token: c.token, Result: result}, true
	case t.now < c.deadline:
		return FinishChange{}, false
	case c.version > 0:
		return FinishChange{Token: c.token, Result: result}, true
	}
	return FinishChange{Token: c.token, Err: &UnwrittenError{ID: c.id, MaybeWritten: c.maybeWritten}}, true
}

// startStoreCalls begins the write and the read that are due.
func (t *step) startStoreCalls() {
	if t.store.writeInFlight == nil && t.store.fresh && t.store.recordVersion == t.record.Version {
		t.startWrite()
	}
	if t.needsRead() {
		t.startRead()
	}
}

// needsRead reports whether a peer, an operator's change or a change of members waits
// for a read of the store.
func (t *step) needsRead() bool {
	for _, w := range t.relayRequests {
		if t.now >= t.store.readSent+t.timing.RelayReadInterval && w.afterRead == t.store.lastRead {
			return true
		}
	}
	if t.store.writeInFlight != nil {
		return false
	}
	if t.store.fresh && t.store.recordVersion < t.record.Version && t.now < t.store.readSent+t.timing.ConfirmInterval {
		return false // the store lost data, or the read was out of date: don't repeat it at once
	}
	stale := !t.store.fresh || t.store.recordVersion != t.record.Version
	for _, c := range t.changes {
		if c.version == 0 && (stale || c.afterRead >= t.store.answeredRead) {
			return true
		}
	}
	return stale && !t.dueChange.Empty() && t.epochAccepted()
}

// startRead begins a read unless one is in flight or the back-off has not ended.
func (t *step) startRead() {
	if t.store.readInFlight || t.now < t.store.retryAt {
		return
	}
	t.store.lastRead++
	t.store.readInFlight = true
	t.store.readSent = t.now
	t.emit(ReadStore{Read: t.store.lastRead})
}

func (t *step) handleStoreRead(e StoreRead) {
	if e.Read != t.store.lastRead || !t.store.readInFlight {
		return
	}
	t.store.readInFlight = false
	if e.Failed {
		t.backOff()
		return
	}
	if t.store.failures > 0 {
		t.logDecision(StoreFound)
	}
	t.store.failures, t.store.retryAt = 0, 0
	t.store.version, t.store.recordVersion = e.StoreVersion, e.Record.Version
	t.store.fresh, t.store.known, t.store.answeredRead = t.store.writeInFlight == nil, true, e.Read
	t.adopt(e.Record)
	t.addProof(t.store.readSent, e.Record.Version)
	t.finishRelayRequests(RelayResponse{Version: e.Record.Version})
}

// backOff doubles the time until the next read, up to RetryMax, and answers the relay
// requests that waited for the failed read. The jitter depends on the host, so that the
// hosts don't all retry at once.
func (t *step) backOff() {
	t.store.failures++
	if t.store.failures == 1 {
		t.logDecision(StoreLost)
	}
	pause := t.timing.RetryMax
	if shift := t.store.failures - 1; shift < 10 {
		pause = min(pause, t.timing.RetryMin<<shift)
	}
	half := uint64(pause/2) + 1
	t.store.retryAt = t.now + pause/2 + timer.Millis(assigner.Score(t.self.Incarnation, t.self.Name+string(rune(t.store.lastRead)))%half)
	t.finishRelayRequests(RelayResponse{Unavailable: true})
}

// finishRelayRequests answers the relay requests that arrived before the last read
// began.
func (t *step) finishRelayRequests(r RelayResponse) {
	var left []pendingRelayRequest
	for _, w := range t.relayRequests {
		if w.afterRead >= t.store.lastRead {
			left = append(left, w)
			continue
		}
		t.emit(ReplyRelay{Token: w.token, Response: r})
	}
	t.relayRequests = left
}

// startWrite applies the changes that are due to the record in force, which equals the
// store's, and begins to write the result.
func (t *step) startWrite() {
	next := t.record
	var ids []string
	next, ids = t.applyChanges(next)
	if next.Epoch == t.record.Epoch && t.epochAccepted() {
		if !t.dueChange.Empty() {
			next = next.WithMembers(t.dueChange)
			t.logDecision(MembersProposed, memberChangeNames(t.dueChange)...)
		}
	}
	if next.Version == t.record.Version {
		return
	}
	t.store.lastWrite++
	t.store.writeInFlight = &pendingWrite{record: next, ids: ids}
	t.store.fresh = false
	t.emit(WriteStore{Write: t.store.lastWrite, Record: next, Old: t.store.version})
}

// memberChangeNames returns the names for the log, + for a join and - for a removal.
func memberChangeNames(c registrar.MemberChange) []string {
	var names []string
	for _, m := range c.Join {
		names = append(names, "+"+m.Name)
	}
	for _, d := range c.Remove {
		names = append(names, "-"+d.Name)
	}
	return names
}

// applyChanges applies the pending operators' changes to next, and returns the result
// and the identifiers of the changes applied. At most one of them may change the
// members, and only a forced one while the epoch is not accepted.
func (t *step) applyChanges(next registrar.Record) (registrar.Record, []string) {
	var ids []string
	var left []pendingChange
	for _, c := range t.changes {
		full := t.store.writeSingly && len(ids) > 0
		if full || c.version > 0 || c.afterRead >= t.store.answeredRead || !t.mayApply(c, next) {
			left = append(left, c)
			continue
		}
		applied, err := next.WithChange(c.id, c.change)
		if err != nil {
			if !t.refuse(c) {
				left = append(left, c)
			}
			continue
		}
		next = applied
		ids = append(ids, c.id)
		left = append(left, c)
	}
	t.changes = left
	return next, ids
}

// refuse answers c if it can't be applied to the record that was read, and reports
// whether it did. A change that conflicts only with another change of the same write
// remains pending, because that write may fail.
func (t *step) refuse(c pendingChange) bool {
	_, err := t.record.WithChange(c.id, c.change)
	if err == nil {
		return false
	}
	t.emit(FinishChange{Token: c.token, Err: unwrapRefusal(err)})
	return true
}

// mayApply reports whether c may be added to a write whose record is next so far.
func (t *step) mayApply(c pendingChange, next registrar.Record) bool {
	remove, ok := c.change.(registrar.RemoveHosts)
	if !ok {
		return true
	}
	return next.Epoch == t.record.Epoch && (remove.Force || t.epochAccepted())
}

// unwrapRefusal unwraps the typed errors that callers expect and returns others unchanged.
func unwrapRefusal(err error) error {
	var refused *registrar.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	var conflict *registrar.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return err
}

func (t *step) handleStoreWritten(e StoreWritten) {
	w := t.store.writeInFlight
	if w == nil || e.Write != t.store.lastWrite {
		return
	}
	t.store.writeInFlight = nil
	t.store.fresh = false
	switch e.Outcome {
	case WriteDone:
		t.adopt(w.record)
		t.nextRoundAt = t.now
	case WriteUnknown:
		t.markMaybeWritten(w.ids)
	case WriteTooLarge:
		t.handleTooLarge(w.ids)
	}
}

// CodeRecordTooLarge is the code of the refusal of a change with which the record exceeds
// the store's limit on values.
const CodeRecordTooLarge = "record-too-large"

// handleTooLarge refuses the change with which the record was too large. If there were
// several, each is written alone next.
func (t *step) handleTooLarge(ids []string) {
	if len(ids) > 1 {
		t.store.writeSingly = true
		return
	}
	var left []pendingChange
	for _, c := range t.changes {
		if slices.Contains(ids, c.id) && !c.maybeWritten {
			t.emit(FinishChange{Token: c.token, Err: &registrar.RefusedError{Code: CodeRecordTooLarge, Name: c.id}})
			continue
		}
		left = append(left, c)
	}
	t.changes = left
}

// markMaybeWritten records that the outcome of a write of these changes is unknown.
func (t *step) markMaybeWritten(ids []string) {
	t.changes = slices.Clone(t.changes)
	for i, c := range t.changes {
		if slices.Contains(ids, c.id) {
			t.changes[i].maybeWritten = true
		}
	}
}
