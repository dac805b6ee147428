// Package gossiper tells hosts of one another's load by datagrams.
//
// Each host sends its Digest to every other host of its data centre whenever it
// changed, at most once each MinGap and at least once each MaxGap. A Digest is a
// state, not a change: a lost or repeated datagram does no harm, and the newest
// one wins by incarnation and sequence. Counts by workspace are left out while
// they have not changed lately; every FullGap all are told. Nothing is decided by
// what a Digest says alone: it steers load, and limits tolerate its delay.
//
// To other data centres a small fleet sends each Digest directly, at most once
// each FarGap. In a large one two hosts of each data centre, the speakers, send
// the Digests that changed there as one bundle to one host each of every other
// data centre, which passes it on to its own. Who speaks follows from the names
// of the hosts that are heard, and so differs for a moment between hosts: then
// one more speaks, or one fewer. A receiver changes each second, so that no one
// broken path silences a data centre. Mutual hosts, whose silence decides
// something, also send to one another directly and heed nothing else of each
// other.
package gossiper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/rescuer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Load is how many calls run at one backend server.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Online int
	Batch  int
}

// Digest is what one host tells of itself. Fields travel under their numbers and may
// be added; a number is never used again, so hosts of two versions understand what
// both know.
type Digest struct {
	// Host, Incarnation and Sequence travel in the envelope.
	Host        string `cbor:"-"`
	Incarnation string `cbor:"-"`
	Sequence    uint64 `cbor:"-"`
	// Ready says that the host takes callers' requests.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Age is how old the host's knowledge of the store is.
	Age timer.Millis `cbor:"2,keyasint,omitempty"`
	// Steady is for how long that has been confirmed without a gap.
	Steady timer.Millis `cbor:"3,keyasint,omitempty"`
	// Loads are by backend server; idle ones are left out.
	Loads map[string]Load `cbor:"4,keyasint,omitempty"`
	// Admitted counts the requests of workspaces since the host started; those
	// that did not change lately may be missing.
	Admitted map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Waiting is how many tokens of batch items wait, by workspace and route.
	Waiting map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Backlog is how many batch items the host could run now.
	Backlog int `cbor:"7,keyasint,omitempty"`
	// Groups are the groups of batch jobs that the host answers for.
	Groups []int `cbor:"8,keyasint,omitempty"`
	// Suspects are the calls under which servers failed lately, Servers the
	// servers that broke calls off.
	Suspects suspector.Records `cbor:"9,keyasint,omitempty"`
	Servers  ejector.Report    `cbor:"10,keyasint,omitempty"`
	// Departures are servers that lately said to this host that they leave or are gone.
	Departures []departer.Notice `cbor:"11,keyasint,omitempty"`
	// Slow are servers that the host found slower than their kin.
	Slow comparer.Report `cbor:"12,keyasint,omitempty"`
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
	// Self is this host; its Address is not needed.
	Self Peer
	// Peers returns the other hosts.
	Peers  func() []Peer
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

	plan atomic.Pointer[plan]

	mu       sync.Mutex
	heard    map[string]*hearing
	sums     map[string]Load
	listener func(Digest)
}

// hearing is the newest Digest of one host, and how it was encoded.
type hearing struct {
	digest   Digest
	envelope envelope
	at       timer.Millis
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
	g.plan.Store(&plan{})
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

// Hosts is how many hosts are heard.
func (g *Gossiper) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.heard)
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

func (g *Gossiper) currentPlan() *plan { return g.plan.Load() }

// onlyDirect says that a host counts only by what it sent itself.
func (g *Gossiper) onlyDirect(host string) bool { return g.currentPlan().mutual[host] }

// envelopes lists the newest Digests of these hosts, as they were encoded.
func (g *Gossiper) envelopes(hosts map[string]bool) []envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]envelope, 0, len(hosts)+1)
	for name := range hosts {
		if h, ok := g.heard[name]; ok {
			out = append(out, h.envelope)
		}
	}
	return out
}

func (g *Gossiper) send(ctx context.Context) {
	v := newSender(g)
	touched := true
	for {
		g.forgetStale()
		wait := v.tell(touched)
		if !timer.Sleep(ctx, g.options.MinGap) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, max(wait-g.options.MinGap, 0).Duration())
		select {
		case <-g.touched:
			touched = true
		case <-limited.Done():
			touched = false
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
		rescuer.Do(g.options.Logger, "taking a datagram", func() { g.accept(buffer[:n]) })
	}
}

// accept takes one datagram in.
func (g *Gossiper) accept(datagram []byte) {
	var p packet
	if err := cbor.Unmarshal(datagram, &p); err != nil {
		g.options.Logger.Warn("unreadable datagram", zap.Error(err))
		return
	}
	for _, e := range p.Envelopes {
		g.open(e, p.Relayed)
	}
	if p.PassOn {
		g.passOn(p)
	}
}

// open takes a Digest that is newer than what is known of its host.
func (g *Gossiper) open(e envelope, relayed bool) {
	if !g.isNews(e, relayed) {
		return
	}
	var d Digest
	if err := cbor.Unmarshal(e.Body, &d); err != nil {
		g.options.Logger.Warn("unreadable digest", zap.String("member", e.Host), zap.Error(err))
		return
	}
	d.Host, d.Incarnation, d.Sequence = e.Host, e.Incarnation, e.Sequence
	g.take(d, e)
	g.listener(d)
}

// passOn sends a bundle to the other hosts of this data centre.
func (g *Gossiper) passOn(p packet) {
	p.PassOn = false
	g.write(p, g.currentPlan().near)
}

// isNews says whether e is newer than what is known of its host, and counts here.
func (g *Gossiper) isNews(e envelope, relayed bool) bool {
	if e.Host == g.options.Self.Name || (relayed && g.onlyDirect(e.Host)) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.heard[e.Host]
	if !ok {
		return true
	}
	if h.envelope.Incarnation == e.Incarnation {
		return e.Sequence > h.envelope.Sequence
	}
	return e.Incarnation > h.envelope.Incarnation || g.options.Clock.Now()-h.at >= staleAfter
}

func (g *Gossiper) take(d Digest, e envelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.heard[d.Host]; ok {
		g.add(h.digest, -1)
	}
	g.heard[d.Host] = &hearing{digest: d, envelope: e, at: g.options.Clock.Now()}
	g.add(d, 1)
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
