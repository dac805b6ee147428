package relayer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// crash removes the server that received the last call, and applies the snapshot
// without it to the tracker.
func (f *fixture) crash() {
	f.removeLast()
	f.tracker.ApplySnapshot(f.current())
}

// removeLast removes the server that received the last call from the snapshot.
func (f *fixture) removeLast() {
	seen := f.seen()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = f.snapshot.WithoutServer(seen[len(seen)-1].Header.Get("Expect"))
}

// repeatUntilRefused repeats the same call until it is refused, but not more than most
// times. Each server that receives it crashes. It returns the number of these servers.
func (f *fixture) repeatUntilRefused(r *cataloger.Route, most int) int {
	for range most {
		if o, _ := f.run(r); isNotRun(o) {
			break
		}
		f.crash()
	}
	return len(f.seen())
}

func isNotRun(o relayer.Outcome) bool {
	_, ok := o.(relayer.NotRun)
	return ok
}

// A stream that crashed its servers after the first event was never refused.
func TestStreamThatCrashesServersAfterItsFirstEventIsRefused(t *testing.T) {
	f := newFixture(t, 11)
	for range 10 {
		f.scripts = append(f.scripts, events(1, 1, false))
	}
	require.Equal(t, 3, f.repeatUntilRefused(route(cataloger.Stream, false, 1), 10))
}

// A server that restarted under the same identifier counted once, however
// often it crashed under a call.
func TestEachCrashOfServerUnderTheSameNameCounts(t *testing.T) {
	f := newFixture(t, 1)
	for range 10 {
		f.scripts = append(f.scripts, breakOff)
	}
	for born := range int64(10) {
		v := f.current().Servers["s0"]
		v.StartedAt = born + 2
		f.mu.Lock()
		f.snapshot = f.snapshot.WithServer(v)
		f.mu.Unlock()
		f.tracker.Answered(v.Incarnation())
		if o, _ := f.run(route(cataloger.NonIdempotent, false, 1)); isNotRun(o) {
			break
		}
	}
	require.Len(t, f.seen(), 3)
}

// hang reads a call and never answers.
func hang(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }

// disconnect runs a call whose caller disconnects after the given time, and returns its
// outcome.
func (f *fixture) disconnect(after timer.Millis) relayer.Outcome {
	ctx, cancel := context.WithTimeout(f.t.Context(), after.Duration())
	defer cancel()
	return f.relayer.Run(ctx, relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: route(cataloger.Stream, false, 1),
		Service: "svc", Deadline: f.clock.Now() + 3*timer.Second, Suspect: suspector.Call{Fingerprint: 7},
	}, &sink{})
}

// A call whose caller disconnected before the server's silence was detected
// did not count when the server turned out to have crashed.
func TestDisconnectedCallCountsWhenItsServerHasCrashed(t *testing.T) {
	f := newFixture(t, 11)
	for range 10 {
		f.scripts = append(f.scripts, hang)
	}
	for range 6 {
		if isNotRun(f.disconnect(100)) {
			break
		}
		f.crash()
	}
	require.Len(t, f.seen(), 3)
}

// Servers that crash without closing connections stay listed for seconds. If
// such a server is silent to every call, a call that it has not answered counts at
// once.
func TestServerSilentToAllCallsCountsAsCrashed(t *testing.T) {
	f := newFixture(t, 11)
	for range 10 {
		f.scripts = append(f.scripts, hang)
	}
	for range 6 {
		time.AfterFunc(timer.Millis(300).Duration(), func() { f.ejector.BytesReceived("another") })
		if isNotRun(f.disconnect(600)) {
			break
		}
		f.removeLast()
	}
	require.Len(t, f.seen(), 3)
}

// A host is cut off from all servers. None of its calls may become suspect, and other
// hosts must keep admitting them.
func TestHostCutOffFromAllServersSuspectsNoCall(t *testing.T) {
	f := newFixture(t, 11)
	for range 6 {
		f.scripts = append(f.scripts, hang)
		o := f.disconnect(600)
		require.False(t, isNotRun(o), "%+v", o)
		f.removeLast()
	}
	require.Empty(t, f.tracker.Records().Crashes)
	f.tracker.ApplySnapshot(cataloger.Snapshot{})
	require.NotEmpty(t, f.tracker.Records().Crashes, "removed servers count against the call")
}
