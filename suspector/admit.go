package suspector

import (
	"context"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/timer"
)

// maxClaims bounds the trials that are claimed for one call.
const maxClaims = 8

// Admit reports whether a call may be sent to a server and, if not, after which wait
// the caller may retry. It calls the store only if the call or a part of its prompt is
// quarantined or crashed enough servers for it: once the wait of all of them is over,
// Admit claims their trials.
func (t *Tracker) Admit(ctx context.Context, c Call) (wait timer.Millis, ok bool) {
	suspects, wait := t.suspects(c)
	if wait > 0 {
		return wait, false
	}
	if t.quarantine == nil {
		return 0, true
	}
	if len(suspects) > maxClaims {
		return quarantiner.Backoff(0), false
	}
	for _, s := range suspects {
		if wait, ok := t.quarantine.ClaimTrial(ctx, s, c.workspaceHash()); !ok {
			return wait, false
		}
	}
	return 0, true
}

// Refused reports whether a call is refused without requesting a trial from the
// store, and for how long.
func (t *Tracker) Refused(c Call) (timer.Millis, bool) {
	_, wait := t.suspects(c)
	return wait, wait > 0
}

// RefusesParts reports whether any part of prompts may be refused. It is cheaper than
// Refused.
func (t *Tracker) RefusesParts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prompts.RefusesAny() || t.quarantine != nil && !t.quarantine.Empty()
}

// suspects returns what the call is suspected for, its fingerprint or parts of its
// prompt, and how long it is refused. Suspected is what crashed enough servers and what
// the store has a record of.
func (t *Tracker) suspects(c Call) (list []uint64, wait timer.Millis) {
	if !c.Batch {
		if w, suspected := t.callWait(c); suspected {
			list, wait = append(list, c.Fingerprint), w
		}
	}
	for part, w := range t.partWaits(c) {
		list, wait = append(list, part), max(wait, w)
	}
	slices.Sort(list)
	return list, wait
}

// callWait returns how long a call is refused for itself, and whether it is suspected.
func (t *Tracker) callWait(c Call) (wait timer.Millis, suspected bool) {
	t.mu.Lock()
	since, crashes, suspected := t.evidence.crashState(c.Fingerprint, t.clock.Now())
	t.mu.Unlock()
	if suspected {
		wait = max(0, quarantiner.Backoff(crashes-trackerRefusalCrashes)-since)
	}
	if t.quarantine == nil {
		return wait, suspected
	}
	if wait > 0 {
		// The host that observed the last crash may have stopped before it wrote the record.
		t.quarantine.Put(c.Fingerprint, c.workspaceHash())
	}
	more, known := t.quarantine.Wait(c.Fingerprint)
	return max(wait, more), suspected || known
}

// partWaits returns the suspected parts of the call's prompt and how long calls with each
// are refused. The record in the store, which counts the trials, decides if there is one.
func (t *Tracker) partWaits(c Call) map[uint64]timer.Millis {
	waits := t.refusedParts(c)
	if t.quarantine == nil {
		return waits
	}
	for part := range waits {
		t.quarantine.Put(part, c.workspaceHash())
	}
	maps.Copy(waits, t.quarantine.Waits(c.Parts))
	return waits
}

// refusedParts returns the parts of the call's prompt that crashed enough servers, and for
// how long calls with each are refused.
func (t *Tracker) refusedParts(c Call) map[uint64]timer.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	waits := make(map[uint64]timer.Millis)
	if !t.prompts.RefusesAny() {
		return waits
	}
	now := t.clock.Now()
	for _, part := range c.Parts {
		if r, ok := t.prompts.Refused(part, now); ok {
			waits[part] = max(0, r.LastCrash+quarantiner.Backoff(0)-now)
		}
	}
	return waits
}
