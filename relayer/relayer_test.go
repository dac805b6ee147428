package relayer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var names = namer.Names{
	RequestID: "Id", Deadline: "Deadline", Key: "Key", Workspace: "Workspace", ExpectServer: "Expect",
	Signature: "Signature", NotRun: "Not-Run", Leaving: "Leaving", Limit: "Limit", ResumeAfter: "After",
	Server: "Server-Id", Expectations: []string{"Expect-Version"},
}

// memoryForAnswers is the memory of the fixture's host for answers, in bytes.
const memoryForAnswers = 32 << 20

// script is the behaviour of a backend server for one request.
type script func(w net.Conn, q *http.Request)

// fixture is a service whose backend servers share one list of scripts. Each request
// consumes the next script, whichever server receives it.
type fixture struct {
	t *testing.T
	// options are those of relayer.
	options   relayer.Options
	relayer   *relayer.Relayer
	picker    *picker.Picker
	tracker   *suspector.Tracker
	departer  *departer.Departer
	throttler *throttler.Throttler
	ejector   *ejector.Ejector
	clock     timer.Clock
	// slowdowns holds the slowdown factors of servers; others have the mean pace.
	slowdowns map[string]float64
	memory    *holder.Holder
	// pickerOptions are those of picker.
	pickerOptions picker.Options

	mu       sync.Mutex
	snapshot cataloger.Snapshot
	scripts  []script
	requests []*http.Request
	bodies   []string
}

func newFixture(t *testing.T, servers int, scripts ...script) *fixture {
	f := &fixture{t: t, scripts: scripts}
	for i := range servers {
		f.snapshot = f.snapshot.WithServer(cataloger.Server{ID: "s" + strconv.Itoa(i), Service: "svc", Address: harness.Serve(t, f.serve), Slots: 8, StartedAt: 1})
	}
	clock := timer.System()
	e := ejector.New(clock, zap.NewNop())
	f.ejector, f.clock = e, clock
	f.departer = departer.New(clock, zap.NewNop())
	f.throttler = throttler.New(clock, zap.NewNop())
	f.pickerOptions = picker.Options{
		Snapshot: f.current, RemoteLoad: func(string) gossiper.Load { return gossiper.Load{} },
		Ejector: e, Leaving: f.departer.IsLeaving, Throttler: f.throttler, OnChange: func() {}, Slowdown: func(id string) float64 { return f.slowdowns[id] },
		Zones: localizer.Zones{"z-eu": "eu", "z-us": "us"},
	}
	f.picker = picker.New(f.pickerOptions)
	f.memory = holder.New(memoryForAnswers)
	c := transporter.New(transporter.Options{IDHeader: names.RequestID, Clock: clock, Memory: f.memory})
	t.Cleanup(c.Close)
	f.tracker = suspector.NewTracker(clock, zap.NewNop(), nil)
	f.options = relayer.Options{
		Names: names, Transporter: c, Picker: f.picker, Throttler: f.throttler, Ejector: e, Tracker: f.tracker, Departer: f.departer,
		Budgeter: budgeter.New(budgeter.Options{}), Forecaster: forecaster.New(), Apportioner: apportioner.New(clock), Comparer: comparer.New(clock, zap.NewNop()), Clock: clock, Logger: zap.NewNop(),
	}
	f.relayer = relayer.New(f.options)
	return f
}

func (f *fixture) current() cataloger.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fixture) serve(c net.Conn) {
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(q.Body)
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.bodies = append(f.bodies, string(body))
	var s script
	if len(f.scripts) > 0 {
		s, f.scripts = f.scripts[0], f.scripts[1:]
	}
	f.mu.Unlock()
	if s != nil {
		s(c, q)
	}
}

// observe records a call of the service that took this long.
func (f *fixture) observe(first, run timer.Millis) {
	f.options.Forecaster.Observe(forecaster.Sample{Call: forecaster.Call{Service: "svc"}, First: first, Run: run})
}

func (f *fixture) seen() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// sink records what the caller receives.
type sink struct {
	// heads counts the calls of Head.
	heads        int
	status       int
	header       http.Header
	body         strings.Builder
	disconnected bool
}

var errDisconnected = errors.New("disconnected")

func (s *sink) Head(status int, h http.Header, _ int64) error {
	s.heads++
	s.status, s.header = status, h
	return nil
}

func (s *sink) Abort() {}

func (s *sink) Write(p []byte) error {
	if s.disconnected {
		return errDisconnected
	}
	s.body.Write(p)
	return nil
}

func route(kind cataloger.Kind, resumable bool, attempts int) *cataloger.Route {
	return &cataloger.Route{Kind: kind, Resumable: resumable, MaxAttempts: attempts}
}

func (f *fixture) run(r *cataloger.Route) (relayer.Outcome, *sink) {
	return f.runFor(3*timer.Second, r)
}

// runFor runs a call whose caller waits this long.
func (f *fixture) runFor(wait timer.Millis, r *cataloger.Route) (relayer.Outcome, *sink) {
	s := &sink{}
	o := f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{"Id": {"id"}, "Workspace": {"forged"}, "X": {"1"}},
		Body: []byte("body"), Route: r, Service: "svc", Workspace: "w", Deadline: f.clock.Now() + wait,
	}, s)
	return o, s
}

func text(status, headers, body string) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

// refused is the answer of a full server.
var refused = text("503 Service Unavailable", "Not-Run: 1\r\n", "")

const signed = "Signature: s\r\n"

// events streams the events from first to last. It ends the stream if whole, and
// otherwise breaks it off within the next chunk.
func events(first, last int, whole bool) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: s"+strconv.Itoa(first)+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := first; i <= last; i++ {
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

func breakOff(net.Conn, *http.Request) {}

func wholeStream(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

func TestForwardedRequestHasRelayHeaders(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "hello"))
	o, s := f.run(route(cataloger.Idempotent, false, 2))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, "hello", s.body.String())
	q := f.seen()[0]
	require.Equal(t, "w", q.Header.Get("Workspace"))
	require.Equal(t, "s0", q.Header.Get("Expect"))
	require.Equal(t, "1", q.Header.Get("X"))
	require.Equal(t, "body", f.bodies[0])
	left, err := strconv.Atoi(q.Header.Get("Deadline"))
	require.NoError(t, err)
	require.Positive(t, left)
	require.LessOrEqual(t, left, 3000)
}

func TestNonIdempotentRequestIsNeverSentTwice(t *testing.T) {
	for _, s := range []script{breakOff, text("503 Service Unavailable", signed, ""), text("200 OK", "", "unsigned")} {
		f := newFixture(t, 3, s)
		o, got := f.run(route(cataloger.NonIdempotent, false, 3))
		require.IsType(t, relayer.Unknown{}, o, "the call may have run")
		require.Len(t, f.seen(), 1)
		require.Zero(t, got.status)
	}
}

func TestNotRunRefusalIsPassedOn(t *testing.T) {
	f := newFixture(t, 3, refused, refused, refused)
	o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
	n, ok := o.(relayer.NotRun)
	require.True(t, ok)
	require.Positive(t, n.RetryAfter)
	require.Len(t, f.seen(), 1)
	f = newFixture(t, 3, refused, text("200 OK", signed, "ok"))
	o, _ = f.run(route(cataloger.NonIdempotent, false, 2))
	require.IsType(t, relayer.Delivered{}, o)
}

func TestOtherServerAtTheAddressDoesNotCountAsAnAttempt(t *testing.T) {
	f := newFixture(t, 2, text("421 Misdirected Request", "", ""), text("200 OK", signed, "ok"))
	o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
}

func TestIdempotentRequestIsSentToAsManyServersAsAllowed(t *testing.T) {
	f := newFixture(t, 4, breakOff, text("200 OK", signed, "second"))
	o, s := f.run(route(cataloger.Idempotent, false, 2))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, "second", s.body.String())
	f = newFixture(t, 4, breakOff, breakOff, text("200 OK", signed, "third"))
	o, _ = f.run(route(cataloger.Idempotent, false, 2))
	require.IsType(t, relayer.Unknown{}, o)
	require.Len(t, f.seen(), 2)
}

func TestFailureIsPassedOnUnchanged(t *testing.T) {
	f := newFixture(t, 1, text("500 Internal Server Error", signed, "why"))
	o, s := f.run(route(cataloger.NonIdempotent, false, 1))
	require.Equal(t, 500, o.(relayer.Delivered).Status)
	require.Equal(t, 500, s.status)
	require.Equal(t, "why", s.body.String())
	require.Equal(t, "s", s.header.Get("Signature"))
}

func TestBrokenStreamIsResumedAtAnotherServerWithinOneAnswer(t *testing.T) {
	f := newFixture(t, 2, events(1, 3, false), events(4, 6, true))
	o, s := f.run(route(cataloger.Stream, true, 2))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, wholeStream(6), s.body.String())
	require.Equal(t, "s1", s.header.Get("Signature"), "the answer keeps the head of its first server")
	require.Equal(t, "3", f.seen()[1].Header.Get("After"))
	require.NotEqual(t, f.seen()[0].Header.Get("Expect"), f.seen()[1].Header.Get("Expect"))
}

func TestStreamResumedAtWrongEventIsNotPassedOn(t *testing.T) {
	f := newFixture(t, 2, events(1, 3, false), events(1, 6, true))
	o, s := f.run(route(cataloger.Stream, true, 2))
	require.IsType(t, relayer.Interrupted{}, o)
	require.Equal(t, wholeStream(3), s.body.String())
}

func TestNonResumableStreamIsInterrupted(t *testing.T) {
	f := newFixture(t, 2, events(1, 3, false), events(4, 6, true))
	o, _ := f.run(route(cataloger.Stream, false, 2))
	require.IsType(t, relayer.Interrupted{}, o)
	require.Len(t, f.seen(), 1)
}

func TestCallEndsWhenItsCallerDisconnects(t *testing.T) {
	f := newFixture(t, 1, events(1, 3, true))
	s := &sink{disconnected: true}
	o := f.relayer.Run(t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: route(cataloger.Stream, true, 2),
		Service: "svc", Deadline: timer.System().Now() + timer.Second,
	}, s)
	require.IsType(t, relayer.CallerGone{}, o)
	require.Empty(t, f.picker.Loads(), "the call is no longer counted")
}

func TestCallWithoutServersIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 0)
	o, _ := f.run(route(cataloger.NonIdempotent, false, 1))
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
}

// A call that crashes every server that starts to run it is repeated.
func TestCallIsRefusedAsNotRunAfterServerFailures(t *testing.T) {
	f := newFixture(t, 6, breakOff, breakOff, breakOff)
	o, _ := f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Unknown{}, o)
	require.Len(t, f.seen(), 3)
	o, _ = f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.NotRun{}, o)
	require.Positive(t, o.(relayer.NotRun).RetryAfter)
	require.Len(t, f.seen(), 3)
}

// Servers crash in the middle of streams. A stream that is answered after such
// crashes does not count as their cause, however many there were.
func TestAnsweredStreamIsNotQuarantinedForMidStreamCrashes(t *testing.T) {
	f := newFixture(t, 6)
	for range 4 {
		f.scripts = append(f.scripts, events(1, 2, false), events(1, 2, false), text("200 OK", streamHeaders+"Connection: close\r\n", wholeStream(1)))
	}
	for i := range 12 {
		o, _ := f.run(route(cataloger.Stream, false, 1))
		if i%3 < 2 {
			require.IsType(t, relayer.Interrupted{}, o)
		} else {
			require.IsType(t, relayer.Delivered{}, o)
		}
	}
}

func TestAnswerClearsEarlierServerFailuresOfACall(t *testing.T) {
	f := newFixture(t, 6, breakOff, breakOff, text("200 OK", signed, "a"), breakOff, text("200 OK", signed, "b"))
	o, _ := f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Delivered{}, o)
	o, _ = f.run(route(cataloger.Idempotent, false, 3))
	require.IsType(t, relayer.Delivered{}, o)
}
