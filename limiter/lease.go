package limiter

import (
	"math"

	"github.com/jackdawgate/jackdawgate/timer"
)

// RemoveHost records that a host can no longer act, and releases its lease.
func (o *Owner) RemoveHost(incarnation string, now timer.Millis) {
	if _, ok := o.unreported[incarnation]; ok {
		delete(o.unreported, incarnation)
		o.lastReportAt = now
	}
	if h, ok := o.holders[incarnation]; ok {
		o.reserve(h, Lease{}, Lease{Seq: h.issued.Seq})
		o.demand -= h.demand
		h.demand, h.steady = 0, 0
	}
}

// Holders returns the incarnations that hold a lease.
func (o *Owner) Holders() []string {
	var out []string
	for incarnation, h := range o.holders {
		if h.confirmed.Rate > 0 || h.issued.Rate > 0 {
			out = append(out, incarnation)
		}
	}
	return out
}

// confirm updates which lease the holder has in force, as stated in its grant
// request.
func (o *Owner) confirm(h *holder, a GrantRequest) {
	switch {
	case a.ReturnsLease && a.Seq > h.issuedFor:
		o.reserve(h, Lease{}, Lease{Seq: h.issued.Seq})
	case a.Tenure == o.tenure && a.LeaseSeq == h.issued.Seq && a.LeaseSeq > 0:
		o.reserve(h, h.issued, h.issued)
	}
}

// reserve sets a holder's leases and updates reservedRate and reservedDepth.
func (o *Owner) reserve(h *holder, confirmed, issued Lease) {
	o.reservedRate -= max(h.confirmed.Rate, h.issued.Rate)
	o.reservedDepth -= max(h.confirmed.Depth, h.issued.Depth)
	h.confirmed, h.issued = confirmed, issued
	o.reservedRate += max(h.confirmed.Rate, h.issued.Rate)
	o.reservedDepth += max(h.confirmed.Depth, h.issued.Depth)
}

// leaseFor returns the lease to include in the response to a, or a zero Lease.
// The lease keeps its size until the holder has confirmed the one issued last.
func (o *Owner) leaseFor(h *holder, a GrantRequest, now timer.Millis) Lease {
	if !o.scheme.grantsLeases() || a.ReturnsLease {
		return Lease{}
	}
	if h.confirmed == h.issued || h.issued.Rate == 0 {
		o.resize(h, a.Seq)
	}
	if h.issued.Rate == 0 && h.confirmed.Rate == 0 {
		return Lease{}
	}
	h.expires = now + onSlowestClock(leaseTimeout)
	return h.issued
}

// resize issues a lease of a different size if the target size differs from the
// issued one by more than resizeStep.
func (o *Owner) resize(h *holder, seq uint64) {
	rate, depth := o.target(h)
	if nearlyEqual(rate, h.issued.Rate) && nearlyEqual(depth, h.issued.Depth) {
		return
	}
	l := Lease{Seq: h.issued.Seq + 1, Rate: rate, Depth: depth, BaseLimit: o.limit}
	l.InitialTokens = o.tokensFor(max(0, depth-max(h.confirmed.Depth, h.issued.Depth)))
	o.level -= l.InitialTokens
	o.reserve(h, h.confirmed, l)
	h.issuedFor = seq
	o.clamp()
}

// tokensFor returns how many tokens move from the pool into a lease whose depth
// grows by more: those that no longer fit into the pool, or as many as possible
// if the scheme does not grant single tokens from the pool.
func (o *Owner) tokensFor(more float64) float64 {
	over := o.level - (o.capacity() - more)
	if !o.scheme.grantsTokens() {
		over = o.level
	}
	return min(more, o.level, max(0, over))
}

// nearlyEqual reports whether two sizes differ by at most resizeStep.
func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= resizeStep*max(a, b) }

// target returns the size of the lease that a holder should have: in proportion
// to its demand, and at most what the leases that other holders may have in
// force leave.
func (o *Owner) target(h *holder) (rate, depth float64) {
	rateShare, depthShare := o.scheme.leaseShare()
	rates, depths := o.limit.Rate*rateShare, o.limit.Burst*depthShare
	total := o.demand + o.localDemand.mean(o.at)
	steady := h.steady
	if o.scheme == LeaseOnly {
		steady = h.demand
	}
	if total <= 0 || steady < minLeaseDemand {
		return 0, 0
	}
	part := h.demand / total
	held := Lease{Rate: max(h.confirmed.Rate, h.issued.Rate), Depth: max(h.confirmed.Depth, h.issued.Depth)}
	rate = min(leaseFactor*steady, rates*part)
	depth = max(minLeaseDepth, depths*part)
	if o.scheme == Chosen {
		depth = min(depth, minLeaseDepth+rate*float64(leaseDepthTime)/float64(timer.Second))
	}
	rate = min(rate, rates-(o.reservedRate-held.Rate))
	depth = min(depth, depths-(o.reservedDepth-held.Depth), o.capacity()+held.Depth)
	if rate <= 0 || depth < minLeaseDepth {
		return 0, 0
	}
	return rate, depth
}
