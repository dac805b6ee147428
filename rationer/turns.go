package rationer

import (
	"maps"
	"math"
	"strconv"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// maxTurn is how long a group of hosts is next in turn before the group behind it
	// may take the token too. It is longer than a digest usually takes.
	maxTurn timer.Millis = 300
	// turnPeriod determines how many hosts have the same turn: as many as there are
	// tokens in that time.
	turnPeriod = 0.5
	// turnsAtOnce is how many groups of hosts may take a token at the same time. A group
	// that leaves the token untouched for longer waits until its turn comes again.
	turnsAtOnce = 3
	// reportWindow is how long a host reports that it took a token.
	reportWindow timer.Millis = 1000
	// maxReturned is by how much a count may fall because tokens were returned. One that
	// falls further has begun anew.
	maxReturned = 2
	// maxCounts is the number of hosts whose counts are kept for longer than reportWindow.
	// A host that took nothing within that time counts as unknown without harm.
	maxCounts = 64
	// levelPeriod is the time in which the level of a bucket approaches those of the other
	// hosts, levelTolerance the difference that remains. maxLevel bounds what hosts report.
	levelPeriod    timer.Millis = 1000
	levelTolerance float64      = 0.25
	maxLevel       float64      = 1e6
)

// Order is the place of this host among the hosts that take turns, counted from 0, and the
// number of those hosts. Hosts that hear one another agree on it.
type Order struct{ Index, Hosts int }

// NewOrder returns the place of a host among all that take turns. Neighbours in the order
// have unrelated names, since hosts with similar names often have callers at the same
// times.
func NewOrder(self string, all []string) Order {
	o := Order{Hosts: len(all)}
	mine := assigner.Score("turns", self)
	for _, name := range all {
		if s := assigner.Score("turns", name); s < mine || (s == mine && name < self) {
			o.Index++
		}
	}
	return o
}

// turnState is the part of a bucket that only limits with turns need.
type turnState struct {
	// turn counts the tokens that all hosts took, as far as known. It determines which
	// hosts are next.
	turn uint64
	// lastTaken is when a token was last taken, as far as known.
	lastTaken timer.Millis
	// taken are the times within reportWindow at which this host took a token.
	taken []timer.Millis
	// reachable is the share of the hosts that was reachable at the last refill.
	reachable float64
}

// returnTaken takes back the count of the token that this host took last.
func (b *bucket) returnTaken() {
	last := len(b.taken) - 1
	if last < 0 {
		return
	}
	if slot := b.taken[last] / usageSlot; slot > b.slot-usageSlots {
		b.used[slot%usageSlots]--
	}
	b.taken = b.taken[:last]
}

// keepShare adapts the level to the share of the hosts that is reachable now. Hosts that are
// cut off from one another all have the same tokens, and go on to use the whole rate until
// they notice. So the tokens are divided, and what the hosts on this side took beyond their
// share until they noticed is paid back.
func (b *bucket) keepShare(reachable float64, now timer.Millis) {
	if reachable < b.reachable {
		if b.level > 0 {
			b.level *= reachable / b.reachable
		}
		whole := b.limit.Rate * float64(silentTimeout) / float64(timer.Second)
		used := b.usedLately(now)
		b.level -= max(0, used-whole*reachable) - max(0, used-whole*b.reachable)
	}
	b.reachable = reachable
}

// Claim describes a request for a token of a limit with turns.
type Claim struct {
	Key   string
	Limit Limit
	// Reserve is the share of the burst, from 0 to 1, that must be left for requests that
	// are more urgent.
	Reserve float64
	// AnyTurn is set if other means decide which host takes the token.
	AnyTurn bool
	// Advance takes one token before it is there, in any turn. The bucket is in debt for
	// as long.
	Advance bool
}

// Usage is what a host reports of the tokens that it took.
type Usage struct {
	// Taken is their number since the host knows the limit, Recent the number within
	// reportWindow.
	Taken  uint64
	Recent uint32
	// Turn is the highest turn that the host knows, Level the level of its bucket.
	Turn  uint64
	Level float64
}

// SetOrder sets the place of this host among those that take turns.
func (r *Rationer) SetOrder(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = o
}

// Order returns the place of this host among those that take turns.
func (r *Rationer) Order() Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order
}

// Peek returns the decision on a claim without taking the token.
func (r *Rationer) Peek(c Claim) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decide(r.claimed(c), c)
}

// Take takes one token if the claim is granted.
func (r *Rationer) Take(c Claim) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.claimed(c)
	d := r.decide(b, c)
	if !d.Admitted {
		return d
	}
	now := r.clock.Now()
	b.level--
	b.admitted++
	b.turn++
	b.addUsed(1, now)
	b.fullSince, b.lastTaken = 0, now
	b.taken = append(b.taken, now)
	return d
}

// claimed returns the refilled bucket of a claim. A new one is empty. The caller holds r.mu.
func (r *Rationer) claimed(c Claim) *bucket {
	if _, ok := r.buckets[c.Key]; !ok {
		now := r.clock.Now()
		b := r.bucketFor(c.Key)
		b.refilledAt, b.lastTaken = now, now
		b.reachable = r.reachableShare(now)
	}
	return r.refilledBucket(c.Key, c.Limit)
}

// decide returns the decision on a claim at a refilled bucket. The caller holds r.mu.
func (r *Rationer) decide(b *bucket, c Claim) Decision {
	now := r.clock.Now()
	reachable := r.reachableShare(now)
	rate, capacity := b.limit.Rate*reachable, b.limit.capacity(reachable)
	d := Decision{Level: b.level, Capacity: capacity, Idle: now - b.lastTaken, Silent: r.silentPeers(now), Hosts: len(r.peers) + 1}
	need := 1 + (capacity-1)*c.Reserve
	if c.Advance {
		need = 0
	}
	available := millisFor(max(0, b.level-need), rate)
	if b.fullSince != 0 {
		available += now - b.fullSince
	}
	if b.level < need {
		d.RetryAfter = max(minRetry, millisFor(need-b.level, rate))
	}
	if !c.AnyTurn && !c.Advance {
		d.RetryAfter += r.order.wait(c.Key, b.turn, available, turnLength(rate, capacity), groupSize(rate))
	}
	d.Admitted = d.RetryAfter == 0
	return d
}

// millisFor returns the time in which a rate gives this many tokens.
func millisFor(tokens, rate float64) timer.Millis {
	return timer.Millis(math.Ceil(tokens / rate * float64(timer.Second)))
}

// groupSize returns how many hosts have the same turn at a rate.
func groupSize(rate float64) int { return max(1, int(math.Ceil(rate*turnPeriod))) }

// turnLength returns how long a turn lasts. A bucket that fills fast would be full, and
// waste tokens, before a few groups have had a turn of maxTurn.
func turnLength(rate, capacity float64) timer.Millis {
	if capacity <= 1 {
		return maxTurn
	}
	return max(1, min(maxTurn, millisFor((capacity-1)/2, rate)))
}

// wait returns the time until this host's turn for a token that has been available for the
// given time; 0 if it is this host's turn. The hosts are counted from one that depends on
// the key and the turn, so each host has the first turn equally often.
func (o Order) wait(key string, turn uint64, available, length timer.Millis, size int) timer.Millis {
	if o.Hosts <= 1 {
		return 0
	}
	size = min(size, o.Hosts)
	groups := max(turnsAtOnce, (o.Hosts+size-1)/size)
	first := int(assigner.Score(key, strconv.FormatUint(turn, 10)) % uint64(o.Hosts))
	rank := ((o.Index - first + o.Hosts) % o.Hosts) / size
	begun := int(available / length)
	behind := (begun - rank) % groups
	if behind < 0 {
		behind += groups
	}
	if behind < min(turnsAtOnce, begun+1) {
		return 0
	}
	return max(minRetry, timer.Millis(groups-behind)*length)
}

// Forget drops the bucket of a limit that no longer applies.
func (r *Rationer) Forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.buckets, key)
}

// Usage returns what this host reports of a limit, and false if it took no token within
// reportWindow.
func (r *Rationer) Usage(key string) (Usage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.buckets[key]
	if !ok {
		return Usage{}, false
	}
	now := r.clock.Now()
	r.refill(b, now)
	for len(b.taken) > 0 && now-b.taken[0] > reportWindow {
		b.taken = b.taken[1:]
	}
	return Usage{Taken: b.admitted, Recent: uint32(len(b.taken)), Turn: b.turn, Level: b.level}, len(b.taken) > 0
}

// MergeUsage applies the Usage that another host reported of a limit. Reports of limits
// that this host does not know are ignored.
func (r *Rationer) MergeUsage(host, incarnation, key string, u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.buckets[key]
	if !ok {
		return
	}
	now := r.clock.Now()
	r.refill(b, now)
	b.turn = max(b.turn, u.Turn)
	previous, known := b.lastCounts[host]
	if !known && len(b.lastCounts) >= maxCounts {
		maps.DeleteFunc(b.lastCounts, func(_ string, c lastCount) bool { return now-c.at > reportWindow })
	}
	b.lastCounts[host] = lastCount{incarnation: incarnation, count: u.Taken, at: now}
	delta := float64(u.Taken)
	switch {
	case !known || now-previous.at > silentTimeout:
		// While a host is silent, its share is not added to the bucket.
		delta = min(delta, float64(u.Recent))
	case previous.incarnation == incarnation && u.Taken+maxReturned >= previous.count:
		delta -= float64(previous.count)
	case previous.incarnation == incarnation:
		// The count has begun anew.
		delta = min(delta, float64(u.Recent))
	}
	if delta > 0 {
		b.lastTaken = now
	}
	b.subtract(host, delta, now)
	b.approach(u.Level, float64(min(now-previous.at, levelPeriod))/float64(levelPeriod)/float64(max(1, len(r.peers))))
}

// approach moves the level by a share of its distance towards that of another host. All
// hosts do, so their levels meet: otherwise one that started later, or missed a report,
// would have a lower level than others for as long as the limit is used up, and find no
// token when they do. What all of them have together stays the same.
func (b *bucket) approach(level, share float64) {
	if distance := level - b.level; math.Abs(distance) > levelTolerance && math.Abs(level) <= maxLevel {
		b.level += share * distance
		b.fullSince = 0
	}
}
