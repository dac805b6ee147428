package soaker

import (
	"bytes"
	"net"
	"time"
)

// peerProxy forwards what other hosts send to one host: connections and datagrams. The
// store shows the proxy's address to the others in place of the host's own.
type peerProxy struct {
	*proxy
	datagrams net.PacketConn
	out       net.Conn
}

// newPeerProxy starts a proxy that listens at an address for a host at target.
func newPeerProxy(listen, target string) (*peerProxy, error) {
	streams, err := newProxyAt(listen, target)
	if err != nil {
		return nil, err
	}
	p := &peerProxy{proxy: streams}
	if p.datagrams, err = net.ListenPacket("udp4", listen); err != nil {
		streams.close()
		return nil, err
	}
	if p.out, err = net.Dial("udp4", target); err != nil {
		p.close()
		return nil, err
	}
	go p.forwardDatagrams()
	return p, nil
}

// forwardDatagrams forwards datagrams until the proxy is closed. All disturbances but a
// delay drop them.
func (p *peerProxy) forwardDatagrams() {
	const maxDatagram = 64 << 10
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		current := p.current
		p.mu.Unlock()
		switch d := current.(type) {
		case passThrough:
			// A host that does not run gets nothing.
			_, _ = p.out.Write(buffer[:n])
		case delay:
			late := bytes.Clone(buffer[:n])
			time.AfterFunc(d.by, func() { _, _ = p.out.Write(late) })
		}
	}
}

func (p *peerProxy) close() {
	p.proxy.close()
	_ = p.datagrams.Close()
	if p.out != nil {
		_ = p.out.Close()
	}
}

// showProxies replaces the addresses of hosts by those of their proxies in a value that is
// written to the store.
func (e *environment) showProxies(value []byte) []byte {
	for _, h := range e.hosts {
		value = bytes.ReplaceAll(value, []byte(h.peersAddr), []byte(h.peersProxyAddr))
	}
	return value
}
