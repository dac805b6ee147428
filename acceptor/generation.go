package acceptor

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// generation is the server of connections that were opened under the same
// limits on headers. It is the net.Listener of its own server.
type generation struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// open counts connections. It is guarded by the Acceptor's mutex.
	open int
}

func (a *Acceptor) newGeneration(l Limits) *generation {
	g := &generation{address: a.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{
		Handler: a.handler, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout.Duration(),
		ErrorLog:  zap.NewStdLog(a.logger),
		ConnState: func(c net.Conn, s http.ConnState) { a.changed(g, c, s) },
	}
	a.running.Go(func() {
		if err := g.server.Serve(g); !errors.Is(err, http.ErrServerClosed) {
			a.logger.Error("connections are no longer served", zap.Error(err))
		}
	})
	return g
}

// stop ends a generation without connections.
func (g *generation) stop() { _ = g.server.Close() }

// hand gives c to the server.
func (g *generation) hand(c net.Conn) {
	select {
	case g.conns <- c:
	case <-g.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.address }
