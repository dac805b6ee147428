package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// A server answers with 200 and the text of an error in place of events. The text reached
// the caller, in the middle of its stream if an earlier server had begun it.
func TestTextThatIsNoEventIsNotPassedOn(t *testing.T) {
	for _, body := range []string{
		"{\"error\":\"overloaded\"}\n\n", "Internal Server Error\n\n", "HTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\n", "overloaded\n\ndata: [DONE]\n\n",
		// The report of an error was taken for an event: it stood in the middle of a stream that
		// was resumed behind it, and a batch answer that ended with it counted as whole.
		"data: {\"error\":{\"message\":\"worker lost\"}}\n\n", "data: {\"error\":\"worker lost\"}\n\ndata: [DONE]\n\n",
		"event: error\ndata: {\"object\":\"error\",\"error\":{}}\n\ndata: [DONE]\n\n",
	} {
		address := harness.Serve(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nResumed-From: 2\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		})
		x := exchanger.New(exchanger.Options{})
		defer x.Close()
		s := &sink{}
		r := x.Exchange(t.Context(), &exchanger.Call{ID: "1", Address: address, Method: "POST", Path: "/", Stream: true, ResumeFrom: 2}, s)
		require.IsType(t, exchanger.Broken{}, r, "%q", body)
		require.Empty(t, s.body, "%q", body)
	}
}

// Comments and the other fields of events belong to a stream.
func TestCommentsAndFieldsOfEventsArePassedOn(t *testing.T) {
	const body = ": waiting\n\nevent: x\nid: 1\nretry: 5\ndata: {}\n\ndata: {\"error\":null}\n\ndata: [DONE]\n\n"
	address := harness.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+fmt.Sprint(len(body))+"\r\n\r\n"+body)
		}
	})
	x := exchanger.New(exchanger.Options{})
	defer x.Close()
	s := &sink{}
	r := x.Exchange(t.Context(), &exchanger.Call{ID: "1", Address: address, Method: "POST", Path: "/", Stream: true}, s)
	require.IsType(t, exchanger.Complete{}, r)
	require.Equal(t, body, string(s.body))
}
