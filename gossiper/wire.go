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
	// Relayed reports that the packet may hold Digests of hosts other than the
	// sender.
	Relayed bool
	// Forward requests the receiver to send the packet to the hosts of its data
	// centre.
	Forward   bool
	Envelopes []envelope
}

// envelope is an encoded Digest with the fields that determine whether it is newer
// than another one.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation string
	Sequence    uint64
	Body        cbor.RawMessage
}

// bundleBytes is the approximate maximum size of a packet of several Digests.
const bundleBytes = 8 << 10

// encodeDigest returns d in an envelope.
func encodeDigest(d Digest) (envelope, error) {
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
		g.options.Logger.Error("cannot encode datagram", zap.Error(err))
		return
	}
	for _, a := range to {
		// A datagram that cannot be sent is treated like a lost one.
		_, _ = g.options.Conn.WriteTo(b, net.UDPAddrFromAddrPort(a))
	}
}

// writeBundle sends envelopes in packets of bounded size that the receiver forwards.
func (g *Gossiper) writeBundle(list []envelope, to netip.AddrPort) {
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || size+len(list[n].Body) <= bundleBytes) {
			size += len(list[n].Body)
			n++
		}
		g.write(packet{Relayed: true, Forward: true, Envelopes: list[:n]}, []netip.AddrPort{to})
		list = list[n:]
	}
}
