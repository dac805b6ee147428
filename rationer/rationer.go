// Package rationer holds each workspace to its rate and burst over all hosts
// together, without a host that decides for others.
//
// Every host keeps the whole bucket of each workspace. It takes from it what it
// admits itself and, as digests arrive, what other hosts admitted. A bucket may
// so fall below zero by what was admitted while digests were on their way; the
// debt is refilled before anything more is admitted, so over any longer span the
// rate holds and the excess is one digest's delay of arrivals.
//
// A host that is not heard is taken to spend its equal part of the rate, and the
// bucket holds at most the parts of the hosts that are heard. A host that hears
// nobody so keeps to its own part; the parts of both sides of a cut add up to
// the whole.
//
// A host that has just started does not know what was spent before it: its
// buckets are empty when it starts, and are refilled from then on, used or not.
// So what a host's bucket holds is a lower bound, and the host may take over the
// levels of any other that lived on (Levels, Inherit).
package rationer

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Limit is a workspace's quota over all hosts. A Rate of zero means none.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Peer is another host that admits requests, as it is heard now.
type Peer struct {
	Name string
	// Heard is when its last digest arrived; zero for never.
	Heard timer.Millis
}

// silent says that the peer is not heard, on a host that started at started.
func (p Peer) silent(now, started timer.Millis) bool {
	if p.Heard == 0 {
		return now-started > startGrace
	}
	return now-p.Heard > silentAfter
}

const (
	// silentAfter is how long a host may be unheard before its part is kept for it.
	silentAfter timer.Millis = 800
	// startGrace is the same for a host that was not heard since this one started.
	startGrace timer.Millis = 300
)

// leastRetry is the least time after which a refused caller is told to return.
const leastRetry timer.Millis = 50

// Rationer is safe for concurrent use.
type Rationer struct {
	clock   timer.Clock
	started timer.Millis

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   []Peer
}

// bucket is one workspace's.
type bucket struct {
	limit Limit
	level float64
	at    timer.Millis
	// spent counts what this host admitted since it started.
	spent uint64
	// seen is the count last heard of each incarnation of each other host;
	// kept is what was taken for a host while it was not heard.
	seen map[string]seen
	kept map[string]float64
}

type seen struct {
	incarnation string
	count       uint64
}

// New returns a Rationer that refills by clock.
func New(clock timer.Clock) *Rationer {
	return &Rationer{clock: clock, started: clock.Now(), buckets: make(map[string]*bucket)}
}

// SetPeers says which other hosts admit requests and when each was last heard.
func (r *Rationer) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, b := range r.buckets {
		r.refill(b, now)
	}
	r.peers = peers
}

// Decision says whether a request was admitted, and what decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused request may be admitted.
	RetryAfter timer.Millis
	// Level is what the bucket held before, in requests.
	Level float64
	// Silent of Hosts hosts that admit requests were not heard.
	Silent, Hosts int
}

// Admit takes one request from the workspace's bucket, if there is one.
func (r *Rationer) Admit(workspace string, l Limit) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(workspace, l)
	d := Decision{Admitted: true, Level: b.level, Silent: r.silent(r.clock.Now()), Hosts: len(r.peers) + 1}
	if l.Rate > 0 && b.level < 1 {
		d.Admitted = false
		d.RetryAfter = max(leastRetry, timer.Millis((1-b.level)/l.Rate*float64(timer.Second)))
		return d
	}
	b.level--
	b.spent++
	return d
}

// silent is how many of the peers are not heard.
func (r *Rationer) silent(now timer.Millis) int {
	n := 0
	for _, p := range r.peers {
		if p.silent(now, r.started) {
			n++
		}
	}
	return n
}

// Refund gives back a request that was admitted and then not run.
func (r *Rationer) Refund(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.buckets[workspace]; ok && b.spent > 0 {
		b.level++
		b.spent--
	}
}

// Spent returns how many requests this host admitted since it started.
func (r *Rationer) Spent() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint64, len(r.buckets))
	for name, b := range r.buckets {
		out[name] = b.spent
	}
	return out
}

// Hear takes another host's Spent into account.
func (r *Rationer) Hear(host, incarnation string, spent map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for workspace, count := range spent {
		r.bucketOf(workspace).hear(host, incarnation, count)
	}
}

func (r *Rationer) bucketOf(workspace string) *bucket {
	b, ok := r.buckets[workspace]
	if !ok {
		b = &bucket{at: r.started, seen: make(map[string]seen), kept: make(map[string]float64)}
		r.buckets[workspace] = b
	}
	return b
}

func (r *Rationer) bucket(workspace string, l Limit) *bucket {
	b := r.bucketOf(workspace)
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

// refill adds what the rate gave since the last time, less what is kept for
// hosts that are not heard.
func (r *Rationer) refill(b *bucket, now timer.Millis) {
	if b.limit.Rate == 0 || now <= b.at {
		return
	}
	seconds := float64(now-b.at) / float64(timer.Second)
	b.at = now
	part := b.limit.Rate / float64(len(r.peers)+1)
	for _, p := range r.peers {
		if p.silent(now, r.started) {
			b.kept[p.Name] += part * seconds
		}
	}
	heard := float64(len(r.peers)+1-r.silent(now)) / float64(len(r.peers)+1)
	b.level = min(b.limit.Burst*heard, b.level+b.limit.Rate*heard*seconds)
}

func (b *bucket) hear(host, incarnation string, count uint64) {
	before, known := b.seen[host]
	b.seen[host] = seen{incarnation: incarnation, count: count}
	if !known {
		return
	}
	more := float64(count)
	if before.incarnation == incarnation {
		more -= float64(before.count)
	}
	paid := min(b.kept[host], max(more, 0))
	delete(b.kept, host)
	b.level -= more - paid
}
