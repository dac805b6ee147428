package exchanger

import (
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

// ConnectionState is the state of the idle connections that Get has kept to a
// backend server.
type ConnectionState uint8

const (
	// ConnectionNone means that there is no idle connection within
	// Options.IdleTimeout.
	ConnectionNone ConnectionState = iota
	// ConnectionOpen means that at least one idle connection is still open.
	ConnectionOpen
	// ConnectionClosed means that none of the idle connections can be reused. They
	// have been closed by the server or the network, or have received data although no
	// request was in progress.
	ConnectionClosed
)

// probeTimeout bounds the read that detects whether an idle connection was closed,
// in milliseconds.
const probeTimeout timer.Millis = 1

// CheckConnections checks the idle connections that Get has kept to address. After
// the connection of a call was lost, their state distinguishes a crash of the server,
// even if another process already listens at its address, from the loss of a
// single connection. It checks connections until it finds an open one. Those that
// can't be reused are closed and removed.
func (x *Exchanger) CheckConnections(address string) ConnectionState {
	p := poolKey{address: address, forGet: true}
	state := ConnectionNone
	for c := x.takeIdle(p); c != nil; c = x.takeIdle(p) {
		if c.isReusable() {
			x.putIdle(p, c)
			return ConnectionOpen
		}
		c.close()
		state = ConnectionClosed
	}
	return state
}

// isReusable reports whether an idle connection is still open at both ends and has
// received no data since its last exchange.
func (c *connection) isReusable() bool {
	if err := c.SetReadDeadline(time.Now().Add(probeTimeout.Duration())); err != nil {
		return false
	}
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	_, timedOut := asTimeout(err)
	// A connection with unsolicited data must not be reused.
	return n == 0 && timedOut
}
