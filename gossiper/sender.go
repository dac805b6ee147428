package gossiper

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// counted is a count by workspace as it was last told.
type counted struct {
	count   uint64
	changed timer.Millis
}

// sender sends one host's Digests. It is used by one goroutine.
type sender struct {
	options  *Options
	sequence uint64
	counts   map[string]counted
	full     timer.Millis
	far      timer.Millis
}

// tell sends the Digest to those who are due, and returns how long the next one
// may wait.
func (v *sender) tell() timer.Millis {
	now := v.options.Clock.Now()
	d := v.options.Build()
	v.sequence++
	d.Sequence = v.sequence
	d.Admitted = v.recent(d.Admitted, now)
	b, err := cbor.Marshal(d)
	if err != nil {
		v.options.Logger.Error("digest not encoded", zap.Error(err))
		return v.options.MaxGap
	}
	near, far := v.options.Peers()
	v.send(b, near)
	if due := v.far + v.options.FarGap; now < due {
		return due - now
	}
	v.send(b, far)
	v.far = now
	return v.options.MaxGap
}

func (v *sender) send(b []byte, to []netip.AddrPort) {
	for _, p := range to {
		// A datagram that cannot be sent is as good as lost.
		_, _ = v.options.Conn.WriteTo(b, net.UDPAddrFromAddrPort(p))
	}
}

// recent returns the counts that changed lately, or all when those are due.
func (v *sender) recent(all map[string]uint64, now timer.Millis) map[string]uint64 {
	out := make(map[string]uint64)
	full := now-v.full >= fullGap
	if full {
		v.full = now
	}
	for name, n := range all {
		c, ok := v.counts[name]
		if !ok || c.count != n {
			c = counted{count: n, changed: now}
			v.counts[name] = c
		}
		if full || now-c.changed < recentGap {
			out[name] = n
		}
	}
	return out
}
