package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// slowSink is a caller that stops reading for a while once it has received an event.
type slowSink struct {
	sink
	pause   time.Duration
	once    sync.Once
	aborted chan struct{}
}

func newSlowSink(pause time.Duration) *slowSink {
	return &slowSink{pause: pause, aborted: make(chan struct{})}
}

func (s *slowSink) Write(p []byte) error {
	err := s.sink.Write(p)
	s.once.Do(func() {
		select {
		case <-time.After(s.pause):
		case <-s.aborted:
			err = errDisconnected
		}
	})
	return err
}

func (s *slowSink) Abort() { close(s.aborted) }

// paced sends events like events does, one each 5 ms.
func paced(first, last int, whole bool) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := first; i <= last; i++ {
			time.Sleep(5 * time.Millisecond)
			e := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "1f\r\nid: 99\nda")
	}
}

// runSlow runs a call whose caller is slow.
func (f *fixture) runSlow(s relayer.Sink, r *cataloger.Route) relayer.Outcome {
	return f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: r, Service: "svc", Deadline: f.clock.Now() + 5*timer.Second,
	}, s)
}

// Guards against a server that has to wait, and counts as slow, since its caller does not
// read: it gets rid of its events at once, and they come whole and in order.
func TestStreamIsReadOnWhileItsCallerDoesNotRead(t *testing.T) {
	f := newFixture(t, 1, paced(1, 20, true))
	s := newSlowSink(time.Second)
	require.IsType(t, relayer.Delivered{}, f.runSlow(s, route(cataloger.Stream, true, 1)))
	require.Equal(t, wholeStream(20), s.body.String())
	require.Less(t, f.options.Forecaster.RunTime("svc"), 700*timer.Millis(1), "the end of the stream counts, not that of its reading")
	require.Zero(t, f.memory.InUse())
}

// Guards against a stream that breaks while its caller does not read, and is passed on with a
// gap or twice.
func TestStreamThatBreaksWhileItsCallerDoesNotReadIsResumed(t *testing.T) {
	f := newFixture(t, 2, paced(1, 10, false), paced(11, 20, true))
	s := newSlowSink(600 * time.Millisecond)
	require.IsType(t, relayer.Delivered{}, f.runSlow(s, route(cataloger.Stream, true, 3)))
	require.Equal(t, wholeStream(20), s.body.String())
}

// Guards against a call that its caller keeps by not reading, and against one that counts as
// delivered though its caller did not get it.
func TestCallEndsIfItsCallerReadsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		answer script
		route  *cataloger.Route
	}{
		"stream": {events(1, 20, true), route(cataloger.Stream, true, 1)},
		"body":   {text("200 OK", signed, "ok"), route(cataloger.Idempotent, false, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, c.answer)
			f.options.WriteTimeout = 300
			f.relayer = relayer.New(f.options)
			began := f.clock.Now()
			require.IsType(t, relayer.CallerGone{}, f.runSlow(newSlowSink(time.Minute), c.route))
			require.Less(t, f.clock.Now()-began, 2*timer.Second)
			require.Zero(t, f.memory.InUse())
		})
	}
}
