package limiter

import "github.com/jackdawgate/jackdawgate/timer"

// Owner holds a workspace's single token bucket, the pool, and accounts for all
// leases and asked tokens. It is not safe for concurrent use. Its host starts a
// tenure only when coordinator.Snapshot.Owns holds, and lets the Owner decide
// only while coordinator.Snapshot.Permitted does.
type Owner struct {
	scheme Scheme
	tenure Tenure
	limit  Limit
	// level is the number of tokens in the pool as of at.
	level float64
	at    timer.Millis
	// askedExpireAt is when the tokens asked of earlier owners have expired.
	// active is set once the owner decides requests.
	askedExpireAt timer.Millis
	active        bool
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
	// may have in force; outstanding is the number of asked tokens that may
	// still be spent.
	reservedRate, reservedDepth, outstanding float64
	// unexpired lists all answers that may be repeated, in order of expiry.
	unexpired []askedTokens
	// demand is the sum of the holders' demand; localDemand is this host's own.
	demand      float64
	localDemand demand
	nextSweep   timer.Millis
	retrySpacer retrySpacer
}

// holder is the owner's state for one host. confirmed is the lease that the
// host last confirmed, issued the last one sent to it in answer to ask
// issuedFor.
type holder struct {
	confirmed, issued Lease
	issuedFor         uint64
	expires           timer.Millis
	answers           map[uint64]*keptAnswer
	// lastForgotten is the highest Seq whose answer is no longer kept.
	lastForgotten uint64
	settled       uint64
	demand        float64
	steady        float64
	lastHeardAt   timer.Millis
}

// keptAnswer is an answer that is kept in case its ask is repeated.
type keptAnswer struct {
	answer Answer
	// unsettled is the number of tokens in the answer that may still be spent.
	unsettled int
}

// askedTokens identifies the tokens of one answer and says when they expire.
type askedTokens struct {
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

// HandleAsk answers an ask of another host. A repeated ask gets the same answer
// and is charged once. Only a member gets a lease.
func (o *Owner) HandleAsk(incarnation string, member bool, a Ask, limit Limit, now timer.Millis) Answer {
	o.advance(limit, now)
	h := o.holder(incarnation, now)
	if old, ok := h.answers[a.Seq]; ok {
		return old.answer
	}
	if a.Seq <= h.lastForgotten {
		return Answer{Seq: a.Seq, Tenure: o.tenure}
	}
	o.settle(h, a.SettledSeq)
	o.confirm(h, a)
	o.demand += a.Demand - h.demand
	h.demand, h.steady = a.Demand, a.SteadyDemand

	answer := Answer{Seq: a.Seq, Tenure: o.tenure}
	if !o.active {
		answer.InactiveFor = o.inactiveFor(now)
	}
	o.grantTokens(&answer, a.Want, now)
	if member && o.active {
		answer.Lease = o.leaseFor(h, a, now)
	}
	o.remember(h, answer, now)
	return answer
}

func (o *Owner) holder(incarnation string, now timer.Millis) *holder {
	h, ok := o.holders[incarnation]
	if !ok {
		h = &holder{answers: make(map[uint64]*keptAnswer)}
		o.holders[incarnation] = h
	}
	h.lastHeardAt = now
	return h
}

// grantTokens moves tokens from the pool into the answer.
func (o *Owner) grantTokens(a *Answer, want int, now timer.Millis) {
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

// remember keeps the answer until its tokens have expired.
func (o *Owner) remember(h *holder, a Answer, now timer.Millis) {
	h.answers[a.Seq] = &keptAnswer{answer: a, unsettled: a.Tokens}
	o.unexpired = append(o.unexpired, askedTokens{holder: h, seq: a.Seq, expires: now + onSlowestClock(askTimeout)})
}

// settle frees the capacity reserved for the tokens of all asks up to seq.
func (o *Owner) settle(h *holder, seq uint64) {
	if seq <= h.settled {
		return
	}
	if seq-h.settled > uint64(len(h.answers)) {
		for s := range h.answers {
			o.settleOne(h, s, seq)
		}
	} else {
		for s := h.settled + 1; s <= seq; s++ {
			o.settleOne(h, s, seq)
		}
	}
	h.settled = seq
}

// settleOne frees the capacity reserved for ask s if s is at most settled.
func (o *Owner) settleOne(h *holder, s, settled uint64) {
	if a, ok := h.answers[s]; ok && s <= settled {
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
	o.expireAsked(now)
	o.sweep(now)
	o.clamp()
}

func (o *Owner) expireAsked(now timer.Millis) {
	n := 0
	for n < len(o.unexpired) && now >= o.unexpired[n].expires {
		t := o.unexpired[n]
		o.outstanding -= float64(t.holder.answers[t.seq].unsettled)
		delete(t.holder.answers, t.seq)
		t.holder.lastForgotten = max(t.holder.lastForgotten, t.seq)
		n++
	}
	o.unexpired = o.unexpired[n:]
	if len(o.unexpired) == 0 {
		o.unexpired, o.outstanding = nil, 0
	}
}

// sweep ends leases that must have expired and forgets hosts that have not asked
// for holderIdle. It scans all holders, at most once a second.
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
		if now-h.lastHeardAt >= 2*renewInterval {
			h.demand, h.steady = 0, 0
		}
		if now-h.lastHeardAt >= holderIdle && len(h.answers) == 0 {
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
		wait += onSlowestClock(askTimeout)
	}
	return max(1, min(wait, maxRetry))
}

// tokenInterval returns how long the pool takes to refill one token.
func (o *Owner) tokenInterval() timer.Millis { return refillTime(1, o.rate()) }
