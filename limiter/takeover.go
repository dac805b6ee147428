package limiter

import (
	"math"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Takeover describes the fleet according to the snapshot of the new owner's host.
type Takeover struct {
	// Self is the owner's own incarnation, Members are those of all other
	// members.
	Self    string
	Members []string
	// OwnsFrom is the instant from which no host that left the record can act.
	// Until then only the previous owner has a record of the leases that such
	// hosts hold.
	OwnsFrom timer.Millis
}

// NewOwner returns an owner whose tenure begins at now and that waits for
// reports before it decides.
func NewOwner(scheme Scheme, t Tenure, k Takeover, now timer.Millis) *Owner {
	o := &Owner{
		scheme: scheme, tenure: t, at: now,
		grantedExpireAt: now + onSlowestClock(grantTimeout),
		ownsFrom:        k.OwnsFrom,
		members:         map[string]struct{}{k.Self: {}},
		unreported:      make(map[string]struct{}, len(k.Members)),
		unreportedUntil: now + onSlowestClock(grantTimeout),
		holders:         make(map[string]*holder),
	}
	for _, m := range k.Members {
		o.unreported[m] = struct{}{}
		o.members[m] = struct{}{}
	}
	if scheme.grantsLeases() {
		o.unreportedUntil = now + onSlowestClock(leaseTimeout)
	}
	return o
}

// NewFullOwner returns the owner of a workspace that no host can have owned
// before. It decides at once and starts with a full pool.
func NewFullOwner(scheme Scheme, t Tenure, limit Limit, now timer.Millis) *Owner {
	o := NewOwner(scheme, t, Takeover{}, now)
	o.limit, o.level, o.active = limit, limit.Burst, true
	return o
}

// AddReport adds the report of a member or of the previous owner.
func (o *Owner) AddReport(incarnation string, r Report, now timer.Millis) {
	if o.active {
		return
	}
	if r.Handover != nil && !o.handedOver {
		o.takeHandover(*r.Handover, now)
	}
	if _, ok := o.unreported[incarnation]; !ok {
		return
	}
	delete(o.unreported, incarnation)
	o.lastReportAt = now
	o.reserveEarlierLease(incarnation, r.Rate, r.Depth, r.Remaining, now)
}

// takeHandover adds the tokens of the previous owner's pool and reserves the
// leases of hosts that are not members; members report their own leases.
func (o *Owner) takeHandover(h Handover, now timer.Millis) {
	o.handedOver = true
	o.lastReportAt = now
	o.level += h.PoolTokens
	for _, l := range h.Leases {
		if _, ok := o.members[l.Incarnation]; !ok {
			o.reserveEarlierLease(l.Incarnation, l.Rate, l.Depth, l.Remaining, now)
		}
	}
}

// reserveEarlierLease reserves a lease that a host holds from an earlier owner.
func (o *Owner) reserveEarlierLease(incarnation string, rate, depth float64, remaining, now timer.Millis) {
	if remaining <= 0 {
		return
	}
	h := o.holder(incarnation, now)
	h.confirmed = Lease{Rate: rate, Depth: depth}
	h.expires = now + onSlowestClock(remaining)
	o.reservedRate += rate
	o.reservedDepth += depth
}

// AwaitsReport reports whether the owner still waits for a member's report.
func (o *Owner) AwaitsReport(incarnation string, now timer.Millis) bool {
	_, ok := o.unreported[incarnation]
	return ok && !o.ready(now)
}

// AwaitsHandover reports whether the owner still waits for the previous owner's
// handover.
func (o *Owner) AwaitsHandover(now timer.Millis) bool {
	return !o.ready(now) && !o.handedOver
}

// HandOver ends the tenure and returns the owner's state. It returns nil if it
// was called before, or if the owner had not begun to decide.
func (o *Owner) HandOver(now timer.Millis) *Handover {
	if !o.active {
		return nil
	}
	h := &Handover{PoolTokens: o.level}
	for incarnation, x := range o.holders {
		rate, depth := max(x.confirmed.Rate, x.issued.Rate), max(x.confirmed.Depth, x.issued.Depth)
		if rate > 0 && now < x.expires {
			h.Leases = append(h.Leases, HandedLease{Incarnation: incarnation, Rate: rate, Depth: depth, Remaining: x.expires - now})
		}
	}
	o.level, o.active, o.grantedExpireAt = 0, false, math.MaxInt64
	return h
}

// activate makes the owner decide requests once everything that earlier owners
// granted has been reported or has expired. The pool refills from that instant,
// not from the first request.
func (o *Owner) activate(now timer.Millis) {
	if !o.ready(now) {
		return
	}
	o.active, o.at = true, o.readyAt()
	o.clamp()
}

func (o *Owner) ready(now timer.Millis) bool { return o.active || now >= o.readyAt() }

// readyAt returns when the owner can start to decide if no further report
// arrives.
func (o *Owner) readyAt() timer.Millis {
	at := o.unreportedUntil
	if len(o.unreported) == 0 {
		at = min(at, o.lastReportAt)
	}
	if !o.handedOver {
		at = max(at, o.ownsFrom)
	}
	return max(at, o.grantedExpireAt)
}

// inactiveFor estimates the time until the owner begins to decide. It is at most
// unknownRetry while reports or the handover are outstanding.
func (o *Owner) inactiveFor(now timer.Millis) timer.Millis {
	if len(o.unreported) > 0 {
		return max(1, min(o.unreportedUntil-now, unknownRetry))
	}
	if !o.handedOver && now < o.ownsFrom {
		return max(1, min(o.ownsFrom-now, unknownRetry))
	}
	return max(1, o.grantedExpireAt-now)
}
