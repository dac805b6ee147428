package suspector

import (
	"context"
	"slices"
)

// Flight is an attempt of a call that has not been answered yet. It is revoked when a part
// of the call's prompt is found to crash servers.
type Flight struct {
	tracker *Tracker
	call    Call
	cancel  context.CancelFunc
	// revoked is guarded by tracker.mu.
	revoked bool
}

// Start registers an attempt of a call. The returned context ends when the Flight is
// revoked or ended. The caller must End it.
func (t *Tracker) Start(ctx context.Context, c Call) (context.Context, *Flight) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Flight{tracker: t, call: c, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(c.Parts) > 0 {
		t.flights[f] = true
	}
	return ctx, f
}

// End ends the Flight and its context.
func (f *Flight) End() {
	f.Progressed()
	f.cancel()
}

// Progressed records that the answer is under way: the Flight is not revoked from now on.
func (f *Flight) Progressed() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.tracker.flights, f)
}

// Revoked reports whether the Flight was revoked.
func (f *Flight) Revoked() bool {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	return f.revoked
}

// revoke revokes the flights whose prompts have a part. The caller holds t.mu.
func (t *Tracker) revoke(part uint64) {
	for f := range t.flights {
		if slices.Contains(f.call.Parts, part) {
			f.revoked = true
			f.cancel()
			delete(t.flights, f)
		}
	}
}
