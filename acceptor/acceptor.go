// Package acceptor serves HTTP on one listener within limits that may change
// while connections are open.
//
// Limits on headers hold for connections that are opened after a change. The
// limit on idle time holds for open ones too, but never shortens the time of a
// connection that is idle already: its caller may still go by the older one.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// checkInterval is how often idle connections are looked through.
const checkInterval timer.Millis = 250

// Limits bound what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes bounds a request's line and headers.
	HeaderBytes int
	// HeaderTimeout bounds the time from a request's first byte, or from the
	// connection's opening, to the end of its headers.
	HeaderTimeout timer.Millis
	// IdleTimeout is how long a connection is kept between two requests.
	IdleTimeout timer.Millis
}

// Acceptor serves until Shutdown. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	handler  http.Handler
	clock    timer.Clock
	logger   *zap.Logger
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu     sync.Mutex
	limits Limits
	// servers are the newest one, last, and older ones with open connections.
	servers []*generation
	conns   map[net.Conn]use
}

// use is what is known of an open connection.
type use struct {
	idle  bool
	since timer.Millis
	// limit is the limit on idle time when the last request began.
	limit timer.Millis
}

// New serves h on l within these limits.
func New(l net.Listener, h http.Handler, limits Limits, c timer.Clock, logger *zap.Logger) *Acceptor {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Acceptor{
		listener: l, handler: h, clock: c, logger: logger, cancel: cancel,
		limits: limits, conns: make(map[net.Conn]use),
	}
	a.servers = []*generation{a.newGeneration(limits)}
	a.running.Go(a.accept)
	a.running.Go(func() { a.closeIdle(ctx) })
	return a
}

// SetLimits changes the limits.
func (a *Acceptor) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.limits
	a.limits = l
	if old.HeaderBytes == l.HeaderBytes && old.HeaderTimeout == l.HeaderTimeout {
		return
	}
	kept := a.servers[:0]
	for _, g := range a.servers {
		if g.open == 0 {
			g.stop()
		} else {
			kept = append(kept, g)
		}
	}
	a.servers = append(kept, a.newGeneration(l))
}

// Shutdown takes no further connections, closes those that are idle, and waits
// for the requests under way until ctx ends.
func (a *Acceptor) Shutdown(ctx context.Context) {
	_ = a.listener.Close()
	a.cancel()
	a.mu.Lock()
	servers := a.servers
	a.mu.Unlock()
	var closing sync.WaitGroup
	for _, g := range servers {
		closing.Go(func() {
			if err := g.server.Shutdown(ctx); err != nil {
				a.logger.Warn("requests under way when time was over", zap.Error(err))
			}
		})
	}
	closing.Wait()
	a.running.Wait()
}

// accept hands connections to the newest generation.
func (a *Acceptor) accept() {
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.logger.Warn("connection not accepted", zap.Error(err))
			timer.Sleep(context.Background(), acceptPause)
			continue
		}
		a.mu.Lock()
		g := a.servers[len(a.servers)-1]
		g.open++
		a.mu.Unlock()
		g.hand(c)
	}
}

// acceptPause follows an error, as when descriptors have run out.
const acceptPause timer.Millis = 20

// changed follows a connection's state.
func (a *Acceptor) changed(g *generation, c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		a.conns[c] = use{limit: a.limits.IdleTimeout}
	case http.StateIdle:
		a.conns[c] = use{idle: true, since: a.clock.Now(), limit: a.conns[c].limit}
	case http.StateClosed, http.StateHijacked:
		g.open--
		delete(a.conns, c)
	}
}

// closeIdle closes connections that were idle for too long.
func (a *Acceptor) closeIdle(ctx context.Context) {
	for timer.Sleep(ctx, checkInterval) {
		for _, c := range a.idleTooLong() {
			_ = c.Close()
		}
	}
}

func (a *Acceptor) idleTooLong() []net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []net.Conn
	now := a.clock.Now()
	for c, u := range a.conns {
		if limit := max(u.limit, a.limits.IdleTimeout); u.idle && limit > 0 && now-u.since > limit {
			out = append(out, c)
		}
	}
	return out
}
