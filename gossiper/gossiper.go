// Package gossiper tells hosts of one another's load by datagrams.
//
// Each host sends its Digest to every other host whenever it changed, at most
// once each MinGap (to hosts of other data centres, each FarGap), and at least
// once each MaxGap. A Digest is a state, not a change: a lost or repeated
// datagram does no harm, and the newest one wins by incarnation and sequence.
// Counts by workspace are left out while they have not changed lately; every
// FullGap all are told. Nothing is decided by what a Digest says alone:
// it steers load, and limits tolerate its delay.
package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Load is how many calls run at one backend server.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Online int
	Batch  int
}

// Digest is what one host tells of itself.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation string
	Sequence    uint64
	// Ready says that the host takes callers' requests.
	Ready bool
	// Age is how old the host's knowledge of the store is.
	Age timer.Millis
	// Loads are by backend server; idle ones are left out.
	Loads map[string]Load
	// Admitted counts the requests of workspaces since the host started; those
	// that did not change lately may be missing.
	Admitted map[string]uint64
	// Waiting is how many tokens of batch items wait, by workspace and route.
	Waiting map[string]int64
	// Backlog is how many batch items the host could run now.
	Backlog int
	// Groups are the groups of batch jobs that the host answers for.
	Groups []int
}

// maxDatagram bounds what is read of a datagram, in bytes.
const maxDatagram = 64 << 10

// staleAfter is how long a host's Digest counts after it was last heard.
const staleAfter timer.Millis = 1000

// Options are the settings of a Gossiper. Zero fields take the defaults.
type Options struct {
	Conn  net.PacketConn
	Clock timer.Clock
	// Build returns what this host tells now; Sequence is set by the Gossiper.
	Build func() Digest
	// Peers returns the addresses of the other hosts: those of this data centre
	// and those of others.
	Peers  func() (near, far []netip.AddrPort)
	Logger *zap.Logger
	// MinGap and MaxGap bound the time between two Digests; defaults 10 and 200 ms.
	MinGap, MaxGap timer.Millis
	// FarGap is the least time between two to other data centres; default 30 ms.
	FarGap timer.Millis
}

const (
	// fullGap is how often all counts by workspace are told, recentGap for how
	// long a changed one is told each time.
	fullGap   timer.Millis = 1000
	recentGap timer.Millis = 400
)

// Gossiper sends and takes Digests until Close. It is safe for concurrent use.
type Gossiper struct {
	options Options
	touched chan struct{}
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu       sync.Mutex
	heard    map[string]*hearing
	sums     map[string]Load
	listener func(Digest)
}

// hearing is the newest Digest of one host.
type hearing struct {
	digest Digest
	at     timer.Millis
}

// New returns a Gossiper that runs until Close. listener is called with each
// newer Digest and must return soon.
func New(o Options, listener func(Digest)) *Gossiper {
	defaulter.Set(&o.MinGap, 10)
	defaulter.Set(&o.MaxGap, 200)
	defaulter.Set(&o.FarGap, 30)
	g := &Gossiper{
		options: o, touched: make(chan struct{}, 1), listener: listener,
		heard: make(map[string]*hearing), sums: make(map[string]Load),
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.workers.Go(func() { g.send(ctx) })
	g.workers.Go(g.receive)
	return g
}

// Close ends the Gossiper and waits for it.
func (g *Gossiper) Close() {
	g.cancel()
	_ = g.options.Conn.Close()
	g.workers.Wait()
}

// Touch says that this host's Digest changed.
func (g *Gossiper) Touch() {
	select {
	case g.touched <- struct{}{}:
	default:
	}
}

// Others returns how many calls the other hosts run at a server.
func (g *Gossiper) Others(server string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sums[server]
}

// Digests returns the Digests of the hosts that are heard.
func (g *Gossiper) Digests() []Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Digest, 0, len(g.heard))
	for _, h := range g.heard {
		out = append(out, h.digest)
	}
	return out
}

// Heard returns when a host was last heard, and false when it never was or not
// for long.
func (g *Gossiper) Heard(host string) (timer.Millis, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.heard[host]
	if !ok {
		return 0, false
	}
	return h.at, true
}

// Newest returns the newest Digest of a host that is heard.
func (g *Gossiper) Newest(host string) (Digest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.heard[host]
	if !ok {
		return Digest{}, false
	}
	return h.digest, true
}

func (g *Gossiper) send(ctx context.Context) {
	v := &sender{options: &g.options, counts: make(map[string]counted)}
	for {
		g.forgetStale()
		wait := v.tell()
		if !timer.Sleep(ctx, g.options.MinGap) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, max(wait-g.options.MinGap, 0).Duration())
		select {
		case <-g.touched:
		case <-limited.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

func (g *Gossiper) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.options.Conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var d Digest
		if err := cbor.Unmarshal(buffer[:n], &d); err != nil {
			g.options.Logger.Warn("unreadable digest", zap.Error(err))
			continue
		}
		if g.take(d) {
			g.listener(d)
		}
	}
}

// take keeps d if it is newer than what is known of its host.
func (g *Gossiper) take(d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	h, ok := g.heard[d.Host]
	if ok && h.digest.Incarnation == d.Incarnation && h.digest.Sequence >= d.Sequence {
		return false
	}
	if ok && h.digest.Incarnation != d.Incarnation && d.Incarnation < h.digest.Incarnation && now-h.at < staleAfter {
		return false
	}
	if ok {
		g.add(h.digest, -1)
	}
	g.heard[d.Host] = &hearing{digest: d, at: now}
	g.add(d, 1)
	return true
}

// add adds the loads of d to the sums, or takes them away.
func (g *Gossiper) add(d Digest, sign int) {
	for server, l := range d.Loads {
		s := g.sums[server]
		s.Online += sign * l.Online
		s.Batch += sign * l.Batch
		if s.Online == 0 && s.Batch == 0 {
			delete(g.sums, server)
			continue
		}
		g.sums[server] = s
	}
}

func (g *Gossiper) forgetStale() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	for name, h := range g.heard {
		if now-h.at > staleAfter {
			g.add(h.digest, -1)
			delete(g.heard, name)
		}
	}
}
