package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/jackdawgate/jackdawgate/holder"
	"go.uber.org/zap"
)

// generation is an HTTP server for the connections that were opened under the
// same header limits. It is also the net.Listener of that server.
type generation struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// openConns counts open connections. It is guarded by Acceptor.mu.
	openConns int
}

// newGeneration starts a server with the header limits of l.
func (a *Acceptor) newGeneration(l Limits) *generation {
	g := &generation{address: a.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{
		Handler: http.HandlerFunc(a.serve), MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout.Duration(),
		ErrorLog:    zap.NewStdLog(a.logger),
		ConnState:   func(c net.Conn, s http.ConnState) { a.trackState(g, c, s) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return holder.WithConnection(ctx, c) },
	}
	a.running.Go(func() {
		if err := g.server.Serve(g); !errors.Is(err, http.ErrServerClosed) {
			a.logger.Error("HTTP server stopped serving connections", zap.Error(err))
		}
	})
	return g
}

// stop closes a generation that has no open connections.
func (g *generation) stop() { _ = g.server.Close() }

// deliver passes c to the server, or closes c if the generation is closed.
func (g *generation) deliver(c net.Conn) {
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
