package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// A server wrote bytes on an idle connection that it keeps open. That counted as a crash of
// the server, and was held against the calls that it ran.
func TestOpenConnectionWithUnsolicitedBytesShowsNoCrash(t *testing.T) {
	written := make(chan struct{})
	done := make(chan struct{})
	address := harness.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		close(written)
		<-done
	})
	defer close(done)
	x := exchanger.New(exchanger.Options{})
	defer x.Close()
	_, _, err := x.Get(t.Context(), "1", address, "/health")
	require.NoError(t, err)
	<-written
	state := x.CheckConnections(address)
	require.NotEqual(t, exchanger.ConnectionClosed, state)
	require.Equal(t, exchanger.ConnectionNone, x.CheckConnections(address), "the connection is not used again")
}

func TestClosedConnectionShowsACrash(t *testing.T) {
	closed := make(chan struct{})
	address := harness.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
		_ = c.Close()
		close(closed)
	})
	x := exchanger.New(exchanger.Options{})
	defer x.Close()
	_, _, err := x.Get(t.Context(), "1", address, "/health")
	require.NoError(t, err)
	<-closed
	require.Eventually(t, func() bool { return x.CheckConnections(address) != exchanger.ConnectionOpen }, testTimeout, testTimeout/1000)
}
