package holder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// steadyClock is a timer.Clock that a test moves by hand, while others read it.
type steadyClock struct {
	mu   sync.Mutex
	time timer.Millis
}

func (c *steadyClock) Now() timer.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.time
}

func (c *steadyClock) pass(d timer.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.time += d
}

type group struct {
	*holder.Group
	t     *testing.T
	clock *steadyClock
	l     net.Listener
	lines *observer.ObservedLogs
}

func newGroup(t *testing.T, limit int) *group {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	core, lines := observer.New(zapcore.InfoLevel)
	g := &group{t: t, clock: &steadyClock{}, lines: lines}
	g.Group = holder.NewGroup(limit, g.clock, holder.NewReporter(zap.New(core), func(holder.Cause) {}))
	g.l = g.Listener(l, holder.RefusalResponse("text/plain", "full"))
	t.Cleanup(func() { _ = l.Close() })
	return g
}

// dial opens a connection and returns both ends.
func (g *group) dial() (caller net.Conn, host *holder.Connection) {
	c, err := net.Dial("tcp4", g.l.Addr().String())
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = c.Close() })
	h, err := g.l.Accept()
	require.NoError(g.t, err)
	g.clock.pass(1000)
	return c, h.(*holder.Connection)
}

// closed reports whether the host has closed the connection of a caller that sends nothing.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var n net.Error
	return err != nil && !(asNetError(err, &n) && n.Timeout())
}

func asNetError(err error, to *net.Error) bool {
	n, ok := err.(net.Error)
	*to = n
	return ok
}

// Idle connections took all descriptors of a host, and no caller could connect.
func TestLongestIdleConnectionGivesWay(t *testing.T) {
	g := newGroup(t, 3)
	served, host := g.dial()
	host.Serve()
	idle, _ := g.dial()
	younger, _ := g.dial()
	newest, _ := g.dial()
	require.True(t, closed(idle))
	for _, c := range []net.Conn{served, younger, newest} {
		require.False(t, closed(c))
	}
	require.Equal(t, 3, g.Open())
	host.Wait()
	g.dial()
	require.True(t, closed(younger), "a connection waits from the end of its last request on")
	require.False(t, closed(served))
}

// A caller that sends a few bytes now and then makes no progress.
func TestConnectionThatDripsGivesWayBeforeOneThatGoesOn(t *testing.T) {
	g := newGroup(t, 2)
	going, host := g.dial()
	dripping, drip := g.dial()
	for range 4 {
		_, err := going.Write(make([]byte, 16<<10))
		require.NoError(t, err)
		_, err = io.ReadFull(host, make([]byte, 16<<10))
		require.NoError(t, err)
		_, err = dripping.Write(make([]byte, 7))
		require.NoError(t, err)
		_, err = io.ReadFull(drip, make([]byte, 7))
		require.NoError(t, err)
		g.clock.pass(1000)
	}
	g.dial()
	require.True(t, closed(dripping))
	require.False(t, closed(going))
}

// A connection whose body is read is answered before it is closed.
func TestConnectionThatReadsABodyIsInterrupted(t *testing.T) {
	g := newGroup(t, 1)
	c, host := g.dial()
	interrupted := make(chan struct{})
	host.ReadBody(func() { close(interrupted) })
	g.dial()
	<-interrupted
	require.False(t, closed(c))
	require.NoError(t, host.Close())
	require.Equal(t, 1, g.Open())
}

// All connections are in use. A further caller can read why it is refused, also if it sends
// its request first.
func TestRefusedConnectionIsAnswered(t *testing.T) {
	g := newGroup(t, 1)
	_, host := g.dial()
	host.Serve()
	refused, err := net.Dial("tcp4", g.l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = refused.Close() }()
	_, err = refused.Write(make([]byte, 32<<10))
	require.NoError(t, err)
	accepted := make(chan struct{})
	go func() {
		_, _ = g.l.Accept()
		close(accepted)
	}()
	r, err := http.ReadResponse(bufio.NewReader(refused), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "full", string(body))
	require.Equal(t, 1, g.Open())
	require.NoError(t, host.Close())
	require.Zero(t, g.Open())
	require.NoError(t, g.l.Close())
	<-accepted
}

// An operator finds out from the log who opened a crowd of connections.
func TestShedConnectionsAreLoggedWithTheirAddress(t *testing.T) {
	g := newGroup(t, 1)
	for range 4 {
		g.dial()
	}
	require.Eventually(t, func() bool { return g.lines.FilterMessage("budget refused").Len() == 1 }, 10*time.Second, 10*time.Millisecond)
	fields := g.lines.All()[0].ContextMap()
	require.Equal(t, "connection-shed", fields["cause"])
	require.EqualValues(t, 3, fields["refusals"])
	require.Equal(t, "127.0.0.1", fields["most-from"])
	require.EqualValues(t, 3, fields["from-there"])
}

// The smallest host has 144 MB and 3,075 descriptors. Connections leave a reserve of both, and
// one body of the longest legal size fits.
func TestBudgetOfTheSmallestHost(t *testing.T) {
	b := holder.NewBudget(holder.Resources{MemoryMB: 144, Descriptors: 3075}, timer.System(), nil)
	callers, others := b.Connections.Callers().Limit(), b.Connections.Others().Limit()
	require.Equal(t, 460, callers)
	require.Equal(t, 230, others)
	require.Greater(t, b.Bodies.MaxBytes(), int64(4<<20))
	few := holder.NewBudget(holder.Resources{Descriptors: 400}, timer.System(), nil)
	require.Equal(t, 250, few.Connections.Callers().Limit())
	require.Equal(t, 50, few.Connections.Others().Limit())
	require.Equal(t, 7, holder.NewBudget(holder.Resources{Connections: 7}, timer.System(), nil).Connections.Callers().Limit())
}
