//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections and datagrams of other hosts to one host. The store shows its
// address in place of the host's own.
type proxy struct {
	listener  net.Listener
	datagrams net.PacketConn
	out       net.Conn
	target    string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	d, err := net.ListenPacket("udp4", listen)
	if err != nil {
		return nil, err
	}
	out, err := net.Dial("udp4", target)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, datagrams: d, out: out, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	go p.forwardDatagrams()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = p.out.Write(buffer[:n])
	}
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

func (p *proxy) forward(c net.Conn) {
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pipe(t, c) })
	both.Go(func() { pipe(c, t) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// pipe copies until its source ends, and closes both.
func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// reset resets all open connections and returns how many there were.
func (p *proxy) reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return len(p.conns) / 2
}
