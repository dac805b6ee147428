package relayer_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// silent reads a request and never answers it.
func silent(c net.Conn, _ *http.Request) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.Read(make([]byte, 1))
}

// Calls that were at a server when their host stopped were cut without an answer.
func TestCallsEndBeforeTheHostStops(t *testing.T) {
	for name, c := range map[string]struct {
		route   *cataloger.Route
		script  script
		outcome relayer.Outcome
	}{
		"at-a-server": {route(cataloger.NonIdempotent, false, 1), silent, relayer.Unknown{}},
		"resent":      {route(cataloger.Idempotent, false, 3), silent, relayer.Unknown{}},
		"within-a-stream": {route(cataloger.Stream, false, 1), func(c net.Conn, q *http.Request) {
			events(1, 2, false)(c, q)
			silent(c, q)
		}, relayer.Interrupted{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, c.script, c.script, c.script)
			time.AfterFunc(300*time.Millisecond, f.relayer.End)
			began := f.clock.Now()
			o, _ := f.run(c.route)
			require.IsType(t, c.outcome, o)
			require.Less(t, f.clock.Now()-began, timer.Second)
		})
	}
}

// A call that cannot be expected to end before its host stops is not sent, and one that can
// is.
func TestCallThatCannotEndBeforeTheStopIsNotSent(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"), text("200 OK", signed, "ok"))
	f.relayer.StopAt(f.clock.Now() + 2*timer.Second)
	o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.NotRun{}, o, "the service was not observed")
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
	require.Empty(t, f.seen())

	f = newFixture(t, 1, text("200 OK", signed, "ok"), text("200 OK", signed, "ok"))
	o, _ = f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
	f.relayer.StopAt(f.clock.Now() + 2*timer.Second)
	o, _ = f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o, "the first call was answered at once")
}

// A host that is about to stop sent a call whose caller waits for 1 s, and refused the same
// call with more time left.
func TestStopDoesNotDependOnTheTimeOfTheCaller(t *testing.T) {
	for _, wait := range []timer.Millis{timer.Second, 3 * timer.Second} {
		f := newFixture(t, 1, text("200 OK", signed, "ok"))
		f.observe(100, 600)
		f.relayer.StopAt(f.clock.Now() + 1200)
		o, _ := f.runFor(wait, route(cataloger.NonIdempotent, false, 1))
		require.IsType(t, relayer.Delivered{}, o, "no call took longer than 700 ms")
	}
}

// Servers are told how long the host will wait.
func TestDeadlineOfACallIsThatOfTheStop(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"), text("200 OK", signed, "ok"))
	_, _ = f.run(route(cataloger.Idempotent, false, 1))
	f.relayer.StopAt(f.clock.Now() + timer.Second)
	_, _ = f.run(route(cataloger.Idempotent, false, 1))
	seen := f.seen()
	require.Len(t, seen, 2)
	for i, most := range []int{3000, 1000} {
		ms, err := strconv.Atoi(seen[i].Header.Get("Deadline"))
		require.NoError(t, err)
		require.InDelta(t, most-250, ms, 250)
	}
}
