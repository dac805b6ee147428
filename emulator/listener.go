package emulator

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// faultListener is a listener that tracks its connections and can stop listening
// for some time, as a process does that restarts. Meanwhile, Accept blocks, so
// that the HTTP server continues to run.
type faultListener struct {
	mu    sync.Mutex
	inner net.Listener
	conns map[*faultConn]struct{}
	// listening is closed while the listener is open. It is replaced when the
	// listener is closed for a restart.
	listening chan struct{}
	closed    bool
	// silenceNext is how many of the next connections are silenced.
	silenceNext int
	// nextCut returns the cut to apply to the request that starts with header. It
	// may be nil.
	nextCut    func(header []byte) Cut
	done       chan struct{}
	goroutines sync.WaitGroup
}

func newFaultListener(l net.Listener, takeCut func(header []byte) Cut) *faultListener {
	up := make(chan struct{})
	close(up)
	return &faultListener{inner: l, conns: make(map[*faultConn]struct{}), listening: up, nextCut: takeCut, done: make(chan struct{})}
}

// Accept implements net.Listener.
func (g *faultListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		inner, up := g.inner, g.listening
		g.mu.Unlock()
		select {
		case <-up:
		case <-g.done:
			return nil, net.ErrClosed
		}
		n, err := inner.Accept()
		if err == nil {
			return g.wrap(n), nil
		}
		if !g.restarted(inner) {
			return nil, err
		}
	}
}

// restarted reports whether l was closed by a restart.
func (g *faultListener) restarted(l net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.listening:
		return !g.closed && g.inner != l
	default:
		return !g.closed
	}
}

// wrap returns inner as a tracked connection. It closes it if a restart is in
// progress.
func (g *faultListener) wrap(inner net.Conn) net.Conn {
	c := &faultConn{Conn: inner, listener: g, closed: make(chan struct{}), readRemaining: -1}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silenceNext > 0 {
		g.silenceNext--
		c.silent.Store(true)
	}
	g.conns[c] = struct{}{}
	select {
	case <-g.listening:
	default:
		c.cut()
	}
	return c
}

// closeConns closes all connections.
func (g *faultListener) closeConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.cut()
	}
}

// Close implements net.Listener. Connections remain open.
func (g *faultListener) Close() error {
	g.mu.Lock()
	first := !g.closed
	g.closed = true
	inner := g.inner
	if first {
		close(g.done)
	}
	g.mu.Unlock()
	err := inner.Close()
	g.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Addr implements net.Listener.
func (g *faultListener) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Addr()
}

// faultConn is a connection that detects that its peer has closed it while no
// request is read, that can be silenced, and that can be closed after a given
// number of bytes.
type faultConn struct {
	net.Conn
	listener *faultListener
	silent   atomic.Bool
	// closed is closed when either end has closed the connection.
	closed     chan struct{}
	closedOnce sync.Once
	// readAhead holds the bytes that were read by watchPeer and not yet by the
	// HTTP server. It and the fields below are used only by the goroutine that
	// serves the connection, and by watchPeer while that goroutine does not read.
	readAhead []byte
	// readRemaining is the number of bytes that can be read before a cut, or -1
	// if no cut is planned.
	readRemaining int
	// cutNextWrite makes the next write close the connection halfway through the
	// body.
	cutNextWrite bool
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		if c.readRemaining == 0 {
			c.cut()
			return 0, net.ErrClosed
		}
		k := copy(p, c.readAhead)
		c.readAhead = c.readAhead[k:]
		n, err := c.Conn.Read(p[k:])
		n += k
		if c.silent.Load() && err == nil {
			continue
		}
		if n > 0 {
			n = c.limitRead(p[:n])
			err = nil
		}
		return n, err
	}
}

// limitRead returns how many bytes of p can be returned before a cut, and plans
// the cut if p starts a request.
func (c *faultConn) limitRead(p []byte) int {
	if c.readRemaining < 0 && startsRequest(p) {
		c.planCut(p)
	}
	if c.readRemaining < 0 {
		return len(p)
	}
	n := min(len(p), c.readRemaining)
	c.readRemaining -= n
	return n
}

// planCut determines after how many bytes the request that starts with p is cut.
func (c *faultConn) planCut(p []byte) {
	if c.listener.nextCut == nil {
		return
	}
	header := p
	if i := bytes.Index(p, headerEnd); i >= 0 {
		header = p[:i+len(headerEnd)]
	}
	switch c.listener.nextCut(header) {
	case CutBeforeBody:
		c.readRemaining = len(header)
	case CutMidBody:
		c.readRemaining = len(header) + contentLength(header)/2
	}
}

var headerEnd = []byte("\r\n\r\n")

var requestStarts = [][]byte{[]byte("POST /"), []byte("PUT /"), []byte("PATCH /"), []byte("DELETE /"), []byte("GET /")}

// startsRequest reports whether p starts with the method of a request.
func startsRequest(p []byte) bool {
	for _, s := range requestStarts {
		if bytes.HasPrefix(p, s) {
			return true
		}
	}
	return false
}

// contentLength returns the value of the Content-Length header, or zero.
func contentLength(header []byte) int {
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("content-length")) {
			n, _ := strconv.Atoi(string(bytes.TrimSpace(value)))
			return n
		}
	}
	return 0
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if !c.cutNextWrite {
		return c.Conn.Write(p)
	}
	body := 0
	if i := bytes.Index(p, headerEnd); i >= 0 {
		body = i + len(headerEnd)
	}
	_, _ = c.Conn.Write(p[:body+(len(p)-body)/2])
	c.cut()
	return 0, net.ErrClosed
}

// startWatch detects that the peer closes the connection, until stop is called.
// It must be used only while no request is read.
func (c *faultConn) startWatch() (stop func()) {
	if len(c.readAhead) > 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.watchPeer()
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// watchPeer reads until a byte arrives, the read deadline passes or the
// connection is closed. A byte is kept in readAhead; bytes of a silent connection
// are dropped.
func (c *faultConn) watchPeer() {
	var b [1]byte
	for {
		n, err := c.Conn.Read(b[:])
		var netErr net.Error
		switch {
		case n > 0 && c.silent.Load():
		case n > 0:
			c.readAhead = append(c.readAhead, b[0])
			return
		case errors.As(err, &netErr) && netErr.Timeout():
			return
		default:
			c.markClosed()
			return
		}
	}
}

func (c *faultConn) markClosed() {
	c.closedOnce.Do(func() { close(c.closed) })
}

// cut closes the connection without a response.
func (c *faultConn) cut() {
	c.markClosed()
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.markClosed()
	return c.Conn.Close()
}
