// Package hoster assembles one host of a fleet that uses a platform's store.
//
// An entry host accepts callers' requests; a bulk host stores and runs batch jobs.
// Both follow the store, keep an entry of their own in it, and exchange load
// reports. No host is dedicated to control: whatever must be decided exactly once
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

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/enroller"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/jackdawgate/jackdawgate/warmer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Platform is what an adapter to a platform provides: the store, and the names and
// formats of values and messages. It makes no decisions.
type Platform struct {
	Ledger  storer.Ledger
	Decoder follower.Decoder
	Names   namer.Names
	// MemberKey, GroupKey, QuarantineKey and RetireStatusKey return keys of the store.
	MemberKey       func(name string) string
	GroupKey        func(n int) string
	QuarantineKey   func(fingerprint uint64) string
	RetireStatusKey func(name string) string
	// RetireStatus encodes whether a host that is being emptied is empty.
	RetireStatus func(empty bool) []byte
	// ReadyPath and DirectoryPath are the URL paths of the readiness check and of
	// the directory on an entry host.
	ReadyPath, DirectoryPath string
	// Addresses encodes the directory: the addresses to which a caller may connect.
	Addresses func(addresses []string, ttl timer.Millis) ([]byte, error)
	// DirectoryQuery decodes the query of a request to the directory.
	DirectoryQuery func(rawQuery string) localizer.Caller
	// Measurer collects the host's metrics.
	Measurer *measurer.Measurer
	// DroppedLines returns the number of dropped log lines.
	DroppedLines func() uint64
	// JobFormats are the formats of messages about batch jobs.
	JobFormats broker.Formats
}

// memoryShare is the part of a host's memory that is set as the memory limit of the
// Go runtime, near which the garbage collector runs more often.
const memoryShare = 0.6

// refusalResponse is the response to a caller whose connection is refused.
var refusalResponse = holder.RefusalResponse("text/plain; charset=utf-8", "too many connections now\n")

// newBudget returns the budget for what the process holds for others.
func newBudget(s checker.MemberSettings, c timer.Clock, m *measurer.Measurer, l *zap.Logger) *holder.Budget {
	r := holder.NewReporter(l, func(c holder.Cause) { m.BudgetRefusal(string(c)) })
	return holder.NewBudget(holder.Resources{MemoryMB: s.Host.MemoryMB, Descriptors: s.Host.Descriptors, Connections: s.Callers.Connections}, c, r)
}

// storeUnavailableAfter is the age of a host's last confirmation from the store above which
// the store counts as unavailable.
const storeUnavailableAfter timer.Millis = 1500

// base holds the parts that both kinds of hosts have.
type base struct {
	settings checker.MemberSettings
	platform Platform
	logger   *zap.Logger
	member   cataloger.Member
	// zones holds the regions of data centres, this host's own included.
	zones localizer.Zones
	// clock includes the time during which the machine is suspended.
	clock       timer.Clock
	budget      *holder.Budget
	follower    *follower.Follower
	enroller    *enroller.Enroller
	metrics     *http.Server
	gossiper    *gossiper.Gossiper
	messenger   *messenger.Host
	streams     net.Listener
	ejector     *ejector.Ejector
	departer    *departer.Departer
	comparer    *comparer.Comparer
	throttler   *throttler.Throttler
	warmer      *warmer.Warmer
	apportioner *apportioner.Apportioner
	picker      *picker.Picker
	transporter *transporter.Transporter
	// tracker records what crashes servers; quarantiner writes these records to the
	// store.
	tracker     *suspector.Tracker
	quarantiner *quarantiner.Quarantiner
	// workers are the goroutines that end with the host's context.
	workers sync.WaitGroup
}

// newBase starts the parts that both kinds of hosts have. build returns the host's
// digest; onDigest is called with each newer digest of another host.
func newBase(s checker.MemberSettings, p Platform, l *zap.Logger, m cataloger.Member, build func() gossiper.Digest, onDigest func(gossiper.Digest)) (*base, error) {
	if s.Host.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Host.MemoryMB) * memoryShare * (1 << 20)))
	}
	clock := timer.Boot()
	m.Name, m.DataCentre, m.PeerAddress, m.Incarnation = s.Host.Name, s.Host.DataCentre, s.Listen.Peers, newIncarnation()
	m.Region = s.Host.Region
	zones := localizer.Zones(s.Host.Zones).With(m.DataCentre, m.Region)
	b := &base{
		settings: s, platform: p, logger: l, member: m, zones: zones, clock: clock,
		budget: newBudget(s, clock, p.Measurer, l),
	}
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
		DialTimeout: 500, IdleTimeout: 1200, PingInterval: 300, Memory: b.budget.Messages,
	})
	b.streams = b.budget.Connections.Others().Listener(streams, "")
	gossiperSet := make(chan struct{})
	b.follower = follower.New(follower.Options{
		Ledger: p.Ledger, Decoder: p.Decoder, Clock: clock, Logger: l,
		Relay: &follower.Relay{
			Self: m.Name, DataCentre: m.DataCentre, Caller: b.messenger,
			Candidates: func() []follower.Reader { <-gossiperSet; return b.readers() },
		},
	})
	b.follower.Serve(b.messenger)
	b.quarantiner = quarantiner.New(quarantiner.Options{Ledger: p.Ledger, Key: p.QuarantineKey, Clock: clock, Logger: l})
	b.tracker = suspector.NewTracker(clock, l, b.quarantiner)
	b.ejector = ejector.New(clock, l)
	b.transporter = transporter.New(transporter.Options{IDHeader: p.Names.RequestID, Clock: clock, Memory: b.budget.Answers})
	b.departer = departer.New(clock, l)
	b.comparer = comparer.New(clock, l)
	b.throttler = throttler.New(clock, l)
	b.warmer = warmer.New(m.Name, clock, l)
	b.apportioner = apportioner.New(clock)
	b.picker = picker.New(picker.Options{
		Throttler: b.throttler, Warmer: b.warmer,
		Snapshot: b.follower.Snapshot, RemoteLoad: func(id string) gossiper.Load { return b.gossiper.PeerLoad(id) },
		Seed:    b.choiceSeed,
		Ejector: b.ejector, Leaving: b.departer.IsLeaving, Slowdown: b.comparer.Slowdown, OnChange: func() { b.gossiper.Touch() }, DataCentre: m.DataCentre,
		Zones: b.zones,
	})
	b.gossiper = gossiper.New(gossiper.Options{
		Conn: datagrams, Clock: clock, Build: build, Self: asPeer(m), Peers: b.peers, Logger: l,
	}, func(d gossiper.Digest) {
		b.ejector.Merge(d.Host, d.Incarnation, d.ServerFailures)
		b.departer.Merge(d.LeaveNotices)
		b.comparer.Merge(d.Slowdowns)
		b.throttler.Merge(d.Host, d.Incarnation, d.Limits)
		b.tracker.Merge(d.Suspects)
		onDigest(d)
	})
	close(gossiperSet)
	b.follower.Notify(b.removeServers)
	b.follower.Notify(b.warmer.ApplySnapshot)
	b.follower.Notify(LogUnknownRegions(b.zones, l))
	b.follower.Notify(b.tracker.ApplySnapshot)
	b.serveSuspects()
	b.serveLimits()
	if err := b.serveMetrics(); err != nil {
		return nil, err
	}
	b.enroller = enroller.New(enroller.Options{
		Ledger: p.Ledger, Key: p.MemberKey(m.Name), TTL: s.Store.LeaseTTL,
		Hosts: func() int { return len(b.follower.Snapshot().Members) }, StoreUnavailable: func() bool { return b.age() > storeUnavailableAfter }, Logger: l,
	}, m)
	b.follower.Notify(b.enroller.Observe)
	return b, nil
}

// serve accepts calls from other hosts. All handlers must be registered before.
func (b *base) serve() {
	go func() {
		if err := b.messenger.Serve(b.streams); err != nil {
			b.logger.Error("stopped accepting calls from other hosts", zap.Error(err))
		}
	}()
}

// choiceSeed returns the seed of a random choice of a server. It is zero, which stands for the
// best of all servers, in a fleet whose hosts send their digests to one another directly.
func (b *base) choiceSeed() uint64 {
	if len(b.follower.Snapshot().Members) < gossiper.MinBundlingFleet {
		return 0
	}
	return rand.Uint64() | 1
}

// newIncarnation returns a name that sorts after those of earlier starts.
func newIncarnation() string {
	return fmt.Sprintf("%012x%04x", time.Now().UnixMilli(), rand.Uint32()&0xffff)
}

// digest returns the part of a digest that both kinds of hosts report.
func (b *base) digest() gossiper.Digest {
	return gossiper.Digest{
		Host: b.member.Name, Incarnation: b.member.Incarnation, Age: b.age(), ConfirmedFor: b.follower.ConfirmedFor(), Loads: b.picker.Loads(),
		ServerFailures: b.ejector.Report(), LeaveNotices: b.departer.Notices(), Slowdowns: b.comparer.Report(),
		Suspects: b.tracker.Records(), Limits: b.throttler.Notices(),
	}
}

// age returns the age of the host's last confirmation from the store.
func (b *base) age() timer.Millis { return b.clock.Now() - b.follower.Snapshot().ConfirmedAt }

// readers lists the hosts that may read the store for others.
func (b *base) readers() []follower.Reader {
	out := []follower.Reader{{
		Name: b.member.Name, Address: b.member.PeerAddress, DataCentre: b.member.DataCentre,
		Bulk: b.member.Role == cataloger.Bulk, Age: b.age(),
	}}
	for name, m := range b.follower.Snapshot().Members {
		if d, ok := b.gossiper.Newest(name); ok && name != b.member.Name && !m.Leaving {
			out = append(out, follower.Reader{
				Name: name, Address: m.PeerAddress, DataCentre: m.DataCentre, Bulk: m.Role == cataloger.Bulk, Age: d.Age, ConfirmedFor: d.ConfirmedFor,
			})
		}
	}
	return out
}

// asPeer returns m as a peer of the gossiper. Bulk hosts are direct, because they
// take over groups when no digest arrives from one another.
func asPeer(m cataloger.Member) gossiper.Peer {
	return gossiper.Peer{Name: m.Name, DataCentre: m.DataCentre, Direct: m.Role == cataloger.Bulk}
}

// peers returns the other hosts.
func (b *base) peers() []gossiper.Peer {
	members := b.follower.Snapshot().Members
	out := make([]gossiper.Peer, 0, len(members))
	for name, m := range members {
		a, err := netip.ParseAddrPort(m.PeerAddress)
		if name == b.member.Name || err != nil {
			continue
		}
		p := asPeer(m)
		p.Address = a
		out = append(out, p)
	}
	return out
}

// removeServers discards the state of servers that are no longer in the snapshot.
func (b *base) removeServers(s cataloger.Snapshot) {
	known := func(id string) bool { _, ok := s.Servers[id]; return ok }
	b.transporter.Retain(known)
	b.ejector.Retain(known)
	b.comparer.Retain(known, func(service string) bool { return len(s.ServersOf(service)) > 0 })
}

// leave marks the host's entry in the store as leaving.
func (b *base) leave() {
	m := b.member
	m.Leaving = true
	b.enroller.Set(m)
}

// close stops what newBase started. The host's context must have ended before.
func (b *base) close() {
	b.workers.Wait()
	b.enroller.Close()
	b.gossiper.Close()
	if err := b.messenger.Close(); err != nil {
		b.logger.Warn("cannot close connections to other hosts", zap.Error(err))
	}
	b.follower.Close()
	b.quarantiner.Close()
	b.transporter.Close()
	if b.metrics != nil {
		_ = b.metrics.Close()
	}
}
