// Package hoster assembles one host of a fleet that runs on a platform's store.
//
// An entry host takes callers' requests; a bulk host keeps and runs batch jobs.
// Both follow the store, keep an entry of their own in it, and tell one another
// of their load. Nothing is set aside for control: whatever must be decided once
// is decided by a transaction of the store.
package hoster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/enroller"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Platform is what an adapter gives: the store, and names and formats of values
// and messages. It decides nothing.
type Platform struct {
	Ledger  storer.Ledger
	Decoder follower.Decoder
	Names   speller.Names
	// MemberKey, GroupKey, QuarantineKey and RetireStatusKey are keys of the store.
	MemberKey       func(name string) string
	GroupKey        func(n int) string
	QuarantineKey   func(fingerprint uint64) string
	RetireStatusKey func(name string) string
	// RetireStatus is the value that says how far a host has been emptied.
	RetireStatus func(empty bool) []byte
	// ReadyPath and DirectoryPath are the paths of the calls that a host answers.
	ReadyPath, DirectoryPath string
	// Addresses encodes the answer to a caller that asks where to connect.
	Addresses func(addresses []string, keep timer.Millis) ([]byte, error)
	// Measurer counts what the host does.
	Measurer *measurer.Measurer
	// DroppedLines is how many log lines were dropped.
	DroppedLines func() uint64
	// Jobs are the formats of messages about batch jobs.
	Jobs broker.Formats
}

// memoryShare is the part of a host's memory that the heap may fill before the
// collector works harder.
const memoryShare = 0.6

// storeAway is how old a host's knowledge of the store is when the store counts as
// away.
const storeAwayAfter timer.Millis = 1500

// base is what both kinds of hosts have.
type base struct {
	settings checker.MemberSettings
	platform Platform
	logger   *zap.Logger
	member   cataloger.Member
	// clock counts the time that the machine is suspended.
	clock     timer.Clock
	follower  *follower.Follower
	enroller  *enroller.Enroller
	metrics   *http.Server
	gossiper  *gossiper.Gossiper
	messenger *messenger.Host
	streams   net.Listener
	ejector   *ejector.Ejector
	departer  *departer.Departer
	comparer  *comparer.Comparer
	picker    *picker.Picker
	conveyor  *conveyor.Conveyor
	// workers are goroutines that end with the host's context.
	workers sync.WaitGroup
}

// newBase starts what both kinds of hosts have. build makes the host's digest.
func newBase(s checker.MemberSettings, p Platform, l *zap.Logger, m cataloger.Member, build func() gossiper.Digest, hear func(gossiper.Digest)) (*base, error) {
	if s.Host.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Host.MemoryMB) * memoryShare * (1 << 20)))
	}
	clock := timer.Boot()
	m.Name, m.DataCentre, m.Peers, m.Incarnation = s.Host.Name, s.Host.DataCentre, s.Listen.Peers, newIncarnation()
	b := &base{settings: s, platform: p, logger: l, member: m, clock: clock}
	datagrams, err := net.ListenPacket("udp4", s.Listen.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for datagrams")
	}
	streams, err := net.Listen("tcp4", s.Listen.Peers)
	if err != nil {
		_ = datagrams.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	b.messenger = messenger.New(messenger.Options{
		Self: messenger.Peer{Name: m.Name, Incarnation: m.Incarnation}, Logger: l,
		DialTimeout: 500, IdleTimeout: 1200, PingInterval: 300,
	})
	b.streams = streams
	heard := make(chan struct{})
	b.follower = follower.New(follower.Options{
		Ledger: p.Ledger, Decoder: p.Decoder, Clock: clock, Logger: l,
		Relay: &follower.Relay{
			Self: m.Name, DataCentre: m.DataCentre, Caller: b.messenger,
			Candidates: func() []follower.Reader { <-heard; return b.readers() },
		},
	})
	b.follower.Serve(b.messenger)
	b.ejector = ejector.New(clock, l)
	b.conveyor = conveyor.New(conveyor.Options{IDHeader: p.Names.RequestID, Clock: clock})
	b.departer = departer.New(clock, l)
	b.comparer = comparer.New(clock, l)
	b.picker = picker.New(picker.Options{
		Snapshot: b.follower.Snapshot, Others: func(id string) gossiper.Load { return b.gossiper.PeerLoad(id) },
		Ejector: b.ejector, Departs: b.departer.Departs, Slowness: b.comparer.Slowness, Changed: func() { b.gossiper.Touch() }, DataCentre: m.DataCentre,
	})
	b.gossiper = gossiper.New(gossiper.Options{
		Conn: datagrams, Clock: clock, Build: build, Self: asPeer(m), Peers: b.peers, Logger: l,
	}, func(d gossiper.Digest) {
		b.ejector.Hear(d.Host, d.Incarnation, d.ServerFailures)
		b.departer.Hear(d.LeaveNotices)
		b.comparer.Hear(d.Slowdowns)
		hear(d)
	})
	close(heard)
	b.follower.Notify(b.forgetServers)
	if err := b.serveMetrics(); err != nil {
		return nil, err
	}
	b.enroller = enroller.New(enroller.Options{
		Ledger: p.Ledger, Key: p.MemberKey(m.Name), TTL: s.Store.LeaseTTL,
		Hosts: func() int { return len(b.follower.Snapshot().Members) }, StoreAway: func() bool { return b.age() > storeAwayAfter }, Logger: l,
	}, m)
	return b, nil
}

// serve takes calls of other hosts. All handlers are registered before.
func (b *base) serve() {
	go func() {
		if err := b.messenger.Serve(b.streams); err != nil {
			b.logger.Error("peers are no longer served", zap.Error(err))
		}
	}()
}

// newIncarnation returns a name that is later in order for later starts.
func newIncarnation() string {
	return fmt.Sprintf("%012x%04x", time.Now().UnixMilli(), rand.Uint32()&0xffff)
}

// digest is the part of a digest that both kinds of hosts tell.
func (b *base) digest() gossiper.Digest {
	return gossiper.Digest{
		Host: b.member.Name, Incarnation: b.member.Incarnation, Age: b.age(), ConfirmedFor: b.follower.ConfirmedFor(), Loads: b.picker.Loads(),
		ServerFailures: b.ejector.Report(), LeaveNotices: b.departer.Told(), Slowdowns: b.comparer.Report(),
	}
}

// age is how old the host's knowledge of the store is.
func (b *base) age() timer.Millis { return b.clock.Now() - b.follower.Snapshot().Confirmed }

// readers lists the hosts that may read the store for others.
func (b *base) readers() []follower.Reader {
	out := []follower.Reader{{
		Name: b.member.Name, Address: b.member.Peers, DataCentre: b.member.DataCentre,
		Bulk: b.member.Role == cataloger.Bulk, Age: b.age(),
	}}
	for name, m := range b.follower.Snapshot().Members {
		if d, ok := b.gossiper.Newest(name); ok && name != b.member.Name && !m.Leaving {
			out = append(out, follower.Reader{
				Name: name, Address: m.Peers, DataCentre: m.DataCentre, Bulk: m.Role == cataloger.Bulk, Age: d.Age, ConfirmedFor: d.ConfirmedFor,
			})
		}
	}
	return out
}

// asPeer is a host as others are told of its load. Bulk hosts decide by one
// another's silence.
func asPeer(m cataloger.Member) gossiper.Peer {
	return gossiper.Peer{Name: m.Name, DataCentre: m.DataCentre, Direct: m.Role == cataloger.Bulk}
}

// peers are the other hosts.
func (b *base) peers() []gossiper.Peer {
	members := b.follower.Snapshot().Members
	out := make([]gossiper.Peer, 0, len(members))
	for name, m := range members {
		a, err := netip.ParseAddrPort(m.Peers)
		if name == b.member.Name || err != nil {
			continue
		}
		p := asPeer(m)
		p.Address = a
		out = append(out, p)
	}
	return out
}

// forgetServers drops what is kept of servers that are gone.
func (b *base) forgetServers(s cataloger.Snapshot) {
	known := func(id string) bool { _, ok := s.Servers[id]; return ok }
	b.conveyor.Forget(known)
	b.ejector.Forget(known)
	b.comparer.Forget(known, func(service string) bool { return len(s.ServersOf(service)) > 0 })
}

// leave says in the store that the host is about to stop.
func (b *base) leave() {
	m := b.member
	m.Leaving = true
	b.enroller.Set(m)
}

// close ends what newBase started. The host's context has ended before.
func (b *base) close() {
	b.workers.Wait()
	b.enroller.Close()
	b.gossiper.Close()
	if err := b.messenger.Close(); err != nil {
		b.logger.Warn("peers not closed", zap.Error(err))
	}
	b.follower.Close()
	b.conveyor.Close()
	if b.metrics != nil {
		_ = b.metrics.Close()
	}
}
