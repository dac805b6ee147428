package relayer_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
)

// unframed answers with neither a length nor chunks, and then ends the connection, or
// resets it.
func unframed(contentType, body string, reset bool) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

const eventStream = "text/event-stream"

// An answer without framing is complete when its connection ends. It must not keep the
// connection for another call.
func TestAnswerThatEndsWithItsConnectionIsComplete(t *testing.T) {
	f := newFixture(t, 1, unframed("text/plain", "whole", false), unframed(eventStream, wholeStream(3), false), text("200 OK", signed, "next"))
	o, s := f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, "whole", s.body.String())
	o, s = f.run(route(cataloger.Stream, true, 1))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, wholeStream(3), s.body.String())
	o, s = f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, "next", s.body.String())
}

// An answer without framing that is reset is broken off, as is a stream that ends inside
// an event, and nothing of the unfinished event is passed on.
func TestUnframedAnswerThatIsBrokenOffIsNotComplete(t *testing.T) {
	f := newFixture(t, 1, unframed("text/plain", "part", true))
	o, s := f.run(route(cataloger.NonIdempotent, false, 1))
	require.IsType(t, relayer.Unknown{}, o)
	require.Zero(t, s.status)
	for _, rest := range []string{"id: 3\nda", "id: 3\ndata: e3", "id: 3\ndata: e3\n", "i"} {
		f = newFixture(t, 2, unframed(eventStream, wholeStream(2)+rest, false))
		o, s = f.run(route(cataloger.Stream, false, 1))
		require.IsType(t, relayer.Interrupted{}, o, strconv.Quote(rest))
		require.Equal(t, wholeStream(2), s.body.String())
		f = newFixture(t, 2, unframed(eventStream, wholeStream(2)+rest, false), events(3, 4, true))
		o, s = f.run(route(cataloger.Stream, true, 2))
		require.IsType(t, relayer.Delivered{}, o, strconv.Quote(rest))
		require.Equal(t, wholeStream(4), s.body.String())
		require.Equal(t, "2", f.seen()[1].Header.Get("After"))
	}
}
