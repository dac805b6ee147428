// Package gossiper exchanges the hosts' load reports by datagram.
//
// Each host sends its Digest to every other host of its data centre whenever it
// changes, at most once per MinInterval and at least once per MaxInterval. A Digest
// is a state, not a change: a lost or repeated datagram does no harm, and the newest
// one, by incarnation and sequence, replaces earlier ones. Counts per workspace are
// omitted while they have not changed within recentWindow; all of them are sent once per
// fullInterval.
// A Digest may be late or lost, so nothing that must be correct depends on its content;
// it is used to balance load and to estimate quota use.
//
// A small fleet sends each Digest directly to other data centres, at most once per
// FarInterval. In a large fleet, two hosts of each data centre, the bundlers, send
// the Digests that changed there as one bundle to one host each of every other data
// centre, which forwards it to the hosts of its own. Each host derives the bundlers
// from the names of the hosts whose Digests it receives, so hosts may briefly
// disagree; then there is one bundler too many or too few. The receiver changes every
// second, so that a single broken path cannot cut off a data centre. Direct hosts
// (bulk hosts) take over from one another when no Digest arrives. They therefore send
// to one another directly, and ignore Digests of one another that a third host
// relayed.
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
	"github.com/jackdawgate/jackdawgate/recoverer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Load is the number of calls that run at one backend server.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Online int
	Batch  int
}

// Digest is the state that one host reports. Fields are encoded under their numbers
// and may be added; a number is never reused, so hosts of different versions
// interoperate through the fields that both define.
type Digest struct {
	// Host, Incarnation and Sequence are sent in the envelope.
	Host        string `cbor:"-"`
	Incarnation string `cbor:"-"`
	Sequence    uint64 `cbor:"-"`
	// Ready reports whether the host accepts callers' requests.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Age is the age of the host's last confirmation from the store.
	Age timer.Millis `cbor:"2,keyasint,omitempty"`
	// ConfirmedFor is for how long the host has been continuously confirmed.
	ConfirmedFor timer.Millis `cbor:"3,keyasint,omitempty"`
	// Loads are by backend server; idle servers are omitted.
	Loads map[string]Load `cbor:"4,keyasint,omitempty"`
	// Admitted counts the requests admitted per workspace since the host started;
	// counts that did not change within recentWindow may be omitted.
	Admitted map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Waiting is the number of tokens in waiting batch items, by workspace and route.
	Waiting map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Backlog is the number of batch items that the host could run now.
	Backlog int `cbor:"7,keyasint,omitempty"`
	// Groups are the groups of batch jobs that the host serves.
	Groups []int `cbor:"8,keyasint,omitempty"`
	// Suspects are the calls under which servers failed recently; ServerFailures
	// reports the servers that broke off calls, and those that work again.
	Suspects       suspector.Records `cbor:"9,keyasint,omitempty"`
	ServerFailures ejector.Report    `cbor:"10,keyasint,omitempty"`
	// LeaveNotices are the recent notices of servers to this host that they are
	// leaving or have left.
	LeaveNotices []departer.Notice `cbor:"11,keyasint,omitempty"`
	// Slowdowns are the servers that the host measured to be slower than other servers
	// of the same service.
	Slowdowns comparer.Report `cbor:"12,keyasint,omitempty"`
	// Limits are limits that servers named, and what the host sent to these servers.
	Limits []throttler.Notice `cbor:"13,keyasint,omitempty"`
	// RestrictedBacklog is the number of items of Backlog that may run in some regions only,
	// by region; the empty name stands for all of them.
	RestrictedBacklog map[string]int `cbor:"14,keyasint,omitempty"`
}

// maxDatagram is the size of the receive buffer, in bytes.
const maxDatagram = 64 << 10

// staleAfter is how long a host's Digest is used after it was received.
const staleAfter timer.Millis = 1000

// Options are the settings of a Gossiper. Zero fields take the defaults.
type Options struct {
	Conn  net.PacketConn
	Clock timer.Clock
	// Build returns this host's current Digest; the Gossiper sets Sequence.
	Build func() Digest
	// Self is this host; its Address is not used.
	Self Peer
	// Peers returns the other hosts.
	Peers  func() []Peer
	Logger *zap.Logger
	// MinInterval and MaxInterval bound the time between two Digests; defaults 10
	// and 200 ms.
	MinInterval, MaxInterval timer.Millis
	// FarInterval is the minimum time between two Digests to other data centres;
	// default 30 ms.
	FarInterval timer.Millis
}

const (
	// fullInterval is how often all counts per workspace are sent. After a change,
	// a count is included in every Digest for recentWindow.
	fullInterval timer.Millis = 1000
	recentWindow timer.Millis = 400
)

// Gossiper sends and receives Digests until Close. It is safe for concurrent use.
type Gossiper struct {
	options Options
	touched chan struct{}
	cancel  context.CancelFunc
	workers sync.WaitGroup

	plan atomic.Pointer[plan]

	mu       sync.Mutex
	peers    map[string]*peerState
	loadSums map[string]Load
	listener func(Digest)
}

// peerState is the newest Digest of one host, its encoded form, and when it was
// received.
type peerState struct {
	digest   Digest
	envelope envelope
	at       timer.Millis
}

// New returns a Gossiper that runs until Close. listener is called with each
// newer Digest of another host and must not block.
func New(o Options, listener func(Digest)) *Gossiper {
	defaulter.Set(&o.MinInterval, 10)
	defaulter.Set(&o.MaxInterval, 200)
	defaulter.Set(&o.FarInterval, 30)
	g := &Gossiper{
		options: o, touched: make(chan struct{}, 1), listener: listener,
		peers: make(map[string]*peerState), loadSums: make(map[string]Load),
	}
	g.plan.Store(&plan{})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.workers.Go(func() { g.send(ctx) })
	g.workers.Go(g.receive)
	return g
}

// Close stops the Gossiper, closes its Conn and waits for its goroutines.
func (g *Gossiper) Close() {
	g.cancel()
	_ = g.options.Conn.Close()
	g.workers.Wait()
}

// Touch notifies the Gossiper that this host's Digest changed.
func (g *Gossiper) Touch() {
	select {
	case g.touched <- struct{}{}:
	default:
	}
}

// PeerLoad returns the number of calls that the other hosts run at a server.
func (g *Gossiper) PeerLoad(server string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadSums[server]
}

// Digests returns the newest Digest of each other host, received within staleAfter.
func (g *Gossiper) Digests() []Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Digest, 0, len(g.peers))
	for _, h := range g.peers {
		out = append(out, h.digest)
	}
	return out
}

// Hosts returns the number of other hosts from which a Digest was received within
// staleAfter.
func (g *Gossiper) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// LastReceived returns when the newest Digest of a host was received, and false if none
// was received within staleAfter.
func (g *Gossiper) LastReceived(host string) (timer.Millis, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.peers[host]
	if !ok {
		return 0, false
	}
	return h.at, true
}

// Newest returns the newest Digest of a host, and false if none was received within
// staleAfter.
func (g *Gossiper) Newest(host string) (Digest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.peers[host]
	if !ok {
		return Digest{}, false
	}
	return h.digest, true
}

func (g *Gossiper) currentPlan() *plan { return g.plan.Load() }

// isDirect reports whether relayed Digests of a host are ignored.
func (g *Gossiper) isDirect(host string) bool { return g.currentPlan().direct[host] }

// envelopes returns the newest Digests of these hosts in encoded form.
func (g *Gossiper) envelopes(hosts map[string]bool) []envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]envelope, 0, len(hosts)+1)
	for name := range hosts {
		if h, ok := g.peers[name]; ok {
			out = append(out, h.envelope)
		}
	}
	return out
}

func (g *Gossiper) send(ctx context.Context) {
	v := newSender(g)
	touched := true
	for {
		g.dropStale()
		wait := v.sendDue(touched)
		if !timer.Sleep(ctx, g.options.MinInterval) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, max(wait-g.options.MinInterval, 0).Duration())
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
		recoverer.Do(g.options.Logger, "handling a datagram", func() { g.acceptDatagram(buffer[:n]) })
	}
}

// acceptDatagram decodes one datagram and handles its envelopes.
func (g *Gossiper) acceptDatagram(datagram []byte) {
	var p packet
	if err := cbor.Unmarshal(datagram, &p); err != nil {
		g.options.Logger.Warn("cannot decode datagram", zap.Error(err))
		return
	}
	for _, e := range p.Envelopes {
		g.acceptEnvelope(e, p.Relayed)
	}
	if p.Forward {
		g.forward(p)
	}
}

// acceptEnvelope stores a Digest that is newer than the stored one of its host, and
// calls the listener.
func (g *Gossiper) acceptEnvelope(e envelope, relayed bool) {
	if !g.isNewer(e, relayed) {
		return
	}
	var d Digest
	if err := cbor.Unmarshal(e.Body, &d); err != nil {
		g.options.Logger.Warn("cannot decode digest", zap.String("member", e.Host), zap.Error(err))
		return
	}
	d.Host, d.Incarnation, d.Sequence = e.Host, e.Incarnation, e.Sequence
	g.store(d, e)
	g.listener(d)
}

// forward sends a bundle to the other hosts of this data centre.
func (g *Gossiper) forward(p packet) {
	p.Forward = false
	g.write(p, g.currentPlan().near)
}

// isNewer reports whether e is to be accepted: it is of another host, was not
// relayed if that host is direct, and is newer than the stored Digest of that host. An
// earlier incarnation is accepted once no Digest has been received for staleAfter.
func (g *Gossiper) isNewer(e envelope, relayed bool) bool {
	if e.Host == g.options.Self.Name || (relayed && g.isDirect(e.Host)) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.peers[e.Host]
	if !ok {
		return true
	}
	if h.envelope.Incarnation == e.Incarnation {
		return e.Sequence > h.envelope.Sequence
	}
	return e.Incarnation > h.envelope.Incarnation || g.options.Clock.Now()-h.at >= staleAfter
}

func (g *Gossiper) store(d Digest, e envelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.peers[d.Host]; ok {
		g.add(h.digest, -1)
	}
	g.peers[d.Host] = &peerState{digest: d, envelope: e, at: g.options.Clock.Now()}
	g.add(d, 1)
}

// add adds the loads of d to the sums if sign is 1, and subtracts them if it is -1.
func (g *Gossiper) add(d Digest, sign int) {
	for server, l := range d.Loads {
		s := g.loadSums[server]
		s.Online += sign * l.Online
		s.Batch += sign * l.Batch
		if s.Online == 0 && s.Batch == 0 {
			delete(g.loadSums, server)
			continue
		}
		g.loadSums[server] = s
	}
}

func (g *Gossiper) dropStale() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Now()
	for name, h := range g.peers {
		if now-h.at > staleAfter {
			g.add(h.digest, -1)
			delete(g.peers, name)
		}
	}
}
