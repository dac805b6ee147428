package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// disturbance is how a proxy treats the connections through it.
type disturbance interface{ disturbance() }

// passThrough forwards everything. stall holds back the data of both directions, and
// stallReplies that from the target; both forward it when the disturbance ends. reset
// resets connections and refuses new ones. delay forwards each chunk of data after a
// delay.
type (
	passThrough  struct{}
	stall        struct{}
	stallReplies struct{}
	reset        struct{}
	delay        struct{ by time.Duration }
)

func (passThrough) disturbance()  {}
func (stall) disturbance()        {}
func (stallReplies) disturbance() {}
func (reset) disturbance()        {}
func (delay) disturbance()        {}

// proxy forwards TCP connections to a target on the loopback interface. It is safe
// for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	current disturbance
	// changed is closed and replaced when current changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// undisturbedFrom is when the last disturbance ended.
	undisturbedFrom time.Time
}

// newProxy starts a proxy to target that listens on a free port.
func newProxy(target string) (*proxy, error) { return newProxyAt("127.0.0.1:0", target) }

// newProxyAt starts a proxy to target that listens at an address.
func newProxyAt(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, current: passThrough{}, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the current disturbance, also for open connections.
func (p *proxy) set(d disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, passes := d.(passThrough); passes {
		p.undisturbedFrom = time.Now()
	}
	p.current = d
	close(p.changed)
	p.changed = make(chan struct{})
	if _, ok := d.(reset); ok {
		p.resetAll()
	}
}

// resetAll resets all connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// undisturbedSince reports whether there has been no disturbance since t.
func (p *proxy) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, passes := p.current.(passThrough)
	return passes && p.undisturbedFrom.Before(t)
}

// close stops the listener and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// track adds an open connection to those that set and close reset. It returns false
// if the connection must be closed: the proxy resets connections or is closed.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, resets := p.current.(reset); resets || p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) forward(c net.Conn) {
	defer p.closeConn(c)
	if !p.track(c) {
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(t)
	if !p.track(t) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pipe(t, c, false) })
	both.Go(func() { p.pipe(c, t, true) })
	both.Wait()
}

// pipe copies data until its source ends or an error occurs. fromTarget says that the
// source is the target.
func (p *proxy) pipe(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitToForward(fromTarget)
			if _, err := to.Write(buffer[:n]); err != nil {
				if fromTarget {
					// The host has closed the connection; the target may send without end.
					_ = from.Close()
					return
				}
				break
			}
		}
		if err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	if _, err := io.Copy(io.Discard, from); err != nil {
		return
	}
}

// waitToForward blocks until the current disturbance lets data of the given direction
// through, or the proxy is closed.
func (p *proxy) waitToForward(fromTarget bool) {
	for {
		p.mu.Lock()
		current, changed, closed := p.current, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		switch d := current.(type) {
		case delay:
			time.Sleep(d.by)
			return
		case stall:
		case stallReplies:
			if !fromTarget {
				return
			}
		default:
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}
