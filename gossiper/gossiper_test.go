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

// conn is a net.PacketConn whose datagrams a test hands in.
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
	t     *testing.T
	clock *clock
	conn  *conn
	heard chan gossiper.Digest
	g     *gossiper.Gossiper
	peers []gossiper.Peer
}

// packet and envelope are what lies in a datagram.
type packet struct {
	_         struct{} `cbor:",toarray"`
	Relayed   bool
	PassOn    bool
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
	f := &fixture{t: t, clock: &clock{now: 5000}, conn: newConn(), heard: make(chan gossiper.Digest, 16), peers: peers}
	f.g = gossiper.New(gossiper.Options{
		Conn: f.conn, Clock: f.clock, Logger: zap.NewNop(),
		Build: func() gossiper.Digest { return gossiper.Digest{Host: "self"} },
		Self:  gossiper.Peer{Name: "self", DataCentre: "d", Mutual: true},
		Peers: func() []gossiper.Peer { return f.peers },
	}, func(d gossiper.Digest) { f.heard <- d })
	t.Cleanup(f.g.Close)
	return f
}

// hand hands a digest in.
func (f *fixture) hand(host, incarnation string, sequence uint64, online int) {
	f.t.Helper()
	f.handPacket(false, host, incarnation, sequence, online)
}

// handPacket hands a digest in; a marker behind it shows when it has been handled.
func (f *fixture) handPacket(relayed bool, host, incarnation string, sequence uint64, online int) {
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
	for d := range f.heard {
		if d.Host == "marker" {
			break
		}
	}
	f.clock.add(1)
}

func TestNewestDigestOfEachHostCounts(t *testing.T) {
	f := start(t)
	f.hand("a", "1", 5, 3)
	f.hand("b", "1", 1, 2)
	require.Equal(t, 5, f.g.Others("s").Online)
	f.hand("a", "1", 4, 9)
	require.Equal(t, 5, f.g.Others("s").Online, "a datagram that was overtaken")
	f.hand("a", "1", 6, 1)
	require.Equal(t, 3, f.g.Others("s").Online)
}

func TestRestartedHostReplacesWhatItWas(t *testing.T) {
	f := start(t)
	f.hand("a", "1", 50, 3)
	f.hand("a", "2", 1, 1)
	require.Equal(t, 1, f.g.Others("s").Online)
	f.hand("a", "1", 60, 7)
	require.Equal(t, 1, f.g.Others("s").Online, "a late datagram of the process before")
}

// The time of day may step back between two starts of a host.
func TestRestartedHostWithAnEarlierClockIsHeardAfterAWhile(t *testing.T) {
	f := start(t)
	f.hand("a", "9", 50, 3)
	f.clock.add(1100)
	f.hand("a", "2", 1, 1)
	require.Equal(t, 1, f.g.Others("s").Online)
}

func TestUnreadableDatagramIsPassedOver(t *testing.T) {
	f := start(t)
	f.conn.in <- []byte{0xff, 0x00}
	f.hand("a", "1", 1, 1)
	require.Equal(t, 1, f.g.Others("s").Online)
}

// Pattern: malformed message. Datagrams damaged in any way are taken or passed
// over, and the next sound one is heard.
func TestDamagedDatagramsDoNoHarm(t *testing.T) {
	f := start(t)
	body, err := cbor.Marshal(gossiper.Digest{
		Loads: map[string]gossiper.Load{"s": {Online: 1, Batch: 2}}, Admitted: map[string]uint64{"w": 3}, Groups: []int{1, 2},
		Slow: map[string]uint8{"s": 30},
	})
	require.NoError(t, err)
	sample, err := cbor.Marshal(packet{PassOn: true, Envelopes: []envelope{{Host: "b", Incarnation: "1", Sequence: 1, Body: body}}})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d := range f.heard {
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
	f.hand("a", "1", 1, 7)
	require.GreaterOrEqual(t, f.g.Others("s").Online, 7)
}
