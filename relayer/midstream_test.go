package relayer_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
)

const streamHeaders = signed + "Content-Type: text/event-stream\r\n"

// A stream broke off after two events, and the next server answers with something that does
// not continue it. The caller must see events only, and no end of the stream.
func TestAnswerThatDoesNotContinueAStreamIsNotPassedOn(t *testing.T) {
	const failure = `{"error":"overloaded"}`
	for name, next := range map[string]script{
		"success that is no stream":         text("200 OK", signed+"Content-Type: application/json\r\n", failure),
		"success without a type":            text("200 OK", signed, failure),
		"empty success that is no stream":   text("200 OK", signed+"Content-Type: application/json\r\n", ""),
		"other success":                     text("201 Created", signed, failure),
		"failure":                           text("500 X", signed, failure),
		"failure without a length":          raw("HTTP/1.1 500 X\r\n" + signed + "\r\n" + failure),
		"refusal":                           text("503 X", signed+"Not-Run: 1\r\n", failure),
		"refusal without a guarantee":       text("503 X", signed, failure),
		"wrong server":                      text("421 X", "", failure),
		"failure as a stream":               text("500 X", streamHeaders, "data: overloaded\n\n"),
		"text as a stream":                  text("200 OK", streamHeaders, failure+"\n\n"),
		"text without a length as a stream": raw("HTTP/1.1 200 OK\r\n" + streamHeaders + "\r\nInternal Server Error\n\n"),
		"head as a stream":                  text("200 OK", streamHeaders, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\n"),
		"event without a number":            text("200 OK", streamHeaders, "data: overloaded\n\n"),
		"event with another number":         text("200 OK", streamHeaders, "id: 1\ndata: e1\n\n"),
		"error event":                       text("200 OK", streamHeaders, "event: error\ndata: overloaded\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, events(1, 2, false), next, next)
			o, s := f.run(route(cataloger.Stream, true, 2))
			require.IsType(t, relayer.Interrupted{}, o)
			require.Equal(t, wholeStream(2), s.body.String())
			require.Equal(t, 200, s.status)
			require.Equal(t, 1, s.heads)
		})
	}
}

// After such an answer, a server that continues the stream is still found.
func TestStreamIsContinuedAfterAnAnswerThatDoesNotContinueIt(t *testing.T) {
	f := newFixture(t, 3, events(1, 2, false), text("200 OK", signed, `{"error":"x"}`), events(3, 4, true))
	o, s := f.run(route(cataloger.Stream, true, 3))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, wholeStream(4), s.body.String())
}

// What a server sends at the beginning of its own stream is passed on unchanged, comments
// and unknown fields too.
func TestCommentsAndOtherFieldsOfAStreamArePassedOn(t *testing.T) {
	const head, rest = ": hello\n\nid: 1\ndata: e1\n\n", ": waiting\n\nweight-versions: 3\nid: 2\ndata: e2\n\nretry: 5\n\n"
	f := newFixture(t, 2, raw("HTTP/1.1 200 OK\r\n"+streamHeaders+"Content-Length: 500\r\n\r\n"+head), text("200 OK", streamHeaders, rest))
	o, s := f.run(route(cataloger.Stream, true, 2))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, head+rest, s.body.String())
}

// raw returns a script that writes bytes as they are and closes the connection.
func raw(bytes string) script {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, bytes) }
}
