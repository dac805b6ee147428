package gossiper_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// hub carries datagrams between the hosts of a test, without a network.
type hub struct {
	mu    sync.Mutex
	hosts map[string]*node
	// far counts bytes between data centres.
	farBytes int
}

// node is one host. While down, it neither sends nor receives; it does not receive the
// datagrams of the hosts in dropsFrom.
type node struct {
	hub       *hub
	peer      gossiper.Peer
	in        chan []byte
	done      chan struct{}
	once      sync.Once
	down      bool
	dropsFrom map[string]bool
	calls     int
	g         *gossiper.Gossiper
}

func (n *node) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case b := <-n.in:
		return copy(p, b), nil, nil
	case <-n.done:
		return 0, nil, net.ErrClosed
	}
}

func (n *node) WriteTo(p []byte, to net.Addr) (int, error) {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	o, ok := n.hub.hosts[to.String()]
	if !ok || n.down || o.down || o.dropsFrom[n.peer.Name] {
		return len(p), nil
	}
	if o.peer.DataCentre != n.peer.DataCentre {
		n.hub.farBytes += len(p)
	}
	select {
	case o.in <- append([]byte(nil), p...):
	default:
	}
	return len(p), nil
}

func (n *node) Close() error                     { n.once.Do(func() { close(n.done) }); return nil }
func (n *node) LocalAddr() net.Addr              { return nil }
func (n *node) SetDeadline(time.Time) error      { return nil }
func (n *node) SetReadDeadline(time.Time) error  { return nil }
func (n *node) SetWriteDeadline(time.Time) error { return nil }

// fleet is a fleet of three data centres; the first host of each is direct.
type fleet struct {
	hub   *hub
	nodes []*node
}

func startFleet(hosts int) *fleet {
	f := &fleet{hub: &hub{hosts: make(map[string]*node)}}
	for i := range hosts {
		n := &node{hub: f.hub, in: make(chan []byte, 256), done: make(chan struct{}), dropsFrom: make(map[string]bool)}
		n.peer = gossiper.Peer{
			Name: fmt.Sprintf("h%02d", i), DataCentre: fmt.Sprintf("d%d", i%3), Direct: i < 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		}
		f.hub.hosts[n.peer.Address.String()] = n
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.g = gossiper.New(gossiper.Options{
			Conn: n, Clock: timer.System(), Logger: zap.NewNop(), Self: n.peer,
			Build: func() gossiper.Digest { return n.digest() },
			Peers: func() []gossiper.Peer { return f.others(n) },
		}, func(gossiper.Digest) {})
	}
	return f
}

func (n *node) digest() gossiper.Digest {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	return gossiper.Digest{Host: n.peer.Name, Incarnation: "1", Loads: map[string]gossiper.Load{"s": {Online: n.calls}}}
}

func (f *fleet) others(n *node) []gossiper.Peer {
	var out []gossiper.Peer
	for _, o := range f.nodes {
		if o != n {
			out = append(out, o.peer)
		}
	}
	return out
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.g.Close()
	}
}

// set changes a node while no datagram is delivered.
func (f *fleet) set(i int, do func(n *node)) {
	f.hub.mu.Lock()
	defer f.hub.mu.Unlock()
	do(f.nodes[i])
}

// oldest returns the longest time since a host that is up last received a digest of
// another that is up.
func (f *fleet) oldest() timer.Millis {
	now, oldest := timer.System().Now(), timer.Millis(0)
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			if n == o || n.down || o.down {
				continue
			}
			at, _ := n.g.LastReceived(o.peer.Name)
			oldest = max(oldest, now-at)
		}
	}
	return oldest
}

// pass lets virtual time pass.
func pass(m timer.Millis) { timer.Sleep(context.Background(), m) }

func (f *fleet) bytesInASecond() int {
	f.set(0, func(n *node) { n.hub.farBytes = 0 })
	pass(1000)
	f.hub.mu.Lock()
	defer f.hub.mu.Unlock()
	return f.hub.farBytes
}

func TestDigestsOfAllHostsArriveInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(30)
		defer f.close()
		pass(2000)
		for i := range f.nodes {
			f.set(i, func(n *node) { n.calls = 1 })
			f.nodes[i].g.Touch()
		}
		pass(100)
		for _, n := range f.nodes {
			require.Equal(t, 29, n.g.PeerLoad("s").Online, n.peer.Name)
		}
		require.LessOrEqual(t, f.oldest(), timer.Millis(300))
	})
}

// If every host sent to every other one, the bytes between data centres would grow
// with the square of the fleet.
func TestBytesBetweenDataCentresGrowLinearlyWithHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small := startFleet(30)
		pass(2000)
		before := small.bytesInASecond()
		small.close()
		large := startFleet(90)
		defer large.close()
		pass(2000)
		require.Less(t, large.bytesInASecond(), 4*before)
	})
}

// The bundlers of a data centre freeze, one after the other.
func TestDigestsArriveWhileBundlersAreFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(30)
		defer f.close()
		pass(2000)
		for i := 3; i < 12; i += 3 {
			f.set(i, func(n *node) { n.down = true })
			for range 30 {
				pass(50)
				synctest.Wait()
				require.Less(t, f.oldest(), timer.Millis(700), "a host counts as silent after 700 ms")
			}
		}
	})
}

// A direct host cannot receive from another direct host, and all other hosts receive
// the digests of both.
func TestDirectHostsIgnoreRelayedDigestsOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(30)
		defer f.close()
		pass(2000)
		f.set(0, func(n *node) { n.dropsFrom["h01"], n.dropsFrom["h13"] = true, true })
		pass(2000)
		_, received := f.nodes[0].g.LastReceived("h01")
		require.False(t, received)
		_, received = f.nodes[0].g.LastReceived("h13")
		require.True(t, received, "the digest of a host that is not direct may be received through any other host")
		_, received = f.nodes[3].g.LastReceived("h01")
		require.True(t, received)
	})
}
