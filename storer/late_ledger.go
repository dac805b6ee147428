package storer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// errLate is the cause of the errors of calls that a LateLedger carries out later.
var errLate = eris.New("answer lost; the call is carried out later")

// LateLedger is a Ledger some of whose writes are not answered and are carried out later,
// as those of the platform's store may be. It is for tests and for emulations of the
// platform.
type LateLedger struct {
	Ledger
	draw func(w Write) (delay timer.Millis, late bool)

	mu sync.Mutex
	// pending is the number of late writes that have not been carried out yet. idle is
	// signalled when there are none.
	pending int
	idle    sync.Cond
}

// Write is a write to the store. Keys are those that it changes, none if it concerns a
// lease.
type Write struct{ Keys []string }

// NewLateLedger returns a LateLedger over l. It calls draw for each write, from any
// goroutine. If draw returns late, the write returns an *UnknownOutcomeError and is carried
// out after delay, if its conditions are true then.
func NewLateLedger(l Ledger, draw func(w Write) (delay timer.Millis, late bool)) *LateLedger {
	late := &LateLedger{Ledger: l, draw: draw}
	late.idle.L = &late.mu
	return late
}

// Wait waits until all late writes so far have been carried out.
func (l *LateLedger) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.pending > 0 {
		l.idle.Wait()
	}
}

// addPending counts late writes that wait, or that have been carried out.
func (l *LateLedger) addPending(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += n
	if l.pending == 0 {
		l.idle.Broadcast()
	}
}

// Commit implements Ledger.
func (l *LateLedger) Commit(ctx context.Context, t Transaction) (Revision, error) {
	w := Write{Keys: slices.Clone(t.Delete)}
	for _, i := range t.Set {
		w.Keys = append(w.Keys, i.Key)
	}
	return carryOut(ctx, l, "commit", w, func(ctx context.Context) (Revision, error) { return l.Ledger.Commit(ctx, t) })
}

// Grant implements Ledger.
func (l *LateLedger) Grant(ctx context.Context, ttl timer.Millis) (Lease, error) {
	return carryOut(ctx, l, "grant", Write{}, func(ctx context.Context) (Lease, error) { return l.Ledger.Grant(ctx, ttl) })
}

// Renew implements Ledger.
func (l *LateLedger) Renew(ctx context.Context, lease Lease) error {
	_, err := carryOut(ctx, l, "renew", Write{}, func(ctx context.Context) (struct{}, error) { return struct{}{}, l.Ledger.Renew(ctx, lease) })
	return err
}

// Revoke implements Ledger.
func (l *LateLedger) Revoke(ctx context.Context, lease Lease) error {
	_, err := carryOut(ctx, l, "revoke", Write{}, func(ctx context.Context) (struct{}, error) { return struct{}{}, l.Ledger.Revoke(ctx, lease) })
	return err
}

// carryOut makes a call, or arranges for it to be made later.
func carryOut[T any](ctx context.Context, l *LateLedger, name string, w Write, call func(context.Context) (T, error)) (T, error) {
	delay, late := l.draw(w)
	if !late {
		return call(ctx)
	}
	l.addPending(1)
	time.AfterFunc(delay.Duration(), func() {
		defer l.addPending(-1)
		// Nobody waits for the outcome.
		_, _ = call(context.Background())
	})
	var none T
	return none, &UnknownOutcomeError{Call: name, Err: errLate}
}
