// Package acceptor serves HTTP on one listener within limits that can change
// while connections are open.
//
// A change of the header limits applies to connections that are opened after it.
// A change of the idle limit also applies to open connections, but a shorter limit
// does not apply to a connection that is already idle, because its caller may still
// rely on the longer one.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// idleCheckInterval is how often connections are checked against the idle limit.
const idleCheckInterval timer.Millis = 250

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes bounds the request line and headers.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request, or from
	// the opening of its connection, to the end of its headers.
	HeaderTimeout timer.Millis
	// IdleTimeout is how long a connection is kept open between two requests.
	IdleTimeout timer.Millis
}

// Acceptor accepts connections and serves requests until Shutdown. It is safe
// for concurrent use.
type Acceptor struct {
	listener net.Listener
	handler  http.Handler
	clock    timer.Clock
	logger   *zap.Logger
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu     sync.Mutex
	limits Limits
	// generations has the current generation last, after older ones that had
	// open connections when the limits changed.
	generations []*generation
	conns       map[net.Conn]connState
}

// connState is the state of an open connection.
type connState struct {
	idle      bool
	idleSince timer.Millis
	// idleTimeout is the idle limit that was set when the last request began.
	idleTimeout timer.Millis
}

// New returns an Acceptor that serves h on l within limits. The Acceptor owns l. If l is a
// Listener of a holder.Group, idle connections and those whose request does not go on can be
// shed; h states when the body of a request has been read (holder.Connection.Serve).
func New(l net.Listener, h http.Handler, limits Limits, c timer.Clock, logger *zap.Logger) *Acceptor {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Acceptor{
		listener: l, handler: h, clock: c, logger: logger, cancel: cancel,
		limits: limits, conns: make(map[net.Conn]connState),
	}
	a.generations = []*generation{a.newGeneration(limits)}
	a.running.Go(a.accept)
	a.running.Go(func() { a.closeIdle(ctx) })
	return a
}

// SetLimits replaces the limits. New header limits start a new generation, and
// older generations without connections are stopped.
func (a *Acceptor) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.limits
	a.limits = l
	if old.HeaderBytes == l.HeaderBytes && old.HeaderTimeout == l.HeaderTimeout {
		return
	}
	kept := a.generations[:0]
	for _, g := range a.generations {
		if g.openConns == 0 {
			g.stop()
		} else {
			kept = append(kept, g)
		}
	}
	a.generations = append(kept, a.newGeneration(l))
}

// Shutdown stops accepting connections, closes idle ones, and waits for requests
// in flight until ctx ends.
func (a *Acceptor) Shutdown(ctx context.Context) {
	_ = a.listener.Close()
	a.cancel()
	a.mu.Lock()
	servers := a.generations
	a.mu.Unlock()
	var closing sync.WaitGroup
	for _, g := range servers {
		closing.Go(func() {
			if err := g.server.Shutdown(ctx); err != nil {
				a.logger.Warn("shutdown ended with requests in flight", zap.Error(err))
			}
		})
	}
	closing.Wait()
	a.running.Wait()
}

// accept delivers accepted connections to the current generation.
func (a *Acceptor) accept() {
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.logger.Warn("accept connection", zap.Error(err))
			timer.Sleep(context.Background(), acceptRetryDelay)
			continue
		}
		a.mu.Lock()
		g := a.generations[len(a.generations)-1]
		g.openConns++
		a.mu.Unlock()
		g.deliver(c)
	}
}

// acceptRetryDelay is the wait after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay timer.Millis = 20

// serve passes a request to the handler. A request without a body has been read.
func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		holder.ConnectionOf(r.Context()).Serve()
	}
	a.handler.ServeHTTP(w, r)
}

// trackState records a change of a connection's state.
func (a *Acceptor) trackState(g *generation, c net.Conn, s http.ConnState) {
	if x, ok := c.(*holder.Connection); ok && (s == http.StateActive || s == http.StateIdle) {
		x.Wait()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		a.conns[c] = connState{idleTimeout: a.limits.IdleTimeout}
	case http.StateIdle:
		a.conns[c] = connState{idle: true, idleSince: a.clock.Now(), idleTimeout: a.conns[c].idleTimeout}
	case http.StateClosed, http.StateHijacked:
		g.openConns--
		delete(a.conns, c)
	}
}

// closeIdle closes connections that exceed their idle limit, until ctx ends.
func (a *Acceptor) closeIdle(ctx context.Context) {
	for timer.Sleep(ctx, idleCheckInterval) {
		for _, c := range a.expiredConns() {
			_ = c.Close()
		}
	}
}

// expiredConns returns the connections that exceed their idle limit.
func (a *Acceptor) expiredConns() []net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []net.Conn
	now := a.clock.Now()
	for c, u := range a.conns {
		if limit := max(u.idleTimeout, a.limits.IdleTimeout); u.idle && limit > 0 && now-u.idleSince > limit {
			out = append(out, c)
		}
	}
	return out
}
