package dispatcher_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// A stream broke off, and the attempt to resume it ended without a stream. The caller must
// get nothing of that answer, and the next server resumes the stream.
func TestStreamIsResumedAfterAnAnswerThatDoesNotContinueIt(t *testing.T) {
	for name, second := range map[string]string{
		"no answer":                 "",
		"part of a head":            "HTTP/1.1 20",
		"failure":                   "HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\noverloaded",
		"failure without a length":  "HTTP/1.1 500 X\r\n\r\noverloaded",
		"other status":              "HTTP/1.1 404 X\r\nContent-Length: 10\r\n\r\noverloaded",
		"success that is no stream": "HTTP/1.1 200 OK\r\nResumed-From: 2\r\nContent-Length: 24\r\n\r\n{\"error\":\"overloaded\"}\n\n",
		"text as a stream":          "HTTP/1.1 200 OK\r\nResumed-From: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("overloaded\n\n") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, "m1", "m2", "m3")
				var attempts atomic.Int64
				serve := func(_ int, c net.Conn) {
					defer func() { _ = c.Close() }()
					q := readRequest(c)
					if q == nil || !q.Header.IsPost() {
						return
					}
					switch attempts.Add(1) {
					case 1:
						_, _ = io.WriteString(c, chunked+"\r\n"+event("x", "a")+event("x", "b"))
					case 2:
						_, _ = io.WriteString(c, second)
					default:
						_, _ = io.WriteString(c, chunked+"Resumed-From: 2\r\n\r\n"+event("y", "c")+done)
					}
				}
				for _, id := range []string{"m1", "m2", "m3"} {
					f.engine(id, serve)
				}
				var a recordedAnswer
				o := f.hosts["h0"].Do(context.Background(), chatRequest("r1", true), &a)
				require.IsType(t, requester.Answered{}, o, "%+v", o)
				require.EqualValues(t, 3, attempts.Load())
				require.Equal(t, 1, a.heads)
				require.NotContains(t, string(a.body), "overloaded")
				for _, token := range []string{`"a"`, `"b"`, `"c"`, "[DONE]"} {
					require.Equal(t, 1, strings.Count(string(a.body), token), token)
				}
			})
		})
	}
}
