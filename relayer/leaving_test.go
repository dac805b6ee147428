package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const (
	leaving = "Leaving: 1\r\nConnection: close\r\n"
	closing = "Connection: close\r\n"
)

func answer(headers string) script { return text("200 OK", signed+headers, "a") }

// targets returns the servers to which the calls were sent, in order.
func (f *fixture) targets() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, q := range f.requests {
		out = append(out, q.Header.Get("Expect"))
	}
	return out
}

// A server announces in an answer that it is leaving, and the store does not
// list it as draining.
func TestServerThatAnnouncesLeavingGetsNoNewCalls(t *testing.T) {
	f := newFixture(t, 3, answer(leaving))
	for range 9 {
		f.scripts = append(f.scripts, answer(closing))
	}
	for range 10 {
		o, _ := f.run(route(cataloger.Idempotent, false, 3))
		require.IsType(t, relayer.Delivered{}, o)
	}
	require.NotContains(t, f.targets()[1:], f.targets()[0])
}

// The leave notice comes with an error answer, and in the head of a stream
// that continues.
func TestLeaveNoticeTakesEffectAtOnceInAnyAnswer(t *testing.T) {
	f := newFixture(t, 3, text("500 X", signed+leaving, ""))
	head, done := make(chan struct{}), make(chan struct{})
	f.scripts = append(f.scripts, func(c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+signed+leaving+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		close(head)
		<-done
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}, answer(closing), answer(closing))
	_, _ = f.run(route(cataloger.NonIdempotent, false, 1))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = f.run(route(cataloger.Stream, false, 1))
	}()
	<-head
	require.Eventually(t, func() bool { return f.announcedLeaving(f.targets()[1]) }, (5 * timer.Second).Duration(), timer.Millis(1).Duration())
	for range 2 {
		o, _ := f.run(route(cataloger.Idempotent, false, 3))
		require.IsType(t, relayer.Delivered{}, o)
	}
	close(done)
	<-ended
	require.NotEqual(t, f.targets()[0], f.targets()[1])
	require.NotContains(t, f.targets()[2:], f.targets()[0])
	require.NotContains(t, f.targets()[2:], f.targets()[1])
}

// announcedLeaving reports whether a server of the fixture has announced that it is leaving.
func (f *fixture) announcedLeaving(id string) bool {
	return f.departer.IsLeaving(f.current().Servers[id].Incarnation())
}

// A broken stream is not resumed at a server that has announced that it is
// leaving.
func TestStreamIsNotResumedAtLeavingServer(t *testing.T) {
	f := newFixture(t, 2, answer(leaving), answer(closing))
	_, _ = f.run(route(cataloger.Idempotent, false, 3))
	_, _ = f.run(route(cataloger.Idempotent, false, 3))
	f.scripts = append(f.scripts, events(1, 2, false))
	o, _ := f.run(route(cataloger.Stream, true, 3))
	require.IsType(t, relayer.Interrupted{}, o)
	require.Len(t, f.targets(), 3)
}

// A leave notice applies to one incarnation of a server. The next one may have the
// same identifier.
func TestNextIncarnationOfAServerThatLeftIsUsed(t *testing.T) {
	f := newFixture(t, 1, answer(leaving))
	_, _ = f.run(route(cataloger.Idempotent, false, 3))
	o, _ := f.run(route(cataloger.Idempotent, false, 3))
	require.True(t, isNotRun(o))
	v := f.current().Servers["s0"]
	v.StartedAt++
	f.mu.Lock()
	f.snapshot = f.snapshot.WithServer(v)
	f.scripts = append(f.scripts, answer(closing))
	f.mu.Unlock()
	o, _ = f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Delivered{}, o)
}

// Servers crash in bursts, and others start at their addresses at once while the old
// entries stay listed for seconds. Each caller was refused after three answers that
// came from another server, and each host kept sending calls to servers that no longer
// ran.
func TestCallReachesRunningServerAmongManyStaleEntries(t *testing.T) {
	missed := text("421 X", "Not-Run: 1\r\n"+closing, "")
	f := newFixture(t, 8, missed, missed, missed, missed, missed, answer(closing), answer(closing))
	for range 2 {
		o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
		require.IsType(t, relayer.Delivered{}, o)
	}
	require.Len(t, f.targets(), 7)
	require.NotContains(t, f.targets()[:5], f.targets()[6], "no call is sent again to a server that has stopped")
}
