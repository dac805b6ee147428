package coordinator

import (
	"errors"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// changeWanted queues an operator's change. It is applied to a value that was
// read after it came, so that operators see each other's accepted changes.
func (t *step) changeWanted(e ChangeWanted) {
	p := pending{token: e.Token, id: e.ID, change: e.Change, deadline: e.Deadline, after: t.store.read}
	t.changes = append(slices.Clone(t.changes), p)
}

// concludeChanges answers the changes that are settled or late.
func (t *step) concludeChanges() {
	if len(t.changes) == 0 {
		return
	}
	var left []pending
	for _, c := range t.changes {
		c = t.located(c)
		if e, ok := t.outcome(c); ok {
			t.emit(e)
			continue
		}
		left = append(left, c)
	}
	t.changes = left
}

// located looks the change up in the record in force.
func (t *step) located(c pending) pending {
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
	t.askAt = t.now
	return c
}

func (t *step) outcome(c pending) (FinishChange, bool) {
	result := Result{Version: c.version, Holding: t.holders, Members: len(t.record.Members)}
	switch {
	case c.version > 0 && t.accepted >= c.version:
		result.Accepted = true
		return FinishChange{Token: c.token, Result: result}, true
	case t.now < c.deadline:
		return FinishChange{}, false
	case c.version > 0:
		return FinishChange{Token: c.token, Result: result}, true
	}
	return FinishChange{Token: c.token, Err: &UnwrittenError{ID: c.id, Maybe: c.maybe}}, true
}

// driveStore begins the read or the write that is due.
func (t *step) driveStore() {
	if t.store.writing == nil && t.store.fresh && t.store.record == t.record.Version {
		t.write()
	}
	if t.needsRead() {
		t.readDue()
	}
}

// needsRead says whether someone waits for a read of the store.
func (t *step) needsRead() bool {
	for _, w := range t.waiters {
		if t.now >= t.store.readSent+t.timing.RelayRead && w.after == t.store.read {
			return true
		}
	}
	if t.store.writing != nil {
		return false
	}
	if t.store.fresh && t.store.record < t.record.Version && t.now < t.store.readSent+t.timing.Confirm {
		return false // the store lost data or the read was old: no hurry
	}
	stale := !t.store.fresh || t.store.record != t.record.Version
	for _, c := range t.changes {
		if c.version == 0 && (stale || c.after >= t.store.done) {
			return true
		}
	}
	return stale && !t.due.Empty() && t.epochAccepted()
}

// readDue begins a read unless one is on its way or the store needs a pause.
func (t *step) readDue() {
	if t.store.reading || t.now < t.store.notBefore {
		return
	}
	t.store.read++
	t.store.reading = true
	t.store.readSent = t.now
	t.emit(ReadStore{Read: t.store.read})
}

func (t *step) storeRead(e StoreRead) {
	if e.Read != t.store.read || !t.store.reading {
		return
	}
	t.store.reading = false
	if e.Failed {
		t.storeFailed()
		return
	}
	if t.store.failures > 0 {
		t.decide(StoreFound)
	}
	t.store.failures, t.store.notBefore = 0, 0
	t.store.version, t.store.record = e.StoreVersion, e.Record.Version
	t.store.fresh, t.store.known, t.store.done = t.store.writing == nil, true, e.Read
	t.adopt(e.Record)
	t.prove(t.store.readSent, e.Record.Version)
	t.answerWaiters(RelayReport{Version: e.Record.Version})
}

// storeFailed lengthens the pause before the next read, up to RetryMax, by a
// different amount on each host.
func (t *step) storeFailed() {
	t.store.failures++
	if t.store.failures == 1 {
		t.decide(StoreLost)
	}
	pause := t.timing.RetryMax
	if shift := t.store.failures - 1; shift < 10 {
		pause = min(pause, t.timing.RetryMin<<shift)
	}
	half := uint64(pause/2) + 1
	t.store.notBefore = t.now + pause/2 + timer.Millis(assigner.Score(t.self.Incarnation, t.self.Name+string(rune(t.store.read)))%half)
	t.answerWaiters(RelayReport{Unavailable: true})
}

// answerWaiters answers the questions that came before the last read began.
func (t *step) answerWaiters(r RelayReport) {
	var left []waiter
	for _, w := range t.waiters {
		if w.after >= t.store.read {
			left = append(left, w)
			continue
		}
		t.emit(ReplyRelay{Token: w.token, Report: r})
	}
	t.waiters = left
}

// write applies what is due to the record, which is the store's, and writes it.
func (t *step) write() {
	next := t.record
	var ids []string
	next, ids = t.withChanges(next)
	if next.Epoch == t.record.Epoch && t.epochAccepted() {
		if !t.due.Empty() {
			next = next.WithMembers(t.due)
			t.decide(MembersProposed, changedNames(t.due)...)
		}
	}
	if next.Version == t.record.Version {
		return
	}
	t.store.write++
	t.store.writing = &writing{record: next, ids: ids}
	t.store.fresh = false
	t.emit(WriteStore{Write: t.store.write, Record: next, Old: t.store.version})
}

func changedNames(c registrar.MemberChange) []string {
	var names []string
	for _, m := range c.Join {
		names = append(names, "+"+m.Name)
	}
	for _, d := range c.Remove {
		names = append(names, "-"+d.Name)
	}
	return names
}

// withChanges applies the operators' changes that wait. At most one of them may
// change the members, and only a forced one while the epoch is not accepted.
func (t *step) withChanges(next registrar.Record) (registrar.Record, []string) {
	var ids []string
	var left []pending
	for _, c := range t.changes {
		if c.version > 0 || c.after >= t.store.done || !t.mayApply(c, next) {
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

// refuse answers c if it does not fit the record that was read. What does not
// fit only because of another change of this write, which may yet fail, waits.
func (t *step) refuse(c pending) bool {
	_, err := t.record.WithChange(c.id, c.change)
	if err == nil {
		return false
	}
	t.emit(FinishChange{Token: c.token, Err: refusal(err)})
	return true
}

func (t *step) mayApply(c pending, next registrar.Record) bool {
	remove, ok := c.change.(registrar.RemoveHosts)
	if !ok {
		return true
	}
	return next.Epoch == t.record.Epoch && (remove.Force || t.epochAccepted())
}

// refusal keeps the typed errors and passes others as they are.
func refusal(err error) error {
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

func (t *step) storeWritten(e StoreWritten) {
	w := t.store.writing
	if w == nil || e.Write != t.store.write {
		return
	}
	t.store.writing = nil
	t.store.fresh = false
	switch e.Outcome {
	case WriteDone:
		t.adopt(w.record)
		t.askAt = t.now
	case WriteUnknown:
		t.markMaybe(w.ids)
	}
}

func (t *step) markMaybe(ids []string) {
	t.changes = slices.Clone(t.changes)
	for i, c := range t.changes {
		if slices.Contains(ids, c.id) {
			t.changes[i].maybe = true
		}
	}
}
