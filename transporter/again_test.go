package transporter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
)

// status sends a request and returns the status of its answer, or 0 if it failed.
func status(t *testing.T, c *transporter.Transporter, r *transporter.Request) int {
	t.Helper()
	a, err := c.Send(t.Context(), r, 2*timer.Second)
	if err != nil {
		return 0
	}
	defer a.Close()
	_, _ = io.Copy(io.Discard, a)
	return a.Status
}

// A faulty server writes an earlier answer once more when the next request arrives on the
// same connection, and runs that request. The caller was told that the request had not run,
// or got the answer of another one.
func TestEarlierAnswerWrittenAgainIsNotTakenForTheNextOne(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ earlier, first, second string }{
		"refusal without an identifier":               {refusal, "1", "2"},
		"refusal of the same request":                 {"HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "1", "1"},
		"wrong address, the same request":             {"HTTP/1.1 421 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "1", "1"},
		"failure of the same request":                 {"HTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "1", "1"},
		"success without an identifier":               {"HTTP/1.1 204 X\r\n\r\n", "1", "2"},
		"refusal of an earlier request, as announced": {"HTTP/1.1 429 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "1", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					q, _, err := readRequest(r)
					if err != nil {
						return
					}
					if q.Header.Get("Run") == "" || n > 0 {
						_, _ = io.WriteString(conn, c.earlier)
					}
					if q.Header.Get("Run") != "" {
						_, _ = io.WriteString(conn, answer(c.second, "ran"))
					}
				}
			})
			client := newTransporter(t)
			first, second := request(address, c.first), request(address, c.second)
			second.Header = http.Header{"Run": {"1"}}
			require.NotZero(t, status(t, client, first))
			require.Equal(t, 200, status(t, client, second), "the server ran the second request")
		})
	}
}

// Successes that name the request leave their connection in use.
func TestConnectionIsReusedAfterSuccessesThatNameTheirRequests(t *testing.T) {
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(q.Header.Get("Id"), "x"))
		}
	})
	c := newTransporter(t)
	for _, id := range []string{"1", "2", "3"} {
		r := request(address, id)
		r.Header = http.Header{"Id": {id}}
		require.Equal(t, 200, status(t, c, r))
	}
	require.EqualValues(t, 1, c.Dials())
}
