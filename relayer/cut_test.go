package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
)

// cutAfter returns a script that writes the first n bytes of an answer and closes, with a
// reset or without.
func cutAfter(answer string, n int, reset bool) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answer[:n])
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// A server stopped at any byte of its answer and closed. Callers got a 200 with an empty or a
// short body, framed as whole; a refusal that was cut off is none.
func TestAnswerThatIsCutAtAnyByteIsNotDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id\r\n" + signed
	const stream = "Content-Type: text/event-stream\r\n"
	const event = "id: 1\ndata: x\n\n"
	answers := map[string]struct {
		text string
		// framed is false if the answer ends with its connection: whatever comes after its
		// head may then be all of it.
		framed bool
	}{
		"length":         {head + "Content-Length: 11\r\n\r\nhello world", true},
		"long-length":    {head + "Content-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024), true},
		"empty":          {head + "Content-Length: 0\r\n\r\n", true},
		"length-first":   {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\nId: id\r\n" + signed + "\r\nhello world", true},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", true},
		"trailer":        {head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5\r\nhello\r\n0\r\nT: v\r\n\r\n", true},
		"until-close":    {head + "\r\nhello world", false},
		"interim":        {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
		"stream":         {head + stream + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n", true},
		"stream-length":  {head + stream + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)) + event, true},
		"stream-close":   {head + stream + "\r\n" + event, false},
		"failure":        {"HTTP/1.1 500 Internal Server Error\r\nId: id\r\n" + signed + "Content-Length: 5\r\n\r\nsorry", true},
		"folded":         {head + "X: a\r\n b\r\nContent-Length: 2\r\n\r\nok", true},
		"no-reason":      {"HTTP/1.1 200 \r\nId: id\r\n" + signed + "Content-Length: 2\r\n\r\nok", true},
		"line-feeds":     {strings.ReplaceAll(head+"Content-Length: 2\r\n\r\n", "\r\n", "\n") + "ok", true},
		"refusal":        {"HTTP/1.1 503 Service Unavailable\r\nId: id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
		"wrong-server":   {"HTTP/1.1 421 Misdirected Request\r\nId: id\r\nContent-Length: 0\r\n\r\n", true},
		"too-many":       {"HTTP/1.1 429 Too Many Requests\r\nId: id\r\nNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", true},
		"other-requests": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 2\r\n\r\nok", true},
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			end := len(a.text)
			if !a.framed {
				end = strings.Index(a.text, "\r\n\r\n") + len("\r\n\r\n")
			}
			if strings.Contains(a.text, "Not-Run") || name == "wrong-server" {
				// Once its head is whole, a refusal is.
				end = strings.Index(a.text, "\r\n\r\n") + len("\r\n\r\n")
			}
			for n := range end {
				t.Run(fmt.Sprint("after-", n), func(t *testing.T) {
					f := newFixture(t, 1, cutAfter(a.text, n, n%2 == 1))
					kind := cataloger.NonIdempotent
					if strings.HasPrefix(name, "stream") {
						kind = cataloger.Stream
					}
					o, s := f.run(route(kind, false, 1))
					require.Len(t, f.seen(), 1)
					if s.status == 0 {
						require.IsType(t, relayer.Unknown{}, o, "cut after %q", a.text[:n])
						return
					}
					require.IsType(t, relayer.Interrupted{}, o, "cut after %q", a.text[:n])
					require.Contains(t, event, s.body.String())
				})
			}
		})
	}
}
