package guardian

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// checkInterval is the time between two checks of the open calls against the newest
// snapshot. disconnectCheckInterval is the time between two checks for closed
// connections. Both are in milliseconds.
const (
	checkInterval           timer.Millis = 50
	disconnectCheckInterval timer.Millis = 1000
)

// monitor cancels open calls that are no longer authorised or whose connections are
// closed, until the Guardian is closed.
func (g *Guardian) monitor() {
	t := time.NewTicker(checkInterval.Duration())
	defer t.Stop()
	var seen registrar.Version
	var connectionsChecked timer.Millis
	for {
		select {
		case <-t.C:
		case <-g.context.Done():
			return
		}
		now := g.options.Clock.Now()
		seen = g.checkAuthority(seen, now)
		if now-connectionsChecked >= disconnectCheckInterval {
			connectionsChecked = now
			g.checkConnections()
		}
	}
}

// checkAuthority cancels the callers' calls if the host has no permission. Otherwise,
// if the record has changed since version seen, it cancels the calls whose keys are no
// longer valid. It returns the version of the record that it has checked.
func (g *Guardian) checkAuthority(seen registrar.Version, now timer.Millis) registrar.Version {
	view := g.options.Viewer.View()
	if !view.Permitted(now) {
		g.calls.cancelCallers(ErrNotPermitted)
		return seen
	}
	if view.Record.Version == seen {
		return seen
	}
	for _, o := range g.calls.list() {
		if !g.options.Keys.Valid(o.Identity) {
			o.Cancel(ErrKeyWithdrawn)
			g.limitFinalWrite(o.conn)
		}
	}
	return view.Record.Version
}

// limitFinalWrite sets the deadline for the last event that is written to a caller
// whose key was withdrawn.
func (g *Guardian) limitFinalWrite(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if w, ok := c.(*callerConn); ok {
		w.setFinalDeadline()
	}
}

// checkConnections cancels the calls whose connections the callers have closed.
func (g *Guardian) checkConnections() {
	for _, o := range g.calls.list() {
		if closedByPeer(o.conn) {
			o.Cancel(ErrCallerDisconnected)
		}
	}
}

// Check returns the reason why no further part of a response may be sent to the
// call's caller: ErrKeyWithdrawn or ErrNotPermitted. It returns nil if the call is
// still authorised. It must be called immediately before each part is written.
func (g *Guardian) Check(o *Call) error {
	if o.operator {
		return nil
	}
	if !g.options.Keys.Valid(o.Identity) {
		return ErrKeyWithdrawn
	}
	if !g.options.Viewer.View().Permitted(g.options.Clock.Now()) {
		return ErrNotPermitted
	}
	return nil
}
