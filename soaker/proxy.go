package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// disturbance is what a proxy does to the connections through it.
type disturbance interface{ disturbance() }

// none passes everything on. silence passes nothing on in either direction,
// oneWay nothing that comes from the target, reset breaks connections off, and
// delay passes everything on later.
type (
	none    struct{}
	silence struct{}
	oneWay  struct{}
	reset   struct{}
	delay   struct{ by time.Duration }
)

func (none) disturbance()    {}
func (silence) disturbance() {}
func (oneWay) disturbance()  {}
func (reset) disturbance()   {}
func (delay) disturbance()   {}

// proxy carries TCP connections to a target on the loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	current disturbance
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// calm is when the last disturbance ended.
	calm time.Time
}

// newProxy returns a proxy to target that listens at a port of its own.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, current: none{}, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces what the proxy does.
func (p *proxy) set(d disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, calm := d.(none); calm {
		p.calm = time.Now()
	}
	p.current = d
	close(p.changed)
	p.changed = make(chan struct{})
	if _, ok := d.(reset); ok {
		p.breakAll()
	}
}

// breakAll resets all connections; p is locked.
func (p *proxy) breakAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// calmSince says whether nothing was disturbed since an instant.
func (p *proxy) calmSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, calm := p.current.(none)
	return calm && p.calm.Before(t)
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.breakAll()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

// keep notes an open connection; it returns false when there is to be none.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, resets := p.current.(reset); resets || p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) carry(c net.Conn) {
	defer p.drop(c)
	if !p.keep(c) {
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.drop(t)
	if !p.keep(t) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(t, c, false) })
	both.Go(func() { p.copy(c, t, true) })
	both.Wait()
}

// copy passes bytes on; answering says that they come from the target.
func (p *proxy) copy(to, from net.Conn, answering bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answering)
			if _, err := to.Write(buffer[:n]); err != nil {
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

// hold waits for as long as bytes are held back.
func (p *proxy) hold(answering bool) {
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
		case silence:
		case oneWay:
			if !answering {
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
