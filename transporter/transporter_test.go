package transporter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
)

// server starts a backend server that runs script on each connection, and returns its
// address.
func server(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return harness.Serve(t, func(c net.Conn) { script(c, bufio.NewReader(c)) })
}

func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(q.Body)
	return q, string(body), err
}

func newTransporter(t *testing.T) *transporter.Transporter {
	c := transporter.New(transporter.Options{IDHeader: "Id", Clock: timer.System()})
	t.Cleanup(c.Close)
	return c
}

func request(address, id string) *transporter.Request {
	return &transporter.Request{Server: "s", Address: address, Method: "POST", Target: "/p?q=1", Host: "h", Header: http.Header{"X": {"1"}}, Body: []byte("body"), ID: id}
}

func get(t *testing.T, c *transporter.Transporter, r *transporter.Request) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), r, 2*timer.Second)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, body, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(q.Header.Get("N"), q.RequestURI+body))
		}
	})
	c := newTransporter(t)
	for range 3 {
		got, err := get(t, c, request(address, ""))
		require.NoError(t, err)
		require.Equal(t, "/p?q=1body", got)
	}
	require.EqualValues(t, 1, c.Dials())
}

func TestExtraAnswerToAnEarlierRequestIsDropped(t *testing.T) {
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("stale", "not yours")+answer("mine", "yours"))
		_, _, _ = readRequest(r)
	})
	got, err := get(t, newTransporter(t), request(address, "mine"))
	require.NoError(t, err)
	require.Equal(t, "yours", got)
}

func TestConnectionWithBytesAfterTheAnswerIsNotReused(t *testing.T) {
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("1", "first")+answer("1", "extra"))
		_, _, _ = readRequest(r)
	})
	c := newTransporter(t)
	for range 2 {
		got, err := get(t, c, request(address, "1"))
		require.NoError(t, err)
		require.Equal(t, "first", got)
	}
	require.EqualValues(t, 2, c.Dials())
}

func TestTruncatedAndResetAnswersAreReportedAsBroken(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"garbage": "\x00\x01 not an answer\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			address := server(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, raw)
				}
			})
			_, err := get(t, newTransporter(t), request(address, ""))
			var broken *transporter.BrokenError
			require.ErrorAs(t, err, &broken)
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		}
	})
	got, err := get(t, newTransporter(t), request(address, ""))
	require.NoError(t, err)
	require.Equal(t, "all of it", got)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = get(t, newTransporter(t), request(address, ""))
	var notSent *transporter.NotSentError
	require.ErrorAs(t, err, &notSent)
}

func TestExchangeWithSilentServerFails(t *testing.T) {
	address := server(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _, _ = readRequest(r)
	})
	_, err := newTransporter(t).Send(t.Context(), request(address, ""), 30)
	var silent *transporter.SilentError
	require.ErrorAs(t, err, &silent)
}

func TestCancelledExchangeClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	reading := make(chan struct{})
	address := server(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		close(reading)
		_, _, err := readRequest(r)
		if err != nil {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reading
		cancel()
	}()
	_, err := newTransporter(t).Send(ctx, request(address, ""), 5*timer.Second)
	require.Error(t, err)
	<-closed
}

// A server may answer before it has read a long body, and read the rest later. The
// connection must carry nothing but the rest of that body.
func TestEarlyAnswerIsAcceptedAndBodyCompleted(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	whole := make(chan int, 2)
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer("", "early"))
			b, _ := io.ReadAll(q.Body)
			whole <- len(b)
		}
	})
	c := newTransporter(t)
	r := request(address, "")
	r.Body = []byte(body)
	a, err := c.Send(t.Context(), r, 2*timer.Second)
	require.NoError(t, err)
	got, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "early", string(got))
	a.Close()
	next, err := get(t, c, request(address, ""))
	require.NoError(t, err)
	require.Equal(t, "early", next)
}

func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	address := server(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, answer("", "once"))
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	c := newTransporter(t)
	for range 5 {
		got, err := get(t, c, request(address, ""))
		var broken *transporter.BrokenError
		if errors.As(err, &broken) {
			require.True(t, broken.Reused, "only a reused connection that was closed at that moment may fail")
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "once", got)
		<-closed
	}
}
