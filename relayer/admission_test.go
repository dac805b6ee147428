package relayer_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/rationer"
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

// fillOneSlot gives servers one slot each and takes that of one of them.
func (f *fixture) fillOneSlot(ids ...string) {
	for _, id := range ids {
		f.setServer(id, func(v *cataloger.Server) { v.Slots = 1 })
	}
	taken, err := f.picker.Pick("svc", selector.Request{})
	require.NoError(f.t, err)
	f.t.Cleanup(taken.Release)
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
// taken, and a call of the service takes longer than its caller waits.
func TestCallThatCannotEndByItsDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"))
	f.fillOneSlot("s0")
	f.observe(50, 2000)
	o, _ := f.run(route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.NotRun{}, o, "two calls of 2 s do not end within 3 s")
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
	require.Empty(t, f.seen())
}

// A host that was paused while it served its first calls took them for slower than callers wait. It
// refused every call of the service from then on, also with idle servers, and so measured none.
func TestHostWhoseFirstCallsWereSlowServesAgain(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"))
	f.observe(3200, 3200)
	require.Eventually(t, func() bool {
		o, _ := f.runFor(4*timer.Second, route(cataloger.Idempotent, false, 1))
		_, delivered := o.(relayer.Delivered)
		return delivered
	}, 15*time.Second, 50*time.Millisecond)
}

// A slow server has a free slot, but the call has no time for it. Guards against its refusal
// while it would end in time at a busy server of the mean pace.
func TestCallIsNotRefusedForASlowServersPace(t *testing.T) {
	f := newFixture(t, 2, text("200 OK", signed, "ok"))
	f.slowdowns = map[string]float64{"s0": 3}
	f.observe(50, 600)
	for range 4 {
		_, ok := f.picker.Reserve(f.current().Servers["s1"], throttler.Batch{})
		require.True(t, ok)
	}
	r, err := f.picker.Pick("svc", selector.Request{})
	require.NoError(t, err)
	require.Equal(t, "s0", r.Server.ID)
	r.Release()
	o, _ := f.runFor(1000, route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, []string{"s1"}, f.targets())
	require.Empty(t, f.picker.Loads()["s0"], "the slow server is still reserved")
}

// Callers were told to come again after a third of their time, whatever the queue was, and
// all of them within the same tenth of a second.
func TestCallersOfBusyServersAreToldOfPlacesOneAfterTheOther(t *testing.T) {
	f := newFixture(t, 1)
	f.fillOneSlot("s0")
	f.observe(50, 1500)
	for _, want := range []int{60, 1550} {
		o, _ := f.run(route(cataloger.Idempotent, false, 1))
		require.IsType(t, relayer.NotRun{}, o)
		require.InDelta(t, want, int(o.(relayer.NotRun).RetryAfter), 100, "a place each 1.5 s, the first when 3,050 ms of work are 3 s")
		require.Contains(t, o.(relayer.NotRun).Reason, "cannot answer before")
	}
}

// Callers whom full servers refused were all told to come again after 60 ms. One that could
// not be served from its place any more is told so.
func TestCallersOfFullServersAreToldOfPlacesOneAfterTheOther(t *testing.T) {
	f := newFixture(t, 1, refused, refused, refused, refused, refused)
	f.setServer("s0", func(v *cataloger.Server) { v.Slots = 2 })
	f.observe(50, 1000)
	var reasons []string
	for i := range 4 {
		o, _ := f.run(route(cataloger.Idempotent, false, 1))
		require.IsType(t, relayer.NotRun{}, o)
		require.InDelta(t, 500+min(i, 2)*500, int(o.(relayer.NotRun).RetryAfter), 100, "two slots leave a place each 500 ms; callers stay away for a second at most")
		reasons = append(reasons, o.(relayer.NotRun).Reason)
	}
	require.Equal(t, "servers refused it", reasons[0])
	o, _ := f.runFor(1200, route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.NotRun{}, o)
	require.Contains(t, o.(relayer.NotRun).Reason, "cannot answer before")
}

// Of 1,000 slots one becomes free in less than a millisecond. Each of 50 hosts still has
// only its share of them.
func TestPlacesOfManySlotsAreSharedByHosts(t *testing.T) {
	f := newFixture(t, 1, refused, refused, refused, refused, refused, refused)
	f.setServer("s0", func(v *cataloger.Server) { v.Slots = 1000 })
	f.throttler.SetHosts(nil, rationer.Order{Hosts: 50})
	f.observe(50, 500)
	var last timer.Millis
	began := f.clock.Now()
	for range 6 {
		o, _ := f.run(route(cataloger.Idempotent, false, 1))
		require.IsType(t, relayer.NotRun{}, o)
		last = o.(relayer.NotRun).RetryAfter + f.clock.Now() - began
	}
	require.InDelta(t, 5*25, int(last), 30)
}

// Callers with seconds left were refused since they would have had to wait for a few tenths
// of one.
func TestCallThatCanEndByItsDeadlineWaitsForASlot(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"))
	f.fillOneSlot("s0")
	f.observe(50, 1000)
	o, _ := f.run(route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o, "two calls of 1 s end within 3 s")
}

// Callers leave a stream after two seconds without an event, also before the first one,
// however much time they have. Their calls waited in a queue for longer than that.
func TestStreamThatCannotBeginBeforeItsCallerLeavesIsRefused(t *testing.T) {
	for kind, want := range map[cataloger.Kind]relayer.Outcome{cataloger.Stream: relayer.NotRun{}, cataloger.Idempotent: relayer.Delivered{}} {
		f := newFixture(t, 1, text("200 OK", signed, "ok"))
		f.fillOneSlot("s0")
		f.observe(50, 2000)
		o, _ := f.runFor(5*timer.Second, route(kind, true, 1))
		require.IsType(t, want, o)
	}
}

// A call that waited for a slot as foreseen was taken from its place in the queue after 1.5 s
// and sent to another server, to wait there anew.
func TestCallKeepsItsPlaceInAQueueForAsLongAsForeseen(t *testing.T) {
	f := newFixture(t, 1, func(c net.Conn, q *http.Request) {
		time.Sleep(1700 * time.Millisecond)
		text("200 OK", signed, "ok")(c, q)
	})
	f.fillOneSlot("s0")
	f.observe(50, 1600)
	o, _ := f.runFor(5*timer.Second, route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Delivered{}, o)
}

// A call that broke at one server was sent to the next one however long the queue was there,
// and its caller waited for an answer that could not come in time.
func TestResentCallThatCannotEndByItsDeadlineIsGivenUpAtOnce(t *testing.T) {
	f := newFixture(t, 2, breakOff, silent)
	f.fillOneSlot("s0", "s1")
	f.observe(50, 2000)
	began := f.clock.Now()
	o, _ := f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Unknown{}, o)
	require.Less(t, f.clock.Now()-began, timer.Second)
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
