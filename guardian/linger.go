package guardian

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

// lingerTimeout and lingerBytes bound how long, and for how much, a connection whose
// request was not read completely is still read before it is closed.
const (
	lingerTimeout = timer.Second
	lingerBytes   = 1 << 20
)

// LingerOnClose makes the close of a caller's connection wait until the caller has read
// the response: the connection is closed for writing, and what the caller still sends is
// discarded. Otherwise the close would reset the connection, and a caller that is still
// sending its request would not get the response.
func (g *Guardian) LingerOnClose(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if c, ok := conn.(*callerConn); ok {
		c.linger.Store(true)
		return
	}
	// The HTTP library has wrapped it.
	if c := g.conns.find(conn.RemoteAddr()); c != nil {
		c.linger.Store(true)
	}
}

// drain closes c for writing and discards what the caller still sends, within the bounds.
func (c *callerConn) drain() {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
