package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/acceptor"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// pipes is an in-memory net.Listener.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

type fixture struct {
	t *testing.T
	p *pipes
	a *acceptor.Acceptor
	// release unblocks requests for /slow when closed.
	release chan struct{}
}

var limits = acceptor.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3000, IdleTimeout: 15000}

func start(t *testing.T) *fixture {
	f := &fixture{t: t, p: &pipes{conns: make(chan net.Conn), done: make(chan struct{})}, release: make(chan struct{})}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-f.release
		}
		_, _ = io.WriteString(w, "ok")
	})
	f.a = acceptor.New(f.p, h, limits, timer.System(), zap.NewNop())
	return f
}

// caller is the client side of a connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (f *fixture) dial() *caller {
	ours, theirs := net.Pipe()
	f.p.conns <- theirs
	return &caller{t: f.t, conn: ours, in: bufio.NewReader(ours)}
}

func (c *caller) get(path, headers string) int {
	require.NoError(c.t, c.conn.SetReadDeadline(time.Time{}))
	_, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n")
	require.NoError(c.t, err)
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	_, err = io.ReadAll(r.Body)
	require.NoError(c.t, err)
	return r.StatusCode
}

// closed reports whether the server has closed the connection.
func (c *caller) closed() bool {
	if c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return true
	}
	_, err := c.in.Peek(1)
	return errors.Is(err, io.EOF)
}

func pass(m timer.Millis) { time.Sleep(m.Duration()); synctest.Wait() }

func TestIdleConnectionIsClosedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		c := f.dial()
		for range 3 {
			require.Equal(t, 200, c.get("/", ""))
			pass(12000)
		}
		require.False(t, c.closed(), "callers may use four fifths of the limit")
		pass(3500)
		require.True(t, c.closed())
		f.a.Shutdown(t.Context())
	})
}

// A caller that has not yet received a shorter limit relies on the longer one.
func TestShorterIdleLimitDoesNotApplyToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		c := f.dial()
		require.Equal(t, 200, c.get("/", ""))
		shorter := limits
		shorter.IdleTimeout = 5000
		f.a.SetLimits(shorter)
		pass(12000)
		require.Equal(t, 200, c.get("/", ""))
		pass(5500)
		require.True(t, c.closed(), "idle again, under the shorter limit")
		f.a.Shutdown(t.Context())
	})
}

func TestLongerIdleLimitAppliesToOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		c := f.dial()
		require.Equal(t, 200, c.get("/", ""))
		longer := limits
		longer.IdleTimeout = 60000
		f.a.SetLimits(longer)
		pass(40000)
		require.Equal(t, 200, c.get("/", ""))
		_ = c.conn.Close()
		synctest.Wait()
		f.a.Shutdown(t.Context())
	})
}

func TestHeaderLimitsApplyToNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		long := "X: " + strings.Repeat("x", 15<<10) + "\r\n"
		old := f.dial()
		require.Equal(t, 200, old.get("/", long))
		shorter := limits
		shorter.HeaderBytes = 1 << 10
		f.a.SetLimits(shorter)
		require.Equal(t, 200, old.get("/", long), "a connection keeps the limits under which it was opened")
		fresh := f.dial()
		go func() { _, _ = io.WriteString(fresh.conn, "GET / HTTP/1.1\r\nHost: h\r\n"+long+"\r\n") }()
		r, err := http.ReadResponse(fresh.in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.StatusCode)
		_ = fresh.conn.Close()
		_ = old.conn.Close()
		pass(1000)
		f.a.Shutdown(t.Context())
	})
}

func TestConnectionWithUnfinishedHeadersIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		c := f.dial()
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		pass(2900)
		require.False(t, c.closed())
		pass(200)
		require.True(t, c.closed())
		f.a.Shutdown(t.Context())
	})
}

// A planned shutdown with requests in flight on connections of two generations
// waits for all of them.
func TestShutdownWaitsForRequestsOfAllGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		var answered sync.WaitGroup
		old := f.dial()
		answered.Go(func() { require.Equal(t, 200, old.get("/slow", "")) })
		synctest.Wait()
		other := limits
		other.HeaderTimeout = 1000
		f.a.SetLimits(other)
		fresh := f.dial()
		answered.Go(func() { require.Equal(t, 200, fresh.get("/slow", "")) })
		synctest.Wait()
		ended := make(chan struct{})
		go func() { f.a.Shutdown(context.Background()); close(ended) }()
		pass(1000)
		select {
		case <-ended:
			require.Fail(t, "shutdown returned with requests in flight")
		default:
		}
		close(f.release)
		answered.Wait()
		<-ended
	})
}
