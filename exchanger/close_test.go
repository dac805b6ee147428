package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// watchedConn reports whether it was closed.
type watchedConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c watchedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Store(true)
	return err
}

// cancellingSink ends the context of its exchange with the first piece of the body.
type cancellingSink struct{ cancel context.CancelFunc }

func (s cancellingSink) Head(int, []requester.Header) error { return nil }

func (s cancellingSink) Body([]byte, int64) error {
	s.cancel()
	return errors.New("stopped")
}

// The context of an exchange ended at the moment at which it returned, and its connection
// was closed a little later: the server's slot was given away while it still ran the call.
func TestConnectionIsClosedWhenACancelledExchangeReturns(t *testing.T) {
	address := harness.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	})
	for range 500 {
		var closed atomic.Bool
		x := exchanger.New(exchanger.Options{Dial: func(_ context.Context, a string) (net.Conn, error) {
			c, err := net.Dial("tcp", a)
			return watchedConn{c, &closed}, err
		}})
		ctx, cancel := context.WithCancel(t.Context())
		x.Exchange(ctx, &exchanger.Call{ID: "1", Address: address, Method: "POST", Path: "/"}, cancellingSink{cancel})
		require.True(t, closed.Load())
		x.Close()
	}
}
