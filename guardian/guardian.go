// Package guardian cancels callers' calls that are no longer authorised.
//
// A call is open from Begin, which is called after its key was validated, to End,
// which is called after the last byte of its response. One goroutine checks the open
// calls against each new snapshot. It cancels a call whose key was withdrawn, all
// calls except the operators' when the host's permission has ended, and a call whose
// connection is closed. Code that writes a response also calls Check immediately
// before each part, so that no part is sent without authorisation even if the
// goroutine is delayed.
//
// Every call that is begun must be ended, on every path; Wait relies on it.
//
// The guardian also manages the callers' connections. It sets a deadline for each
// write, so that a long stream to a caller that keeps reading is not interrupted and
// a stream to a caller that stops reading is. It can also close all connections.
package guardian

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Options configures a Guardian. All fields are required.
type Options struct {
	Viewer coordinator.Viewer
	Keys   *authenticator.Authenticator
	Clock  timer.Clock
	Logger *zap.Logger
	// WriteTimeout is the maximum duration of each write to a caller.
	WriteTimeout timer.Millis
}

// Guardian manages the open calls and connections of one host. It is safe for
// concurrent use.
type Guardian struct {
	options Options
	calls   *calls
	conns   *conns
	context context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// New returns a Guardian that checks open calls until Close.
func New(o Options) *Guardian {
	g := &Guardian{options: o, calls: newCalls(), conns: newConns()}
	g.context, g.stop = context.WithCancel(context.Background())
	g.running.Go(g.monitor)
	return g
}

// Close stops the checks and waits until their goroutine has returned. It does not
// cancel open calls.
func (g *Guardian) Close() {
	g.stop()
	g.running.Wait()
}

// Begin opens a caller's call, whose context is cancelled after timeout. The caller
// of Begin must call End.
func (g *Guardian) Begin(i authenticator.Identity, conn net.Conn, timeout timer.Millis) *Call {
	return g.calls.begin(Call{Identity: i, conn: conn}, timeout)
}

// BeginOperator opens a call of an operator, whose context is cancelled after
// timeout. The call does not require the host's permission, because the store orders
// changes and an operator may have to change the configuration that prevents this
// host from acting. The caller of BeginOperator must call End.
func (g *Guardian) BeginOperator(conn net.Conn, timeout timer.Millis) *Call {
	return g.calls.begin(Call{conn: conn, operator: true}, timeout)
}

// End closes a call and cancels its context. It is idempotent.
func (g *Guardian) End(o *Call) { g.calls.end(o) }

// CancelAll cancels all open calls, including the operators', with this cause.
func (g *Guardian) CancelAll(cause error) { g.calls.cancelAll(cause) }

// Wait waits until no call is open, for at most limit.
func (g *Guardian) Wait(limit timer.Millis) {
	t := time.NewTimer(limit.Duration())
	defer t.Stop()
	select {
	case <-g.calls.idle():
	case <-t.C:
	}
}

// WrapListener returns a listener whose connections the Guardian manages: it sets a
// deadline for each write, and CloseConns closes them.
func (g *Guardian) WrapListener(l net.Listener) net.Listener {
	return callerListener{Listener: l, writeTimeout: g.options.WriteTimeout, conns: g.conns}
}

// CloseConns closes all connections immediately, even if responses are in progress.
// It waits for at most limit until their goroutines have closed them too, and returns
// an error if some have not.
func (g *Guardian) CloseConns(limit timer.Millis) error {
	g.conns.closeAll()
	return g.conns.wait(limit)
}
