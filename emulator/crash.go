package emulator

import (
	"net"
	"time"
)

// relistenInterval is the time between attempts to listen again.
const relistenInterval = 10 * time.Millisecond

// restart closes the listener and all connections, and listens again on the same
// address after pause. It has no effect while a restart is in progress or once
// the listener is closed.
func (g *faultListener) restart(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.listening:
	default:
		return
	}
	if g.closed {
		return
	}
	up := make(chan struct{})
	g.listening = up
	address := g.inner.Addr()
	_ = g.inner.Close()
	for c := range g.conns {
		c.cut()
	}
	g.goroutines.Go(func() { g.relisten(address, up, pause) })
}

// relisten tries to listen on address after pause, and then every
// relistenInterval until it succeeds or g is closed.
func (g *faultListener) relisten(address net.Addr, up chan struct{}, pause time.Duration) {
	for {
		select {
		case <-time.After(pause):
		case <-g.done:
			return
		}
		l, err := net.Listen(address.Network(), address.String())
		if err == nil {
			g.reopen(l, up)
			return
		}
		pause = relistenInterval
	}
}

func (g *faultListener) reopen(l net.Listener, up chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = l.Close()
		return
	}
	g.inner = l
	close(up)
}

// silenceOpen silences all open connections permanently.
func (g *faultListener) silenceOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(true)
	}
}

func (g *faultListener) setSilenceNext(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silenceNext = n
}

func (g *faultListener) silencesRemaining() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silenceNext
}
