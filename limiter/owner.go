package limiter

import "github.com/jackdawgate/jackdawgate/timer"

// Owner holds a workspace's single token bucket, the pool, and accounts for all
// leases and granted tokens. It is not safe for concurrent use. Its host starts a
// tenure only when coordinator.Snapshot.Owns reports true, and calls the Owner to
// decide only while coordinator.Snapshot.Permitted does.
type Owner struct {
	scheme Scheme
	tenure Tenure
	limit  Limit
	// level is the number of tokens in the pool as of at.
	level float64
	at    timer.Millis
	// grantedExpireAt is when the tokens granted by earlier owners have expired.
	// active is set once the owner decides requests.
	grantedExpireAt timer.Millis
	active          bool
	// unreported are the incarnations that have not reported yet;
	// unreportedUntil is when their leases must have expired.
	unreported      map[string]struct{}
	unreportedUntil timer.Millis
	// members are this host and all other members; from ownsFrom on no other
	// host can act.
	members    map[string]struct{}
	ownsFrom   timer.Millis
	handedOver bool
	// lastReportAt is when a member last reported or was removed, or when the
	// handover arrived, whichever was last.
	lastReportAt timer.Millis
	holders      map[string]*holder
	// reservedRate and reservedDepth are the sums over the leases that holders
	// may have in force; outstanding is the number of granted tokens that may
	// still be spent.
	reservedRate, reservedDepth, outstanding float64
	// unexpired lists the granted tokens of all responses that may be repeated, in
	// order of expiry.
	unexpired []grantedTokens
	// demand is the sum of the holders' demand; localDemand is this host's own.
	demand      float64
	localDemand demand
	nextSweep   timer.Millis
	retrySpacer retrySpacer
}

// holder is the owner's state for one host. confirmed is the lease that the
// host last confirmed, issued the last one sent to it, in the response to the
// grant request with Seq issuedFor.
type holder struct {
	confirmed, issued Lease
	issuedFor         uint64
	expires           timer.Millis
	responses         map[uint64]*keptResponse
	// highestRemoved is the highest Seq whose response is no longer kept.
	highestRemoved uint64
	settled        uint64
	demand         float64
	steady         float64
	lastContactAt  timer.Millis
}

// keptResponse is a response that is kept in case its grant request is repeated.
type keptResponse struct {
	response GrantResponse
	// unsettled is the number of tokens in the response that may still be spent.
	unsettled int
}

// grantedTokens identifies the tokens of one response and states when they expire.
type grantedTokens struct {
	holder  *holder
	seq     uint64
	expires timer.Millis
}

// Tenure returns the epoch in which the owner began.
func (o *Owner) Tenure() Tenure { return o.tenure }

// AdmitLocal decides one request of the owner's own host.
func (o *Owner) AdmitLocal(limit Limit, now timer.Millis) Decision {
	o.localDemand.add(now)
	o.advance(limit, now)
	if !o.active {
		return Unknown{Reason: OwnerChanging, RetryAfter: o.inactiveFor(now)}
	}
	if o.level >= 1 {
		o.level--
		return Admitted{}
	}
	return Refused{RetryAfter: o.retrySpacer.next(o.emptyFor(), o.tokenInterval(), now)}
}

// HandleRequest returns the response to a grant request of another host. A
// repeated grant request receives the same response and is charged once. Only a
// member receives a lease.
func (o *Owner) HandleRequest(incarnation string, member bool, a GrantRequest, limit Limit, now timer.Millis) GrantResponse {
	o.advance(limit, now)
	h := o.holder(incarnation, now)
	if old, ok := h.responses[a.Seq]; ok {
		return old.response
	}
	if a.Seq <= h.highestRemoved {
		return GrantResponse{Seq: a.Seq, Tenure: o.tenure}
	}
	o.settle(h, a.SettledSeq)
	o.confirm(h, a)
	o.demand += a.Demand - h.demand
	h.demand, h.steady = a.Demand, a.SteadyDemand

	answer := GrantResponse{Seq: a.Seq, Tenure: o.tenure}
	if !o.active {
		answer.InactiveFor = o.inactiveFor(now)
	}
	o.grantTokens(&answer, a.Want, now)
	if member && o.active {
		answer.Lease = o.leaseFor(h, a, now)
	}
	o.keepResponse(h, answer, now)
	return answer
}

func (o *Owner) holder(incarnation string, now timer.Millis) *holder {
	h, ok := o.holders[incarnation]
	if !ok {
		h = &holder{responses: make(map[uint64]*keptResponse)}
		o.holders[incarnation] = h
	}
	h.lastContactAt = now
	return h
}

// grantTokens moves tokens from the pool into the response.
func (o *Owner) grantTokens(a *GrantResponse, want int, now timer.Millis) {
	if want <= 0 || !o.active {
		return
	}
	a.Tokens = min(want, int(o.level))
	o.level -= float64(a.Tokens)
	o.outstanding += float64(a.Tokens)
	a.ReportSettled = o.outstanding*4 >= o.limit.Burst
	if a.Tokens == want {
		return
	}
	a.EmptyFor = min(o.emptyFor(), unknownRetry/4)
	a.RetryAfter = o.retrySpacer.next(o.emptyFor(), o.tokenInterval(), now)
	a.RetryStep = o.tokenInterval() * timer.Millis(len(o.holders))
}

// keepResponse keeps the response until its tokens have expired.
func (o *Owner) keepResponse(h *holder, a GrantResponse, now timer.Millis) {
	h.responses[a.Seq] = &keptResponse{response: a, unsettled: a.Tokens}
	o.unexpired = append(o.unexpired, grantedTokens{holder: h, seq: a.Seq, expires: now + onSlowestClock(grantTimeout)})
}

// settle frees the capacity reserved for the tokens of all grant requests up to
// seq.
func (o *Owner) settle(h *holder, seq uint64) {
	if seq <= h.settled {
		return
	}
	if seq-h.settled > uint64(len(h.responses)) {
		for s := range h.responses {
			o.settleOne(h, s, seq)
		}
	} else {
		for s := h.settled + 1; s <= seq; s++ {
			o.settleOne(h, s, seq)
		}
	}
	h.settled = seq
}

// settleOne frees the capacity reserved for grant request s if s is at most
// settled.
func (o *Owner) settleOne(h *holder, s, settled uint64) {
	if a, ok := h.responses[s]; ok && s <= settled {
		o.outstanding -= float64(a.unsettled)
		a.unsettled = 0
	}
}

// capacity returns the largest number of tokens that the pool may hold.
func (o *Owner) capacity() float64 {
	return max(0, o.limit.Burst-o.reservedDepth-o.outstanding)
}

// rate returns the pool's refill rate: the part of the limit's rate that is not
// leased.
func (o *Owner) rate() float64 { return max(0, o.limit.Rate-o.reservedRate) }

func (o *Owner) clamp() { o.level = min(o.level, o.capacity()) }

// advance refills the pool up to now, applies the limit, and expires tokens and
// leases. An owner that is not active yet becomes active when it can.
func (o *Owner) advance(limit Limit, now timer.Millis) {
	if !o.active {
		o.limit = limit
		o.activate(now)
	}
	if !o.active {
		return
	}
	o.clamp()
	o.level = min(o.capacity(), o.level+refillTokens(o.rate(), now-o.at))
	o.at = now
	o.limit = limit
	o.expireGranted(now)
	o.sweep(now)
	o.clamp()
}

func (o *Owner) expireGranted(now timer.Millis) {
	n := 0
	for n < len(o.unexpired) && now >= o.unexpired[n].expires {
		t := o.unexpired[n]
		o.outstanding -= float64(t.holder.responses[t.seq].unsettled)
		delete(t.holder.responses, t.seq)
		t.holder.highestRemoved = max(t.holder.highestRemoved, t.seq)
		n++
	}
	o.unexpired = o.unexpired[n:]
	if len(o.unexpired) == 0 {
		o.unexpired, o.outstanding = nil, 0
	}
}

// sweep ends leases that must have expired and removes hosts that have sent no
// grant request for holderIdle. It scans all holders, at most once a second.
func (o *Owner) sweep(now timer.Millis) {
	if now < o.nextSweep {
		return
	}
	o.nextSweep = now + timer.Second
	o.reservedRate, o.reservedDepth, o.demand = 0, 0, 0
	for incarnation, h := range o.holders {
		if now >= h.expires {
			h.confirmed, h.issued = Lease{}, Lease{Seq: h.issued.Seq}
		}
		if now-h.lastContactAt >= 2*renewInterval {
			h.demand, h.steady = 0, 0
		}
		if now-h.lastContactAt >= holderIdle && len(h.responses) == 0 {
			delete(o.holders, incarnation)
			continue
		}
		o.reservedRate += max(h.confirmed.Rate, h.issued.Rate)
		o.reservedDepth += max(h.confirmed.Depth, h.issued.Depth)
		o.demand += h.demand
	}
}

// emptyFor returns how long the pool needs until it has a token.
func (o *Owner) emptyFor() timer.Millis {
	wait := refillTime(1-o.level, o.rate())
	if o.capacity() < 1 {
		wait += onSlowestClock(grantTimeout)
	}
	return max(1, min(wait, maxRetry))
}

// tokenInterval returns how long the pool takes to refill one token.
func (o *Owner) tokenInterval() timer.Millis { return refillTime(1, o.rate()) }
