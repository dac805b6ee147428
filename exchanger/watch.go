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
	// ConnectionClosed means that all idle connections have been closed by the server
	// or the network.
	ConnectionClosed
)

// probeTimeout bounds the read that detects whether an idle connection was closed,
// in milliseconds.
const probeTimeout timer.Millis = 1

// CheckConnections checks the idle connections that Get has kept to address. After
// the connection of a call was lost, their state distinguishes a crash of the server,
// even if another process already listens at its address, from the loss of a
// single connection. It checks connections until it finds an open one. Those that
// can't be reused are closed and removed: closed ones, and open ones that have received
// data although no request was in progress.
func (x *Exchanger) CheckConnections(address string) ConnectionState {
	p := poolKey{address: address, forGet: true}
	state := ConnectionNone
	for c := x.takeIdle(p); c != nil; c = x.takeIdle(p) {
		open, reusable := c.check()
		if reusable {
			x.putIdle(p, c)
			return ConnectionOpen
		}
		c.close()
		if open {
			return ConnectionOpen
		}
		state = ConnectionClosed
	}
	return state
}

// check reports whether an idle connection is still open at both ends, and whether it
// may be reused: it has received no data since its last exchange. A connection that has
// received data counts as open, though it may have been closed after them: data show no
// crash.
func (c *connection) check() (open, reusable bool) {
	if err := c.SetReadDeadline(time.Now().Add(probeTimeout.Duration())); err != nil {
		return false, false
	}
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	_, timedOut := asTimeout(err)
	return n > 0 || timedOut, n == 0 && timedOut
}
