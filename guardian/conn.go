package guardian

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// callerListener wraps accepted connections in callerConns.
type callerListener struct {
	net.Listener
	writeTimeout timer.Millis
	conns        *conns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &callerConn{Conn: c, writeTimeout: l.writeTimeout, conns: l.conns}
	l.conns.add(w)
	return w, nil
}

// conns is the set of open connections.
type conns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConns() *conns { return &conns{open: make(map[*callerConn]struct{})} }

func (c *conns) add(x *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[x] = struct{}{}
}

func (c *conns) remove(x *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, x)
}

// closeAll closes all connections immediately, even if responses are in progress.
func (c *conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for x := range c.open {
		// An error does not matter: the goroutine that serves the connection closes
		// it again, which removes it from the set.
		_ = x.Conn.Close()
	}
}

// connsPollInterval is the time between two checks by wait, in milliseconds.
const connsPollInterval timer.Millis = 10

// wait waits until the goroutine of every connection has closed it, and returns an
// error if some have not within limit.
func (c *conns) wait(limit timer.Millis) error {
	t := time.NewTicker(connsPollInterval.Duration())
	defer t.Stop()
	for range limit / connsPollInterval {
		if c.count() == 0 {
			return nil
		}
		<-t.C
	}
	return eris.Errorf("%d connections still open", c.count())
}

func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// callerConn sets a deadline for each write to a caller. A long stream to a caller
// that keeps reading is therefore not interrupted, and a stream to a caller that stops
// reading is.
type callerConn struct {
	net.Conn
	writeTimeout     timer.Millis
	finalDeadlineSet atomic.Bool
	linger           atomic.Bool
	conns            *conns
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.linger.Swap(false) {
		c.drain()
	}
	c.conns.remove(c)
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.finalDeadlineSet.Load() {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout.Duration())); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// finalWriteTimeout is the maximum time, in milliseconds, to write the last event to
// a caller whose key was withdrawn.
const finalWriteTimeout timer.Millis = 1000

// setFinalDeadline sets a write deadline that later writes do not extend.
func (c *callerConn) setFinalDeadline() {
	c.finalDeadlineSet.Store(true)
	// The deadline can only fail to be set if the connection is already closed.
	_ = c.SetWriteDeadline(time.Now().Add(finalWriteTimeout.Duration()))
}

// Connection returns the Connection of the budget that conn is, or nil if it is none.
func (g *Guardian) Connection(conn net.Conn) *holder.Connection {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	w, ok := conn.(*callerConn)
	if !ok {
		// The HTTP library has wrapped it.
		if w = g.conns.find(conn.RemoteAddr()); w == nil {
			return nil
		}
	}
	x, _ := w.Conn.(*holder.Connection)
	return x
}

// find returns the open connection from remote, or nil.
func (c *conns) find(remote net.Addr) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for x := range c.open {
		if x.RemoteAddr().String() == remote.String() {
			return x
		}
	}
	return nil
}

// closedByPeer reports whether the other end has closed or reset c, without consuming
// data from it. It returns false if this can't be determined.
func closedByPeer(c net.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if w, ok := c.(*callerConn); ok {
		c = w.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekClosed(int(fd)) })
	return err == nil && closed
}

// peekClosed reports whether the socket fd is at the end of its stream or has failed.
func peekClosed(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	}
	return true
}
