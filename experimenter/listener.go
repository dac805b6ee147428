package experimenter

import (
	"errors"
	"net"
	"sync"
)

// trackingListener is a listener that tracks its open connections and can close all
// of them at once.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection that its listener tracks until it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

func newTrackingListener(l net.Listener) *trackingListener {
	return &trackingListener{Listener: l, conns: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: n, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. It may be called more than once.
func (l *trackingListener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeAll closes the listener and all its open connections.
func (l *trackingListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
