package transporter_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
)

// A server sends bytes that never form an answer, until the host closes the connection.
func TestEndlessAnswerIsReportedAsBroken(t *testing.T) {
	const enough = 64 << 20
	for name, part := range map[string]string{
		"no-line":        strings.Repeat("x", 1<<10),
		"status-line":    "HTTP/1.1 200 " + strings.Repeat("O", 1<<10),
		"interim":        "HTTP/1.1 100 Continue\r\n\r\n",
		"other-requests": "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9000000000000\r\n\r\n" + strings.Repeat("x", 1<<10),
		"headers":        "X-" + strings.Repeat("y", 100) + ": z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := server(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				total := 0
				if name == "headers" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				}
				_ = c.SetWriteDeadline(time.Now().Add((20 * timer.Second).Duration()))
				for total < enough {
					n, err := io.WriteString(c, part)
					total += n
					if err != nil {
						break
					}
				}
				sent <- total
			})
			_, err := get(t, newTransporter(t), request(address, "1"))
			var broken *transporter.BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
			require.Less(t, <-sent, enough, "the connection must be closed")
		})
	}
}
