package relayer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// setServer changes the entry of a server.
func (f *fixture) setServer(id string, change func(v *cataloger.Server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.snapshot.Servers[id]
	change(&v)
	f.snapshot = f.snapshot.WithServer(v)
}

// quarantine makes the fixture's calls, whose fingerprint is zero, quarantined ones whose
// next trial is due, and returns the store that has their record.
func (f *fixture) quarantine() *storer.MemoryLedger {
	const key = "calls/0"
	l := storer.NewMemoryLedger(timer.System())
	revision, err := l.Commit(f.t.Context(), storer.Transaction{Set: []storer.Item{{Key: key}}})
	require.NoError(f.t, err)
	clock := &harness.Clock{Time: 1000}
	q := quarantiner.New(quarantiner.Options{Ledger: l, Key: func(n uint64) string { return "calls/" + strconv.FormatUint(n, 10) }, Clock: clock, Logger: zap.NewNop()})
	f.t.Cleanup(q.Close)
	q.Follow(f.current().WithQuarantine(0, cataloger.Quarantine{Revision: uint64(revision)}))
	clock.Time += quarantiner.Backoff(0)
	f.options.Tracker = suspector.NewTracker(clock, zap.NewNop(), q)
	f.relayer = relayer.New(f.options)
	return l
}

// Guards against two trials of a quarantined call at a time, by two hosts: each may crash a
// server. A host tries the call only once the store has granted it the trial.
func TestQuarantinedCallIsSentOnlyOnceItsTrialIsGranted(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"))
	f.quarantine()
	o, _ := f.run(route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)

	f = newFixture(t, 1, text("200 OK", signed, "ok"))
	l := f.quarantine()
	_, err := l.Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: "calls/0", Value: []byte("of another host")}}})
	require.NoError(t, err)
	o, _ = f.run(route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.NotRun{}, o)
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
	require.Empty(t, f.seen())
}

// Guards against calls that are known to be too late and wait all the same: the only slot is
// taken, and calls of the service take much longer than the objective.
func TestCallThatCannotBeAnsweredInTimeIsRefused(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"), silent)
	f.setServer("s0", func(v *cataloger.Server) { v.Slots = 1 })
	f.options.Forecaster.Observe("svc", 50, 2000)
	r := route(cataloger.Idempotent, false, 1)
	r.Objective = 200
	o, _ := f.run(r)
	require.IsType(t, relayer.Delivered{}, o, "the slot is free")

	taken, err := f.picker.Pick("svc", selector.Request{})
	require.NoError(t, err)
	defer taken.Release()
	o, _ = f.run(r)
	require.IsType(t, relayer.NotRun{}, o)
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
	require.Len(t, f.seen(), 1)
}

// Guards against a limit that is used up by calls that no server got: the server names four
// a second, and its address can't be reached for a while.
func TestCallThatDidNotReachItsServerDoesNotCountTowardsTheLimit(t *testing.T) {
	f := newFixture(t, 1, limitedAt("s0", "4"))
	_, _ = f.run(route(cataloger.Idempotent, false, 1))
	room := func() throttler.Room {
		return f.throttler.Room(f.current().Servers["s0"].Incarnation(), throttler.Online{})
	}
	require.True(t, room().Limited)
	require.Eventually(t, func() bool { return room().Open }, 5*time.Second, 10*time.Millisecond)
	f.setServer("s0", func(v *cataloger.Server) { v.Address = "127.0.0.1:1" })
	for range 20 {
		o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
		require.IsType(t, relayer.NotRun{}, o)
		require.True(t, room().Open)
	}
	require.Len(t, f.seen(), 1)
}
