package transporter_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// longBody is longer than the buffers of both ends of a connection, so that it is still being
// written when the server answers.
var longBody = make([]byte, 16<<20)

// A server answers a long upload at once without a length, sends a part of its body and resets
// the connection. The reset is reported to the write that is in progress, and the read that
// follows sees a plain end of the connection. The part was taken for the whole answer.
func TestResetDuringTheUploadDoesNotCompleteAnAnswer(t *testing.T) {
	for range 20 {
		address := server(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = r.Peek(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
			timer.Sleep(t.Context(), 5)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		c := newTransporter(t)
		q := request(address, "1")
		q.Method, q.Body = "POST", longBody
		a, err := c.Send(t.Context(), q, timer.Second)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(a)
		a.Close()
		require.Error(t, err, "%q was taken for a whole answer", body)
	}
}

// A status outside 100 to 599 is no status. One of 000 was skipped like an interim answer, and
// one above 599 was passed on.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		address := server(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+answer("1", "body"))
		})
		_, err := get(t, newTransporter(t), request(address, "1"))
		require.Error(t, err, status)
	}
}
