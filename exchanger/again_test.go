package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// sink records what an exchange passes on.
type sink struct {
	status int
	body   []byte
}

func (s *sink) Head(status int, _ []requester.Header) error {
	s.status = status
	return nil
}

func (s *sink) Body(piece []byte, _ int64) error {
	s.body = append(s.body, piece...)
	return nil
}

// A faulty server writes an earlier refusal or failure once more when the next request
// arrives on the same connection, and runs that request.
func TestEarlierAnswerWrittenAgainIsNotTakenForTheNextOne(t *testing.T) {
	for name, earlier := range map[string]string{
		"too many": "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n",
		"not run":  "HTTP/1.1 503 X\r\nJackdawgate-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure":  "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := harness.Serve(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					runs := q.URL.Path == "/second"
					if !runs || n > 0 {
						_, _ = io.WriteString(c, earlier)
					}
					if runs {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					}
				}
			})
			x := exchanger.New(exchanger.Options{})
			defer x.Close()
			x.Exchange(t.Context(), &exchanger.Call{ID: "1", Address: address, Method: "POST", Path: "/first"}, &sink{})
			s := &sink{}
			r := x.Exchange(t.Context(), &exchanger.Call{ID: "2", Address: address, Method: "POST", Path: "/second"}, s)
			require.Equal(t, exchanger.Complete{Status: 200}, r)
			require.Equal(t, "{}", string(s.body))
		})
	}
}
