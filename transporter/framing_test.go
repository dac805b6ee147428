package transporter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
)

// An item's path was written into the request as it came: with line feeds in it, one request
// became two at the server, the second with any workspace that its author liked.
func TestTargetCannotContainAnotherRequest(t *testing.T) {
	for _, target := range []string{
		"/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "/a\nX: 1", "/a b", "/a\tb", "/a\x00", "/a\x7f", "", "a", "http://other/a", "*",
	} {
		reached := make(chan string, 4)
		address := server(t, func(c net.Conn, r *bufio.Reader) {
			for {
				q, _, err := readRequest(r)
				if err != nil {
					return
				}
				reached <- q.RequestURI
				_, _ = io.WriteString(c, answer("1", "body"))
			}
		})
		c := newTransporter(t)
		q := request(address, "1")
		q.Target = target
		_, err := get(t, c, q)
		require.False(t, transporter.WasSent(err), "%q: %v", target, err)
		require.Error(t, err)
		require.Empty(t, reached, "%q", target)
	}
}

// A header of an item could frame its request: with two lengths, what follows the shorter one
// is another request to some servers.
func TestHeadersDoNotFrameTheRequest(t *testing.T) {
	type received struct {
		request *http.Request
		body    string
	}
	reached := make(chan received, 4)
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, body, err := readRequest(r)
			if err != nil {
				return
			}
			reached <- received{q, body}
			_, _ = io.WriteString(c, answer("1", "body"))
		}
	})
	for _, h := range []http.Header{
		{"Content-Length": {"1"}},
		{"Transfer-Encoding": {"chunked"}},
		{"Host": {"other"}},
		{"X\r\nY": {"1"}},
		{"X": {"1\r\nContent-Length: 1\r\n\r\n"}},
		{"Content-Length": {"4", "1"}, "Transfer-Encoding": {"identity"}, "Trailer": {"X"}},
	} {
		q := request(address, "1")
		q.Header = h
		_, err := get(t, newTransporter(t), q)
		require.NoError(t, err, "%q", h)
		require.Len(t, reached, 1, "%q", h)
		r := <-reached
		require.Equal(t, "body", r.body, "%q", h)
		require.Equal(t, "h", r.request.Host, "%q", h)
		require.Empty(t, r.request.Header["Y"], "%q", h)
	}
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Keep-Alive": {"timeout=1"}, "Content-Length": {"3"}, "Other": {"2"}}
	transporter.RemoveHopHeaders(h)
	require.Equal(t, http.Header{"Other": {"2"}}, h)
}
