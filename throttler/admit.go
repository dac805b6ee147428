package throttler

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Class is the urgency of a request: Online or Batch.
type Class interface{ class() }

// Online is the class of callers' requests. Rank is the number of configured classes that
// are more urgent.
type Online struct{ Rank int }

// Batch is the class of batch items. The caller decides which host sends them.
type Batch struct {
	// Yield is set while online requests need what the limits leave. Items then get only
	// what stays unused.
	Yield bool
}

func (Online) class() {}
func (Batch) class()  {}

const (
	// reservePerRank is the share of the burst that each class leaves to each more urgent one,
	// by the priorities of routes and workspaces, so that their next requests find a token
	// while the less urgent ones use the limit up. maxOnlineReserve is what online requests
	// leave at most.
	reservePerRank   = 0.25
	maxOnlineReserve = 0.75
)

const (
	// idleProbe is the time without a request after which a server with a limit is
	// preferred to others, so that the end of its limit is noticed.
	idleProbe timer.Millis = 1000
)

// Room is what a limit leaves for a request.
type Room struct {
	// Limited is set if the server has a limit or takes no requests for a while, Paused in
	// the latter case, or if it is cold (package warmer). The other fields apply only if
	// Limited is set.
	Limited, Paused, Cold bool
	// Open reports whether the request may be sent now.
	Open bool
	// RetryAfter is the time after which it may be, if it may not now.
	RetryAfter timer.Millis
	// Rate is in requests a second. Age is the time since an answer or another host's
	// report last confirmed or changed it here.
	Rate float64
	Age  timer.Millis
	// Restraint is 1 if the limit is just not used up, and 0 if what it leaves can no
	// longer be saved up.
	Restraint float64
	// Probe is set if the server should get the request so that it can tell whether its
	// limit still applies.
	Probe bool
}

// And returns the room of a request that needs both rooms.
func (r Room) And(o Room) Room {
	switch {
	case !o.Limited:
		return r
	case !r.Limited:
		return o
	}
	return Room{
		Limited: true, Paused: r.Paused || o.Paused, Cold: r.Cold || o.Cold, Open: r.Open && o.Open,
		RetryAfter: max(r.RetryAfter, o.RetryAfter), Rate: min(r.Rate, o.Rate), Age: min(r.Age, o.Age),
		Restraint: max(r.Restraint, o.Restraint), Probe: (r.Probe || o.Probe) && r.Open && o.Open,
	}
}

// Room returns what the limit of a server leaves for a request of a class.
func (t *Throttler) Room(v cataloger.Incarnation, c Class) Room {
	if t.known.Load() == 0 {
		return Room{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[v]
	if !ok {
		return Room{}
	}
	now := t.clock.Now()
	age := now - max(e.heardAt, e.changedAt)
	if left := e.paused(now); left > 0 {
		return Room{Limited: true, Paused: true, RetryAfter: left, Age: age, Restraint: 1}
	}
	if e.word.ended() {
		return Room{}
	}
	d := t.counts.Peek(e.claim(c))
	return Room{
		Limited: true, Open: d.Admitted, RetryAfter: d.RetryAfter, Rate: e.word.rate, Age: age,
		Restraint: restraint(d), Probe: d.Admitted && (e.confirm || d.Idle >= idleProbe),
	}
}

// restraint returns Room.Restraint.
func restraint(d rationer.Decision) float64 {
	if d.Capacity <= 1 {
		return 1
	}
	return min(1, (d.Capacity-d.Level)/(d.Capacity-1))
}

// Take counts a request that is about to be sent to a server. ok is false if the server's
// limit does not allow it. If counted is set and the request is not sent after all, it is
// returned with Refund.
func (t *Throttler) Take(v cataloger.Incarnation, c Class) (counted, ok bool) {
	if t.known.Load() == 0 {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[v]
	switch {
	case !known:
		return false, true
	case e.paused(t.clock.Now()) > 0:
		return false, false
	case e.word.ended():
		return false, true
	}
	if !t.counts.Take(e.claim(c)).Admitted {
		return false, false
	}
	e.confirm = false
	t.reported[e] = struct{}{}
	return true, true
}

// Refund returns a request that was taken and not sent.
func (t *Throttler) Refund(v cataloger.Incarnation) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[v]; ok {
		t.counts.Refund(e.key)
	}
}

// claim returns the claim for a request of a class.
func (e *entry) claim(c Class) rationer.Claim {
	out := rationer.Claim{Key: e.key, Limit: e.limit(), Advance: e.confirm}
	switch c := c.(type) {
	case Online:
		out.Reserve = min(reservePerRank*float64(c.Rank), maxOnlineReserve)
	case Batch:
		out.AnyTurn = true
		if c.Yield {
			out.Reserve = 1
		}
	}
	return out
}

// CountRefusal counts a call that was refused since limits held it back.
func (t *Throttler) CountRefusal() { t.refused.Add(1) }

// Refused returns how many calls were held back.
func (t *Throttler) Refused() uint64 { return t.refused.Load() }
