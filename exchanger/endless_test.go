package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// discard is a Sink that keeps nothing.
type discard struct{}

func (discard) Head(int, []requester.Header) error { return nil }
func (discard) Body([]byte, int64) error           { return nil }

// Servers send bytes without end to many calls at once. What is buffered of all answers
// stays within the memory for answers, and no exchange ends as complete.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	const most, calls = 1 << 20, 40
	part := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct {
		head   string
		stream bool
	}{
		"no-line":  {"", false},
		"header":   {"HTTP/1.1 200 OK\r\nX: ", false},
		"interim":  {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2000), false},
		"event":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n", true},
		"length":   {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", true},
		"plain":    {"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n", false},
		"unframed": {"HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := harness.Serve(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.head)
				for sent := 0; err == nil && sent < 16<<20; sent += len(part) {
					_, err = io.WriteString(conn, part)
				}
			})
			memory := holder.New(most)
			x := exchanger.New(exchanger.Options{Memory: memory})
			defer x.Close()
			var running sync.WaitGroup
			for range calls {
				running.Go(func() {
					r := x.Exchange(t.Context(), &exchanger.Call{ID: "1", Address: address, Method: "POST", Path: "/", Stream: c.stream, NewConnection: true}, discard{})
					if _, complete := r.(exchanger.Complete); complete {
						t.Errorf("%T", r)
					}
				})
			}
			require.LessOrEqual(t, harness.MostInUse(&running, memory.InUse), int64(most))
			require.Zero(t, memory.InUse())
		})
	}
}
