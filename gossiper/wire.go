package gossiper

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// packet is one datagram.
type packet struct {
	_ struct{} `cbor:",toarray"`
	// Relayed says that the Digests are not only the sender's own.
	Relayed bool
	// PassOn asks the receiver to send the packet to its data centre.
	PassOn    bool
	Envelopes []envelope
}

// envelope is a Digest whose age can be told without decoding it.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation string
	Sequence    uint64
	Body        cbor.RawMessage
}

// bundleBytes is about how large a packet of several Digests may become.
const bundleBytes = 8 << 10

// seal encodes d.
func seal(d Digest) (envelope, error) {
	body, err := cbor.Marshal(d)
	return envelope{Host: d.Host, Incarnation: d.Incarnation, Sequence: d.Sequence, Body: body}, err
}

// write sends p to each address.
func (g *Gossiper) write(p packet, to []netip.AddrPort) {
	if len(to) == 0 || len(p.Envelopes) == 0 {
		return
	}
	b, err := cbor.Marshal(p)
	if err != nil {
		g.options.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	for _, a := range to {
		// A datagram that cannot be sent is as good as lost.
		_, _ = g.options.Conn.WriteTo(b, net.UDPAddrFromAddrPort(a))
	}
}

// writeBundle sends envelopes in packets of bounded size, to be passed on.
func (g *Gossiper) writeBundle(list []envelope, to netip.AddrPort) {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+len(list[n].Body) <= bundleBytes) {
			size += len(list[n].Body)
			n++
		}
		g.write(packet{Relayed: true, PassOn: true, Envelopes: list[:n]}, []netip.AddrPort{to})
		list = list[n:]
	}
}
