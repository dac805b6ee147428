package exchanger

import (
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

// ConnectionState is the state of the idle connections that Get has kept to a
// backend server.
type ConnectionState uint8

const (
	// ConnectionNone means that there is no idle connection.
	ConnectionNone ConnectionState = iota
	// ConnectionOpen means that an idle connection is still open.
	ConnectionOpen
	// ConnectionClosed means that the idle connections have been closed by the server
	// or the network.
	ConnectionClosed
)

// probeTimeout bounds the read that detects whether an idle connection was closed,
// in milliseconds.
const probeTimeout timer.Millis = 1

// CheckConnections checks the idle connections that Get has kept to address. After
// the connection of a call was lost, their state distinguishes a crash of the server,
// even if another process already listens at its address, from the loss of a
// single connection. Connections found closed are removed.
func (x *Exchanger) CheckConnections(address string) ConnectionState {
	p := poolKey{address: address, forGet: true}
	state := ConnectionNone
	for c := x.takeIdle(p); c != nil; c = x.takeIdle(p) {
		if c.isOpen() {
			x.putIdle(p, c)
			return ConnectionOpen
		}
		c.close()
		state = ConnectionClosed
	}
	return state
}

// isOpen reports whether an idle connection is still open at both ends.
func (c *connection) isOpen() bool {
	if err := c.SetReadDeadline(time.Now().Add(probeTimeout.Duration())); err != nil {
		return false
	}
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	_, timedOut := asTimeout(err)
	// A connection with unsolicited data must not be reused.
	return n == 0 && timedOut
}
