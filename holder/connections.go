package holder

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// shedShare is the part of a limit on connections that is shed at once, so that a crowd
	// does not cause a search for each connection.
	shedShare = 32
	// maxAnswering bounds the connections of a group that are answered or drained although
	// they are over the limit.
	maxAnswering = 16
	// answerTimeout and answerDrainBytes bound how long, and for how much, a refused connection is
	// read so that its caller can read the answer.
	answerTimeout    = timer.Second / 2
	answerDrainBytes = 64 << 10
)

// RefusalResponse returns the HTTP response to a caller whose connection is refused, with more
// headers. Its request has not been read, so it has not run.
func RefusalResponse(contentType, body string, headers ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n")
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
	return b.String()
}

// Connections bounds the connections that others open to a process. Each Group has a share
// that no other group takes. It is safe for concurrent use.
type Connections struct {
	callers, others *Group
}

// Callers returns the group of callers' connections.
func (c *Connections) Callers() *Group { return c.callers }

// Others returns the group of the connections of peers, and to the addresses of the metrics,
// the directory and the readiness check.
func (c *Connections) Others() *Group { return c.others }

// Group is a share of the connections. When it is used up, the connections that have waited
// longest for something to arrive are shed: idle ones, and those whose header or body does
// not go on.
type Group struct {
	limit int
	// progress is how many bytes must arrive on a connection before it counts as having made
	// progress.
	progress int64
	clock    timer.Clock
	reporter *Reporter

	mu   sync.Mutex
	open map[*Connection]struct{}
	// answering counts connections over the limit that are being answered.
	answering int
}

// NewGroup returns a Group of at most limit connections of callers, whose bodies make progress
// by 16 KB.
func NewGroup(limit int, c timer.Clock, r *Reporter) *Group {
	return &Group{limit: limit, progress: progressBytes, clock: c, reporter: r, open: make(map[*Connection]struct{})}
}

// newPeerGroup returns a Group of at most limit connections that make progress by each byte:
// peers send short pings.
func newPeerGroup(limit int, c timer.Clock, r *Reporter) *Group {
	g := NewGroup(limit, c, r)
	g.progress = 1
	return g
}

// Limit returns the most connections of the group.
func (g *Group) Limit() int { return g.limit }

// Open returns the number of open connections.
func (g *Group) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// Listener returns l with connections that count in the group. A connection for which there
// is no room gets answer, if it is not empty, and is closed. A nil Group returns l.
func (g *Group) Listener(l net.Listener, answer string) net.Listener {
	if g == nil {
		return l
	}
	return &listener{Listener: l, group: g, answer: answer}
}

type listener struct {
	net.Listener
	group  *Group
	answer string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x, ok := l.group.admit(c); ok {
			return x, nil
		}
		l.group.refuse(c, l.answer)
	}
}

// admit adds a connection, and sheds others if the group is full.
func (g *Group) admit(c net.Conn) (*Connection, bool) {
	x := &Connection{Conn: c, group: g}
	x.since.Store(int64(g.clock.Now()))
	g.mu.Lock()
	var victims []*Connection
	if len(g.open) >= g.limit {
		victims = g.longestWaiting(max(1, g.limit/shedShare))
		for _, v := range victims {
			delete(g.open, v)
		}
	}
	ok := len(g.open) < g.limit
	if ok {
		g.open[x] = struct{}{}
	}
	g.mu.Unlock()
	for _, v := range victims {
		g.reporter.report(Refusal{Cause: ConnectionShed, Address: v.address(), Waited: v.waited()})
		g.shed(v)
	}
	return x, ok
}

// longestWaiting returns n connections, those that have waited longest. The caller holds mu.
func (g *Group) longestWaiting(n int) []*Connection {
	var out []*Connection
	for c := range g.open {
		if !c.busy.Load() {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Connection) int { return cmp.Compare(a.since.Load(), b.since.Load()) })
	return out[:min(n, len(out))]
}

// shed ends a connection that no longer counts. One whose handler reads a body is interrupted,
// so that it is answered, unless too many are being answered.
func (g *Group) shed(c *Connection) {
	interrupt := c.interrupt.Load()
	if interrupt == nil || !g.beginAnswer() {
		_ = c.Conn.Close()
		return
	}
	c.answered.Store(true)
	(*interrupt)()
}

func (g *Group) beginAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answering >= maxAnswering {
		return false
	}
	g.answering++
	return true
}

func (g *Group) endAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answering--
}

// refuse closes a connection that was not admitted, after answering it if that is possible.
func (g *Group) refuse(c net.Conn, answer string) {
	g.reporter.report(Refusal{Cause: ConnectionRefused, Address: addressOf(c)})
	if answer == "" || !g.beginAnswer() {
		_ = c.Close()
		return
	}
	go func() {
		defer g.endAnswer()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(answerTimeout.Duration()))
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		CloseWrite(c)
		Drain(c, answerDrainBytes)
	}()
}

// CloseWrite closes c for writing, if it can be.
func CloseWrite(c net.Conn) {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite()
	}
}

// Connection is an open connection of a Group. The methods of a nil Connection do nothing.
type Connection struct {
	net.Conn
	group *Group
	// busy is set while a request that has been read is served.
	busy atomic.Bool
	// since is when the connection began to wait, or last made progress.
	since     atomic.Int64
	arrived   atomic.Int64
	interrupt atomic.Pointer[func()]
	// answered is set if the connection counts in Group.answering.
	answered atomic.Bool
	closed   atomic.Bool
}

// Read implements net.Conn.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.arrived.Add(int64(n)) >= c.group.progress {
		c.arrived.Store(0)
		c.since.Store(int64(c.group.clock.Now()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	if !c.closed.Swap(true) {
		c.group.mu.Lock()
		delete(c.group.open, c)
		c.group.mu.Unlock()
		if c.answered.Load() {
			c.group.endAnswer()
		}
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing.
func (c *Connection) CloseWrite() error {
	CloseWrite(c.Conn)
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}

// Wait states that the connection waits for a request, its header or its body from now on.
func (c *Connection) Wait() {
	if c == nil {
		return
	}
	c.since.Store(int64(c.group.clock.Now()))
	c.arrived.Store(0)
	c.interrupt.Store(nil)
	c.busy.Store(false)
}

// ReadBody states that a handler reads a body. If the connection is shed, interrupt is called
// instead of closing it, and must end the read that waits.
func (c *Connection) ReadBody(interrupt func()) {
	if c != nil {
		c.interrupt.Store(&interrupt)
	}
}

// Serve states that a request has been read and is served. The connection is not shed until
// Wait.
func (c *Connection) Serve() {
	if c != nil {
		c.busy.Store(true)
		c.interrupt.Store(nil)
	}
}

func (c *Connection) waited() timer.Millis { return c.group.clock.Now() - timer.Millis(c.since.Load()) }

func (c *Connection) address() string { return addressOf(c.Conn) }

func addressOf(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

type connectionKey struct{}

// WithConnection returns a context for the requests of c, if c counts in a Group.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	if x, ok := c.(*Connection); ok {
		return context.WithValue(ctx, connectionKey{}, x)
	}
	return ctx
}

// ConnectionOf returns the Connection of a request's context, or nil.
func ConnectionOf(ctx context.Context) *Connection {
	x, _ := ctx.Value(connectionKey{}).(*Connection)
	return x
}
