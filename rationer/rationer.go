// Package rationer limits the requests of all hosts together to a rate and burst, without
// a host that decides for the others. Workspaces have such limits, and so do backend
// servers that name one.
//
// Every host keeps the complete token bucket of each limit. It takes from the bucket
// one token for each request that it admits and, as digests arrive, for each request that
// the other hosts admitted. A bucket may therefore fall below zero by the requests that
// were admitted while digests were in transit. This debt is refilled before further
// requests are admitted, so over any longer period the rate holds, and the excess is at
// most the number of requests that arrive during the delay of one digest.
//
// A silent host, from which no digest arrives, is assumed to spend its equal share of the
// rate, and a bucket holds at most the shares of the hosts that are not silent. A host
// that receives no digests is therefore limited to its own share, and the shares on both
// sides of a network partition add up to the complete rate.
//
// A host that has just started has no record of earlier admissions. Its buckets are
// empty at its start and are refilled from then on, whether they are used or not. The
// level of a bucket on any host is therefore a lower bound, and a new host may take over
// the levels of any host that has kept running (Levels, Inherit).
//
// The limits of servers may be lower than one request a second for the whole fleet, and
// every host sees the same token at the same time. So the hosts take turns at them: only
// few hosts at a time may take a token (Claim). Hosts that are cut off from one another divide
// the tokens that are there, and pay back what they took beyond their share until they
// noticed.
package rationer

import (
	"math"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Limit is a limit over all hosts. A Rate of zero means no limit.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
	// Turns is set if the hosts take turns. A bucket then holds at least one request on a
	// part of the fleet too that hears no other hosts.
	Turns bool
}

// Peer is another host that admits requests.
type Peer struct {
	Name string
	// LastReceived is when its last digest arrived; zero if none has.
	LastReceived timer.Millis
}

// silent reports whether no digest of the peer arrived within the timeout, on a host that
// started at the given time.
func (p Peer) silent(now, started timer.Millis) bool {
	if p.LastReceived == 0 {
		return now-started > startGrace
	}
	return now-p.LastReceived > silentTimeout
}

const (
	// silentTimeout is the time without a digest after which a host is silent, so that its
	// share is reserved for it.
	silentTimeout timer.Millis = 800
	// startGrace is that timeout for a host that sent no digest since this host started.
	startGrace timer.Millis = 300
	// silentInterval is how often the silent hosts are counted at most.
	silentInterval timer.Millis = 10
)

// minRetry is the minimum Decision.RetryAfter of a refused request.
const minRetry timer.Millis = 50

// Rationer holds the buckets of all workspaces on one host. It is safe for concurrent use.
type Rationer struct {
	clock   timer.Clock
	started timer.Millis

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   []Peer
	silent  silentCount
	order   Order
}

// silentCount is the number of silent peers, and when they were counted; nil if they are to
// be counted.
type silentCount struct {
	at    timer.Millis
	peers *int
}

// bucket is the token bucket of one limit.
type bucket struct {
	limit Limit
	// level is in requests at refilledAt; it may be negative.
	level      float64
	refilledAt timer.Millis
	// fullSince is when the bucket became full; zero if it is not.
	fullSince timer.Millis
	// admitted is the number of requests that this host admitted since its start.
	admitted uint64
	// lastCounts holds the last count from each other host. reserved holds the requests
	// that were reserved for a host while it was silent.
	lastCounts map[string]lastCount
	reserved   map[string]float64
	recentUse
	turnState
}

// lastCount is the number of requests that an incarnation of a host reported as admitted.
type lastCount struct {
	incarnation string
	count       uint64
	// at is when it was reported. Only limits with turns need it.
	at timer.Millis
}

// New returns a Rationer with empty buckets that are refilled from now on, by clock.
func New(clock timer.Clock) *Rationer {
	return &Rationer{clock: clock, started: clock.Now(), buckets: make(map[string]*bucket)}
}

// SetPeers sets the other hosts that admit requests.
func (r *Rationer) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, b := range r.buckets {
		r.refill(b, now)
	}
	r.peers, r.silent = peers, silentCount{}
}

// Decision reports whether a request was admitted, with the state that decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused request may be admitted.
	RetryAfter timer.Millis
	// Level is the level of the bucket before the request, in requests.
	Level float64
	// Taken is how many tokens a second all hosts took lately, as far as known. Only refused
	// requests have it.
	Taken float64
	// Capacity is the highest level that the bucket can have, Idle the time since a token
	// was last taken, as far as known. Only claims have them.
	Capacity float64
	Idle     timer.Millis
	// Hosts is the number of hosts that admit requests, Silent the number of those that
	// are silent.
	Silent, Hosts int
}

// Admit takes the token for one request from the bucket of the workspace, if there is
// one.
func (r *Rationer) Admit(workspace string, l Limit) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilledBucket(workspace, l)
	now := r.clock.Now()
	d := Decision{Admitted: true, Level: b.level, Silent: r.silentPeers(now), Hosts: len(r.peers) + 1}
	if l.Rate > 0 && b.level < 1 {
		d.Admitted = false
		d.Taken = max(0, b.usedLately(now)) * float64(timer.Second) / float64(silentTimeout)
		d.RetryAfter = max(minRetry, timer.Millis((1-b.level)/l.Rate*float64(timer.Second)))
		return d
	}
	b.level--
	b.admitted++
	b.addUsed(1, now)
	return d
}

// silentPeers returns the number of silent peers. The caller holds r.mu.
func (r *Rationer) silentPeers(now timer.Millis) int {
	if r.silent.peers != nil && now-r.silent.at < silentInterval {
		return *r.silent.peers
	}
	n := 0
	for _, p := range r.peers {
		if p.silent(now, r.started) {
			n++
		}
	}
	r.silent = silentCount{at: now, peers: &n}
	return n
}

// Refund returns a request to the bucket that was admitted but did not run.
func (r *Rationer) Refund(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.buckets[workspace]; ok && b.admitted > 0 {
		b.level++
		b.admitted--
		if b.limit.Turns {
			b.returnTaken()
		} else {
			b.addUsed(-1, r.clock.Now())
		}
	}
}

// Spent returns the number of requests that this host admitted since its start, by
// workspace.
func (r *Rationer) Spent() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint64, len(r.buckets))
	for name, b := range r.buckets {
		out[name] = b.admitted
	}
	return out
}

// Merge applies the Spent counts of another host.
func (r *Rationer) Merge(host, incarnation string, spent map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for workspace, count := range spent {
		b := r.bucketFor(workspace)
		// What is taken now must not be made up for by the time before.
		r.refill(b, now)
		b.merge(host, incarnation, count, now)
	}
}

// bucketFor returns the bucket of a workspace, and creates it if needed. The caller holds
// r.mu.
func (r *Rationer) bucketFor(workspace string) *bucket {
	b, ok := r.buckets[workspace]
	if !ok {
		b = &bucket{refilledAt: r.started, lastCounts: make(map[string]lastCount), reserved: make(map[string]float64)}
		r.buckets[workspace] = b
	}
	return b
}

// refilledBucket returns the bucket of a workspace after it was refilled and given the
// limit l. The caller holds r.mu.
func (r *Rationer) refilledBucket(workspace string, l Limit) *bucket {
	b := r.bucketFor(workspace)
	if b.limit.Rate == 0 {
		b.limit = l
	}
	r.refill(b, r.clock.Now())
	b.limit = l
	if l.Rate > 0 {
		b.level = min(b.level, l.Burst)
	}
	return b
}

// refill adds the tokens that the rate gives since the last refill, less the shares that
// are reserved for silent hosts. The caller holds r.mu.
func (r *Rationer) refill(b *bucket, now timer.Millis) {
	if b.limit.Rate == 0 || now <= b.refilledAt {
		return
	}
	seconds := float64(now-b.refilledAt) / float64(timer.Second)
	b.refilledAt = now
	if !b.limit.Turns && r.silentPeers(now) > 0 {
		r.reserve(b, now, seconds)
	}
	reachable := r.reachableShare(now)
	if b.limit.Turns {
		b.keepShare(reachable, now)
	}
	rate, capacity := b.limit.Rate*reachable, b.limit.capacity(reachable)
	b.level += rate * seconds
	switch {
	case b.level < capacity:
		b.fullSince = 0
	case b.fullSince == 0:
		b.fullSince = now - timer.Millis(math.Round(min((b.level-capacity)/rate, seconds)*float64(timer.Second)))
	}
	b.level = min(b.level, capacity)
}

// reserve reserves the shares of silent hosts for the last seconds. The caller holds r.mu.
func (r *Rationer) reserve(b *bucket, now timer.Millis, seconds float64) {
	share := b.limit.Rate / float64(len(r.peers)+1)
	for _, p := range r.peers {
		if p.silent(now, r.started) {
			b.reserved[p.Name] += share * seconds
		}
	}
}

// reachableShare returns the share of the hosts that are not silent, this one included.
// The caller holds r.mu.
func (r *Rationer) reachableShare(now timer.Millis) float64 {
	return float64(len(r.peers)+1-r.silentPeers(now)) / float64(len(r.peers)+1)
}

// capacity returns how many requests a bucket holds when this share of the hosts is
// reachable.
func (l Limit) capacity(reachable float64) float64 {
	if l.Turns {
		return max(1, l.Burst*reachable)
	}
	return l.Burst * reachable
}

// merge takes from the bucket the tokens for the requests that host admitted since its
// last count, less those reserved while host was silent. The first count of a host only
// sets the baseline.
func (b *bucket) merge(host, incarnation string, count uint64, now timer.Millis) {
	previous, known := b.lastCounts[host]
	b.lastCounts[host] = lastCount{incarnation: incarnation, count: count}
	if !known {
		return
	}
	delta := float64(count)
	if previous.incarnation == incarnation {
		delta -= float64(previous.count)
	}
	b.subtract(host, delta, now)
}

// subtract takes from the bucket the tokens for delta requests of host, less those
// reserved while host was silent, and counts them as used.
func (b *bucket) subtract(host string, delta float64, now timer.Millis) {
	b.addUsed(delta, now)
	covered := min(b.reserved[host], max(delta, 0))
	delete(b.reserved, host)
	b.level -= delta - covered
	if delta > covered {
		b.fullSince = 0
	}
}
