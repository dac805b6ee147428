package apportioner

import (
	"math"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Averages of demand.
const (
	// demandCount is the number of requests over which the demand of a workspace is averaged. The
	// time constant follows from its rate, since one short enough for a large workspace would show
	// a small one below its share most of the time, whatever it asks for. A larger count delays
	// the refusals at the start of a burst.
	demandCount = 4
	// minPeriod and maxPeriod bound that time constant.
	minPeriod = timer.Second / 2
	maxPeriod = 8 * timer.Second
	// refusalPeriod is the time constant of the average of refused requests.
	refusalPeriod = timer.Second
	// rankPeriod is the time constant of the weights of a workspace's classes of calls.
	rankPeriod = 30 * timer.Second
	// refusedRank is the weight of a refused call among these classes, where an admitted one has
	// 1: it shows the class, but is not demand that is served.
	refusedRank = 0.05
	// minRank is the weight, in admitted calls, below which a class is dropped.
	minRank = 0.001
)

// Division of a share among hosts, and its token buckets.
const (
	// equalPart is the fraction of a share that is divided equally among the hosts. The rest
	// follows the requests that each has admitted; without the equal fraction, a host with few
	// admitted requests would keep having few.
	equalPart = 0.2
	// minDepth is the smallest depth of a bucket, in requests. With one, two requests that
	// arrive together would count as more than a share.
	minDepth = 2
	// depthRuns is the depth of a bucket, as a fraction of its share during one run. All buckets
	// may be full when a shortage begins, so the depth adds to the queue at its start.
	depthRuns = 0.25
	// ownPart is the fraction of its own part of the capacity that a workspace always has,
	// however long calls wait. It is below one so that a queue gets shorter even if all
	// workspaces ask for more than they have.
	ownPart = 0.75
	// minRate is the least rate, in requests a second, from which retry times are computed. It
	// bounds those of classes to which more urgent ones leave nothing.
	minRate = 0.1
	// idleTimeout is the time after which unused buckets are dropped.
	idleTimeout = 60 * timer.Second
)

// Use is what is known of the requests of one workspace.
type Use struct {
	// Weight is the configured rate in requests a second, or zero if there is none.
	Weight float64
	// First and Last are the ranks of the most and the least urgent calls that it may make. The
	// rank of a class is the number of more urgent classes.
	First, Last int
	// Own and Fleet count the requests that this host and all hosts have admitted since this
	// host started, as far as known.
	Own, Fleet float64
}

// Hearing counts the hosts whose digests this host receives.
type Hearing struct {
	// Heard is the number of hosts that are not silent, Hosts that of all hosts; both include
	// this one.
	Heard, Hosts int
}

// share returns the fraction of the hosts that is heard.
func (h Hearing) share() float64 { return float64(h.Heard) / float64(h.Hosts) }

// Call describes a call that would have to wait for a slot.
type Call struct {
	// Service is the service that is called. Workspace is empty for calls without one, which
	// count as calls of one workspace.
	Service, Workspace string
	// Rank is the number of classes of calls that are more urgent.
	Rank int
	// Slots is how many calls of the service run at once on all servers, Run how long one
	// runs, and Wait for how long this call would wait. The capacity is unknown if Slots or
	// Run is zero.
	Slots     int
	Run, Wait timer.Millis
}

// capacity returns how many calls a second the servers can run if each has to wait for this
// long.
func (c Call) capacity(wait timer.Millis) float64 {
	return float64(c.Slots) * float64(timer.Second) / float64(c.Run+wait)
}

// Decision reports whether a call may be sent, with the inputs that decided it.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until this host has room for a refused call.
	RetryAfter timer.Millis
	// Capacity is the part of the servers' capacity that falls to the hosts that are heard, Share
	// what the workspace may have of it in its class, and Demand what the workspace asks for; all
	// in requests a second.
	Capacity, Share, Demand float64
	// Rate is the rate at which this host admits calls of a workspace that asks for more than
	// its share, in requests a second.
	Rate float64
	// Weight is the workspace's weight in requests a second, Part the fraction of its share that
	// this host gives out, and Level the level of its bucket at this host in requests.
	Weight, Part, Level float64
	Hearing
}

// demand holds the averages of the requests of one workspace.
type demand struct {
	last Use
	// own and fleet are the requests that this host and all hosts admit, in requests a second.
	own, fleet float64
	weight     float64
	// ranks holds the weights, in admitted calls, of the classes whose calls lately found no
	// free slot, by rank.
	ranks map[int]float64
}

// key identifies a bucket.
type key struct {
	service, workspace string
	rank               int
}

func (c Call) key() key {
	return key{service: c.Service, workspace: c.Workspace, rank: c.Rank}
}

// bucket is the token bucket of one workspace and class at this host.
type bucket struct {
	level float64
	at    timer.Millis
	// refused is the average of refused requests a second.
	refused float64
}

// Apportioner decides which calls are over the share of their workspace. It is safe for
// concurrent use.
type Apportioner struct {
	clock timer.Clock

	mu        sync.Mutex
	updatedAt timer.Millis
	hearing   Hearing
	demands   map[string]*demand
	// claims caches the claims by service; each Update empties it.
	claims map[string]Claims
	// usual is the weight of workspaces without a configured rate.
	usual   float64
	buckets map[key]*bucket
	refused uint64
}

// New returns an Apportioner that refuses nothing until demands are known.
func New(c timer.Clock) *Apportioner {
	return &Apportioner{clock: c, demands: make(map[string]*demand), buckets: make(map[key]*bucket)}
}

// Refused returns the number of calls that were refused.
func (a *Apportioner) Refused() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// Update sets the requests of all workspaces and the hosts that are heard. It is to be called
// several times a second; decisions follow demands with a delay of that interval.
func (a *Apportioner) Update(uses map[string]Use, h Hearing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	elapsed := now - a.updatedAt
	first := a.updatedAt == 0
	// The averages include requests of hosts that have become silent since.
	lost := 1.0
	if !first && h.Heard < a.hearing.Heard {
		lost = float64(h.Heard) / float64(a.hearing.Heard)
	}
	a.updatedAt, a.hearing = now, h
	a.usual = usualWeight(uses)
	for w := range a.demands {
		if _, ok := uses[w]; !ok {
			delete(a.demands, w)
		}
	}
	for w, u := range uses {
		d, ok := a.demands[w]
		if !ok {
			d = &demand{ranks: make(map[int]float64)}
			if first {
				d.last = u
			}
			a.demands[w] = d
		}
		d.fleet = max(d.own, lost*d.fleet)
		d.update(u, elapsed)
		if d.weight = u.Weight; d.weight <= 0 {
			d.weight = a.usual
		}
	}
	a.claims = make(map[string]Claims)
	for k, b := range a.buckets {
		if now-b.at > idleTimeout {
			delete(a.buckets, k)
		}
	}
}

// usualWeight returns the mean of the configured rates, or one.
func usualWeight(uses map[string]Use) float64 {
	sum, n := 0.0, 0.0
	for _, u := range uses {
		if u.Weight > 0 {
			sum, n = sum+u.Weight, n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// decay returns what remains of an average with a time constant after a time.
func decay(elapsed, period timer.Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(period))
}

// period returns the time constant of the averages.
func (d *demand) period() timer.Millis {
	if d.fleet <= 0 {
		return maxPeriod
	}
	return timer.Millis(min(max(demandCount/d.fleet*float64(timer.Second), float64(minPeriod)), float64(maxPeriod)))
}

// update adds the requests since the last update to the averages. Their number is negative if
// more of those before were refunded.
func (d *demand) update(u Use, elapsed timer.Millis) {
	if elapsed > 0 {
		keep, seconds := decay(elapsed, d.period()), float64(elapsed)/float64(timer.Second)
		d.own = max(0, keep*d.own+(1-keep)*(u.Own-d.last.Own)/seconds)
		d.fleet = max(0, keep*d.fleet+(1-keep)*(u.Fleet-d.last.Fleet)/seconds)
		for rank := range d.ranks {
			if d.ranks[rank] *= decay(elapsed, rankPeriod); d.ranks[rank] < minRank {
				delete(d.ranks, rank)
			}
		}
	}
	d.last = u
}

// claimsOf returns the claims of all workspaces to a service. Hosts count the requests that
// were admitted and not refused later, so the refusals of all hosts are estimated from those
// of this one. Without them, each workspace would take the difference between the capacity
// and what is served at the moment for its own.
func (a *Apportioner) claimsOf(service string) Claims {
	if c, ok := a.claims[service]; ok {
		return c
	}
	list := make([]Claim, 0, len(a.demands))
	for w, d := range a.demands {
		if len(d.ranks) == 0 {
			list = append(list, Claim{Workspace: w, First: d.last.First, Last: d.last.Last, Weight: d.weight, Demand: d.fleet})
		}
		for rank := range d.ranks {
			k := key{service: service, workspace: w, rank: rank}
			list = append(list, Claim{Workspace: w, First: rank, Last: rank, Weight: d.weight, Demand: a.demandOf(k, d)})
		}
	}
	c := NewClaims(list)
	a.claims[service] = c
	return c
}

// demandOf returns what a workspace asks for in a class, refused requests included, in requests
// a second.
func (a *Apportioner) demandOf(k key, d *demand) float64 {
	asked := d.in(k.rank)
	if b, ok := a.buckets[k]; ok {
		asked += b.refused * decay(a.clock.Now()-b.at, refusalPeriod) / a.part(d)
	}
	return asked
}

// part returns the fraction of a workspace's share that this host gives out.
func (a *Apportioner) part(d *demand) float64 {
	equal := 1 / float64(a.hearing.Heard)
	if d.fleet <= 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*min(1, d.own/d.fleet)
}

// in returns the demand at all hosts in a class, in requests a second.
func (d *demand) in(rank int) float64 {
	sum := 0.0
	for _, n := range d.ranks {
		sum += n
	}
	if sum == 0 {
		return d.fleet
	}
	return d.fleet * d.ranks[rank] / sum
}

// Ask decides whether a call may be sent although it has to wait for a slot. A call that is
// admitted counts towards the share of its workspace.
func (a *Apportioner) Ask(c Call) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Slots <= 0 || c.Run <= 0 || a.updatedAt == 0 || a.hearing.Hosts == 0 {
		return Decision{Admitted: true, Hearing: a.hearing}
	}
	d, ok := a.demands[c.Workspace]
	if !ok {
		d = &demand{weight: a.usual, ranks: make(map[int]float64)}
		a.demands[c.Workspace] = d
	}
	out := a.shareOf(c, d)
	b := a.bucketFor(c, out)
	out.Level = b.level
	switch {
	case out.Demand <= out.Share, a.claimsOf(c.Service).alone(c.Workspace):
	case b.level >= 1:
		b.level--
	default:
		out.RetryAfter = timer.Millis((1 - b.level) / max(minRate, out.Rate) * float64(timer.Second))
		b.refused += float64(timer.Second) / float64(refusalPeriod)
		d.ranks[c.Rank] += refusedRank
		a.refused++
		out.Rate = max(minRate, out.Rate)
		return out
	}
	d.ranks[c.Rank]++
	out.Admitted = true
	return out
}

// shareOf returns a Decision with the share of a call's workspace, and the rate at which this
// host gives it out. The longer calls wait, the less is lent to a workspace that asks for more
// than its share: otherwise a queue that arose before its demand was known would stay. It
// always has ownPart of its own part of the capacity.
func (a *Apportioner) shareOf(c Call, d *demand) Decision {
	claims := a.claimsOf(c.Service)
	out := Decision{Hearing: a.hearing, Weight: d.weight, Demand: a.demandOf(c.key(), d), Part: a.part(d)}
	out.Capacity = c.capacity(0) * a.hearing.share()
	out.Share = claims.Share(out.Capacity, c.Workspace, c.Rank, d.weight)
	own := claims.Own(out.Capacity, c.Workspace, c.Rank, d.weight)
	lent := claims.Share(c.capacity(c.Wait)*a.hearing.share(), c.Workspace, c.Rank, d.weight)
	out.Rate = out.Part * max(ownPart*own, lent)
	return out
}

// bucketFor returns the bucket of a call, refilled at the rate of d.
func (a *Apportioner) bucketFor(c Call, d Decision) *bucket {
	now := a.clock.Now()
	depth := max(minDepth, d.Rate*depthRuns*float64(c.Run)/float64(timer.Second))
	b, ok := a.buckets[c.key()]
	if !ok {
		// The buckets of all hosts together begin with minDepth requests.
		b = &bucket{level: min(1, minDepth*d.Part), at: now}
		a.buckets[c.key()] = b
	}
	elapsed := max(0, now-b.at)
	b.level = min(depth, b.level+d.Rate*float64(elapsed)/float64(timer.Second))
	b.refused *= decay(elapsed, refusalPeriod)
	b.at = now
	return b
}
