package gossiper_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

type clock struct {
	mu  sync.Mutex
	now timer.Millis
}

func (c *clock) Now() timer.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(m timer.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += m
}

// conn is a net.PacketConn that reads the datagrams of a test.
type conn struct {
	in   chan []byte
	done chan struct{}
	once sync.Once
}

func newConn() *conn { return &conn{in: make(chan []byte), done: make(chan struct{})} }

func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case b := <-c.in:
		return copy(p, b), nil, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *conn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }
func (c *conn) Close() error                              { c.once.Do(func() { close(c.done) }); return nil }
func (c *conn) LocalAddr() net.Addr                       { return nil }
func (c *conn) SetDeadline(time.Time) error               { return nil }
func (c *conn) SetReadDeadline(time.Time) error           { return nil }
func (c *conn) SetWriteDeadline(time.Time) error          { return nil }

type fixture struct {
	t        *testing.T
	clock    *clock
	conn     *conn
	received chan gossiper.Digest
	g        *gossiper.Gossiper
	peers    []gossiper.Peer
}

// packet and envelope repeat the encoded form of a datagram.
type packet struct {
	_         struct{} `cbor:",toarray"`
	Relayed   bool
	Forward   bool
	Envelopes []envelope
}

type envelope struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation string
	Sequence    uint64
	Body        cbor.RawMessage
}

func start(t *testing.T, peers ...gossiper.Peer) *fixture {
	f := &fixture{t: t, clock: &clock{now: 5000}, conn: newConn(), received: make(chan gossiper.Digest, 16), peers: peers}
	f.g = gossiper.New(gossiper.Options{
		Conn: f.conn, Clock: f.clock, Logger: zap.NewNop(),
		Build: func() gossiper.Digest { return gossiper.Digest{Host: "self"} },
		Self:  gossiper.Peer{Name: "self", DataCentre: "d", Direct: true},
		Peers: func() []gossiper.Peer { return f.peers },
	}, func(d gossiper.Digest) { f.received <- d })
	t.Cleanup(f.g.Close)
	return f
}

// deliver delivers a digest that its host sent itself.
func (f *fixture) deliver(host, incarnation string, sequence uint64, online int) {
	f.t.Helper()
	f.deliverPacket(false, host, incarnation, sequence, online)
}

// deliverPacket delivers a digest, and waits until a marker sent after it has been
// handled.
func (f *fixture) deliverPacket(relayed bool, host, incarnation string, sequence uint64, online int) {
	f.t.Helper()
	body, err := cbor.Marshal(gossiper.Digest{Loads: map[string]gossiper.Load{"s": {Online: online}}})
	require.NoError(f.t, err)
	empty, err := cbor.Marshal(gossiper.Digest{})
	require.NoError(f.t, err)
	for _, p := range []packet{
		{Relayed: relayed, Envelopes: []envelope{{Host: host, Incarnation: incarnation, Sequence: sequence, Body: body}}},
		{Envelopes: []envelope{{Host: "marker", Incarnation: "1", Sequence: uint64(f.clock.Now()), Body: empty}}},
	} {
		b, err := cbor.Marshal(p)
		require.NoError(f.t, err)
		f.conn.in <- b
	}
	for d := range f.received {
		if d.Host == "marker" {
			break
		}
	}
	f.clock.add(1)
}

func TestNewestDigestOfEachHostIsUsed(t *testing.T) {
	f := start(t)
	f.deliver("a", "1", 5, 3)
	f.deliver("b", "1", 1, 2)
	require.Equal(t, 5, f.g.PeerLoad("s").Online)
	f.deliver("a", "1", 4, 9)
	require.Equal(t, 5, f.g.PeerLoad("s").Online, "a datagram that arrives after a newer one is ignored")
	f.deliver("a", "1", 6, 1)
	require.Equal(t, 3, f.g.PeerLoad("s").Online)
}

func TestRestartedHostReplacesItsEarlierDigest(t *testing.T) {
	f := start(t)
	f.deliver("a", "1", 50, 3)
	f.deliver("a", "2", 1, 1)
	require.Equal(t, 1, f.g.PeerLoad("s").Online)
	f.deliver("a", "1", 60, 7)
	require.Equal(t, 1, f.g.PeerLoad("s").Online, "a late datagram of the previous process is ignored")
}

// The wall clock, on which incarnations are based, may step back between two starts
// of a host.
func TestRestartedHostWithEarlierClockIsAcceptedOnceStale(t *testing.T) {
	f := start(t)
	f.deliver("a", "9", 50, 3)
	f.clock.add(1100)
	f.deliver("a", "2", 1, 1)
	require.Equal(t, 1, f.g.PeerLoad("s").Online)
}

func TestUndecodableDatagramIsIgnored(t *testing.T) {
	f := start(t)
	f.conn.in <- []byte{0xff, 0x00}
	f.deliver("a", "1", 1, 1)
	require.Equal(t, 1, f.g.PeerLoad("s").Online)
}

// Malformed messages: damaged datagrams are accepted or ignored, and the next intact
// one is accepted.
func TestDamagedDatagramsDoNotAffectLaterOnes(t *testing.T) {
	f := start(t)
	body, err := cbor.Marshal(gossiper.Digest{
		Loads: map[string]gossiper.Load{"s": {Online: 1, Batch: 2}}, Admitted: map[string]uint64{"w": 3}, Groups: []int{1, 2},
		Slowdowns: map[string]uint8{"s": 30},
	})
	require.NoError(t, err)
	sample, err := cbor.Marshal(packet{Forward: true, Envelopes: []envelope{{Host: "b", Incarnation: "1", Sequence: 1, Body: body}}})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d := range f.received {
			if d.Host == "marker" {
				return
			}
		}
	}()
	harness.Mutate(4, 20000, [][]byte{sample}, func(b []byte) { f.conn.in <- b })
	marker, err := cbor.Marshal(packet{Envelopes: []envelope{{Host: "marker", Incarnation: "1", Sequence: 1, Body: body}}})
	require.NoError(t, err)
	f.conn.in <- marker
	<-done
	f.deliver("a", "1", 1, 7)
	require.GreaterOrEqual(t, f.g.PeerLoad("s").Online, 7)
}
