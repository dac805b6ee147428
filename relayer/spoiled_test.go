package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// lost is what a server sends that lost its worker. It is no event: it has no number.
const lost = "data: error: worker lost\n\n"

// unfinished returns a script that begins a stream with body and breaks off.
func unfinished(headers, body string) script {
	return raw("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 1000000\r\n\r\n" + body)
}

// otherBytes are answers to a new stream that have bytes which are no event of it, and the part
// before these.
var otherBytes = map[string]struct {
	answer script
	passed string
}{
	"text before the first event":   {unfinished(streamHeaders, lost), ""},
	"text after two events":         {unfinished(streamHeaders, wholeStream(2)+lost), wholeStream(2)},
	"text as a whole stream":        {text("200 OK", streamHeaders, lost), ""},
	"text behind the last event":    {text("200 OK", streamHeaders, wholeStream(4)+lost), wholeStream(4)},
	"text behind a comment":         {text("200 OK", streamHeaders, ": hello\n\n"+lost), ": hello\n\n"},
	"first event missing":           {text("200 OK", streamHeaders, strings.TrimPrefix(wholeStream(4), wholeStream(1))), ""},
	"event of a later part":         {text("200 OK", streamHeaders, "id: 7\ndata: e7\n\n"), ""},
	"event in the middle missing":   {text("200 OK", streamHeaders, wholeStream(1)+"id: 3\ndata: e3\n\n"), wholeStream(1)},
	"event twice":                   {text("200 OK", streamHeaders, wholeStream(1)+wholeStream(1)), wholeStream(1)},
	"event cut after its number":    {text("200 OK", streamHeaders, wholeStream(1)+"id: 2\n\n"), wholeStream(1)},
	"number that is none":           {text("200 OK", streamHeaders, "id: one\ndata: e1\n\n"), ""},
	"text without a type":           {text("200 OK", signed, lost), ""},
	"text without a type or an end": {unfinished(signed, lost), ""},
	"answer of another type":        {text("200 OK", signed+"Content-Type: application/json\r\n", `{"error":"lost"}`), ""},
}

// A server sent bytes that are no event of the stream and broke off. They were passed on, the
// stream was resumed behind them, and its caller got a complete answer with them inside.
func TestBytesThatAreNoEventOfAStreamAreNotPassedOn(t *testing.T) {
	for name, c := range otherBytes {
		t.Run(name, func(t *testing.T) {
			first := strings.Count(c.passed, "id:") + 1
			f := newFixture(t, 2, c.answer, events(first, 4, true))
			o, s := f.run(route(cataloger.Stream, true, 2))
			require.IsType(t, relayer.Delivered{}, o)
			require.Equal(t, wholeStream(4), strings.TrimPrefix(s.body.String(), ": hello\n\n"))
			require.Equal(t, 1, s.heads)
		})
	}
}

// The same where a stream cannot be resumed: its answer must not look complete.
func TestStreamWithOtherBytesThatCannotBeResumedIsBrokenOff(t *testing.T) {
	for name, c := range otherBytes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, c.answer, events(1, 4, true))
			o, s := f.run(route(cataloger.Stream, false, 2))
			require.Equal(t, c.passed, s.body.String())
			require.Len(t, f.seen(), 1)
			if s.heads == 0 {
				require.IsType(t, relayer.Unknown{}, o)
				return
			}
			require.IsType(t, relayer.Interrupted{}, o)
		})
	}
}

// runAfter runs a stream of a caller who has the events up to last.
func (f *fixture) runAfter(last string, r *cataloger.Route) (relayer.Outcome, *sink) {
	s := &sink{}
	return f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{"Id": {"id"}, "After": {last}},
		Route: r, Service: "svc", Deadline: f.clock.Now() + 3*timer.Second,
	}, s), s
}

// A caller resumes a stream, and a server answers with events that the caller has, or leaves
// some out.
func TestStreamThatItsCallerResumesContinuesAfterTheCallersLastEvent(t *testing.T) {
	f := newFixture(t, 3, events(1, 4, true), events(4, 4, true), events(3, 4, true))
	o, s := f.runAfter("2", route(cataloger.Stream, true, 3))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, strings.TrimPrefix(wholeStream(4), wholeStream(2)), s.body.String())
	for _, q := range f.seen() {
		require.Equal(t, "2", q.Header.Get("After"))
	}
}

// A server of a route whose streams cannot be resumed may ignore the number that its caller
// names.
func TestStreamThatCannotBeResumedMayBeginAgain(t *testing.T) {
	for first := range 5 {
		t.Run(fmt.Sprint("from-", first+1), func(t *testing.T) {
			f := newFixture(t, 1, events(first+1, 4, true))
			o, s := f.runAfter("2", route(cataloger.Stream, false, 1))
			switch first + 1 {
			case 1, 3:
				require.IsType(t, relayer.Delivered{}, o)
				require.Equal(t, wholeStream(4), wholeStream(first)+s.body.String())
			case 5:
				require.IsType(t, relayer.Delivered{}, o, "a stream without events")
			default:
				require.IsType(t, relayer.Interrupted{}, o)
				require.Empty(t, s.body.String())
			}
		})
	}
}

// A server leaves the type of its stream out. Its events are passed on as they come.
func TestStreamWithoutATypeIsPassedOn(t *testing.T) {
	f := newFixture(t, 2, unfinished(signed, wholeStream(2)), events(3, 4, true))
	o, s := f.run(route(cataloger.Stream, true, 2))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, wholeStream(4), s.body.String())
}

// Routes whose answers are no streams of the protocol may have event streams without numbers.
func TestEventsOfOtherRoutesNeedNoNumbers(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", streamHeaders, lost+"id: 9\ndata: x\n\n"))
	o, s := f.run(route(cataloger.Idempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, lost+"id: 9\ndata: x\n\n", s.body.String())
}
