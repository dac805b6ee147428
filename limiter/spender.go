package limiter

import (
	"math"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Spender is the state of one workspace's limit on a host that is not the owner:
// its lease, the grant requests in flight and the callers' requests that wait for
// them. It is not safe for concurrent use. Waiting requests are served oldest
// first.
type Spender struct {
	scheme Scheme
	lease  heldLease
	// tenure is the latest known tenure; responses of earlier ones are ignored.
	tenure Tenure
	// returnedAtSeq is the Seq of the grant request with which a lease was last
	// returned, or of the last one sent before a lease was discarded. Leases in
	// responses up to it are ignored.
	returnedAtSeq uint64
	// lastTokensTenure and lastTokensLease identify the last lease whose
	// InitialTokens were taken.
	lastTokensTenure Tenure
	lastTokensLease  uint64
	seq              uint64
	settled          uint64
	pending          map[uint64]pendingRequest
	// settledOutOfOrder are the settled grant requests above settled, which is the
	// highest Seq up to which all grant requests are settled.
	settledOutOfOrder map[uint64]struct{}
	// uncovered counts the waiting requests that no grant request in flight covers.
	uncovered  int
	lastSentAt timer.Millis
	demand     demand
	// emptyUntil is the instant until which the owner's pool has no token.
	emptyUntil  timer.Millis
	retrySpacer retrySpacer
	// retryStep is the owner's RetryStep, which spaces this host's retry times so
	// that they do not collide with those of other hosts.
	retryStep timer.Millis
}

// heldLease is a lease that the host holds, run as a token bucket.
type heldLease struct {
	Lease
	tenure     Tenure
	level      float64
	refilledAt timer.Millis
	expires    timer.Millis
}

// pendingRequest is a grant request in flight that covers want callers' requests.
type pendingRequest struct {
	sent timer.Millis
	want int
}

// SpenderEffect is an action that a Spender's caller must carry out: Admit,
// Refuse, Fail or Send.
type SpenderEffect interface{ spenderEffect() }

// Admit admits the oldest waiting requests.
type Admit struct{ Requests int }

// Refuse refuses the oldest waiting requests. The first may retry after
// RetryAfter, each following one Step later.
type Refuse struct {
	Requests         int
	RetryAfter, Step timer.Millis
}

// Fail decides the oldest waiting requests as Unknown.
type Fail struct {
	Requests   int
	Reason     Reason
	RetryAfter timer.Millis
}

// Send sends a grant request to the owner.
type Send struct{ Request GrantRequest }

func (Admit) spenderEffect()  {}
func (Refuse) spenderEffect() {}
func (Fail) spenderEffect()   {}
func (Send) spenderEffect()   {}

// NewSpender returns a Spender without a lease.
func NewSpender(scheme Scheme) *Spender {
	return &Spender{
		scheme:            scheme,
		pending:           make(map[uint64]pendingRequest),
		settledOutOfOrder: make(map[uint64]struct{}),
	}
}

// Request adds one request, which waits until an Admit, Refuse or Fail decides
// it. That effect may be among those returned.
func (s *Spender) Request(limit Limit, now timer.Millis) []SpenderEffect {
	s.demand.add(now)
	switch {
	case s.spend(limit, now):
		return s.renew([]SpenderEffect{Admit{Requests: 1}}, now)
	case now < s.emptyUntil || !s.mayWait(now):
		return s.renew([]SpenderEffect{s.refuse(limit, now)}, now)
	}
	s.uncovered++
	return s.sendForWaiting(nil, now)
}

// SpendLease counts one request as demand, and admits it if the lease has a token
// to spend. It is used while no grant request can be sent to the owner, and for
// equal shares.
func (s *Spender) SpendLease(limit Limit, now timer.Millis) bool {
	s.demand.add(now)
	return s.spend(limit, now)
}

// SetEqualShare sets the lease to an equal share of the limit among hosts; only
// EqualSplit uses it. The share starts empty and keeps its level when its size
// changes.
func (s *Spender) SetEqualShare(limit Limit, hosts int, now timer.Millis) {
	part := 1 / float64(max(hosts, 1))
	s.accrue(limit, now)
	s.lease.Lease = Lease{Seq: 1, Rate: limit.Rate * part, Depth: limit.Burst * part, BaseLimit: limit}
	s.lease.level = min(s.lease.level, s.lease.Depth)
	s.lease.refilledAt, s.lease.expires = now, math.MaxInt64
}

// HandleResponse processes the owner's response. A response to a grant request
// that is not in flight is ignored.
func (s *Spender) HandleResponse(a GrantResponse, limit Limit, now timer.Millis) []SpenderEffect {
	p, ok := s.pending[a.Seq]
	if !ok {
		return nil
	}
	s.settle(a.Seq)
	if a.Tenure < s.tenure {
		return s.sendForWaiting(s.fail(p.want, OwnerChanging), now)
	}
	s.tenure = a.Tenure
	lowered := s.takeLease(a, p, limit, now)
	if a.InactiveFor > 0 {
		return s.sendForWaiting(s.fail(p.want, OwnerChanging), now)
	}
	effects := s.distribute(a, p, limit, now)
	if lowered || a.ReportSettled {
		return s.sendRequest(effects, now)
	}
	return s.sendForWaiting(effects, now)
}

// RequestFailed records that a grant request received no response. All waiting
// requests that it covers, and those not covered by any, fail with reason.
func (s *Spender) RequestFailed(seq uint64, reason Reason) []SpenderEffect {
	p, ok := s.pending[seq]
	if !ok {
		return nil
	}
	s.settle(seq)
	n := p.want + s.uncovered
	s.uncovered = 0
	return s.fail(n, reason)
}

// Tick returns the lease to the owner if it is no longer used. The caller calls
// it about once a second.
func (s *Spender) Tick(now timer.Millis) []SpenderEffect {
	if !s.scheme.grantsLeases() || s.lease.Seq == 0 || s.demand.mean(now) >= minLeaseDemand/2 {
		return nil
	}
	return s.ReturnLease(now)
}

// ReturnLease returns the lease to the owner.
func (s *Spender) ReturnLease(now timer.Millis) []SpenderEffect {
	if s.lease.Seq == 0 || s.scheme == EqualSplit {
		return nil
	}
	s.lease = heldLease{}
	s.returnedAtSeq = s.seq + 1
	return s.sendRequest(nil, now)
}

// DropLease discards the lease without notifying the owner, because the host is
// not a member or becomes the owner.
func (s *Spender) DropLease() { s.lease, s.returnedAtSeq = heldLease{}, s.seq }

// BecomeOwner discards the lease and records that this host is the owner from
// tenure t on.
func (s *Spender) BecomeOwner(t Tenure) {
	s.DropLease()
	s.tenure = t
}

// Report returns what this host can still spend, for the new owner of tenure t.
// Responses of earlier owners are ignored from then on.
func (s *Spender) Report(t Tenure, limit Limit, now timer.Millis) Report {
	if t < s.tenure {
		return Report{}
	}
	s.tenure = t
	s.accrue(limit, now)
	if s.lease.Seq == 0 {
		return Report{}
	}
	return Report{Rate: s.lease.Rate, Depth: s.lease.Depth, Remaining: s.lease.expires - now}
}

// Idle reports whether the Spender can be discarded without losing state.
func (s *Spender) Idle(now timer.Millis) bool {
	return s.lease.Seq == 0 && len(s.pending) == 0 && s.uncovered == 0 && s.demand.mean(now) < minLeaseDemand/2
}

// spend takes one token from the lease and reports whether there was one.
func (s *Spender) spend(limit Limit, now timer.Millis) bool {
	s.accrue(limit, now)
	if s.lease.Seq == 0 || s.lease.level < 1 {
		return false
	}
	s.lease.level--
	return true
}

// accrue refills the lease up to now, ends it if it has expired, and scales it
// down if the limit was lowered.
func (s *Spender) accrue(limit Limit, now timer.Millis) {
	l := &s.lease
	if l.Seq == 0 {
		return
	}
	if now >= l.expires {
		s.lease = heldLease{}
		return
	}
	if limit.Rate < l.BaseLimit.Rate {
		l.Rate *= limit.Rate / l.BaseLimit.Rate
		l.BaseLimit.Rate = limit.Rate
	}
	if limit.Burst < l.BaseLimit.Burst {
		l.Depth *= limit.Burst / l.BaseLimit.Burst
		l.BaseLimit.Burst = limit.Burst
	}
	l.level = min(l.Depth, l.level+refillTokens(l.Rate, now-l.refilledAt))
	l.refilledAt = now
}

// renew sends a grant request if it is time to request a lease or to extend it.
func (s *Spender) renew(effects []SpenderEffect, now timer.Millis) []SpenderEffect {
	if !s.renewalDue(now) || len(s.pending) >= maxPending {
		return effects
	}
	return s.sendRequest(effects, now)
}

func (s *Spender) renewalDue(now timer.Millis) bool {
	if !s.scheme.grantsLeases() || (s.seq > 0 && now-s.lastSentAt < renewInterval) {
		return false
	}
	return s.lease.Seq > 0 || s.demand.steady(now) >= minLeaseDemand
}

// mayWait reports whether a request without a token may wait for the owner's
// response.
func (s *Spender) mayWait(now timer.Millis) bool {
	if s.scheme == LeaseOnly {
		return s.lease.Seq == 0 || s.renewalDue(now)
	}
	return s.scheme.grantsTokens()
}

func (s *Spender) sendForWaiting(effects []SpenderEffect, now timer.Millis) []SpenderEffect {
	if s.uncovered == 0 || len(s.pending) >= maxPending {
		return effects
	}
	return s.sendRequest(effects, now)
}

// sendRequest sends a grant request that covers all uncovered requests.
func (s *Spender) sendRequest(effects []SpenderEffect, now timer.Millis) []SpenderEffect {
	s.seq++
	a := GrantRequest{
		Seq: s.seq, Demand: s.demand.mean(now), SteadyDemand: s.demand.steady(now), SettledSeq: s.settled,
		Tenure: s.lease.tenure, LeaseSeq: s.lease.Seq, ReturnsLease: s.returnedAtSeq == s.seq,
	}
	want := s.uncovered
	s.uncovered = 0
	if s.scheme.grantsTokens() {
		a.Want = want
	}
	s.pending[s.seq] = pendingRequest{sent: now, want: want}
	s.lastSentAt = now
	return append(effects, Send{Request: a})
}

// settle records that no further token of a grant request will be spent.
func (s *Spender) settle(seq uint64) {
	delete(s.pending, seq)
	s.settledOutOfOrder[seq] = struct{}{}
	for {
		if _, ok := s.settledOutOfOrder[s.settled+1]; !ok {
			return
		}
		s.settled++
		delete(s.settledOutOfOrder, s.settled)
	}
}

// takeLease puts the response's lease in force and reports whether it is smaller
// than the previous one.
func (s *Spender) takeLease(a GrantResponse, p pendingRequest, limit Limit, now timer.Millis) bool {
	until := p.sent + leaseTimeout
	if a.Lease.Seq == 0 || a.Seq <= s.returnedAtSeq || now >= until {
		return false
	}
	s.accrue(limit, now)
	old := s.lease
	if old.Seq > 0 && old.tenure == a.Tenure && a.Lease.Seq <= old.Seq {
		if a.Lease.Seq == old.Seq {
			s.lease.expires = max(old.expires, until)
		}
		return false
	}
	s.lease = heldLease{Lease: a.Lease, tenure: a.Tenure, refilledAt: now, expires: until}
	s.lease.level = min(a.Lease.Depth, old.level+s.takeInitialTokens(a))
	s.accrue(limit, now)
	return a.Lease.Rate < old.Rate || a.Lease.Depth < old.Depth
}

// takeInitialTokens returns the tokens that come with a lease, once per lease.
func (s *Spender) takeInitialTokens(a GrantResponse) float64 {
	if a.Tenure == s.lastTokensTenure && a.Lease.Seq <= s.lastTokensLease {
		return 0
	}
	s.lastTokensTenure, s.lastTokensLease = a.Tenure, a.Lease.Seq
	return a.Lease.InitialTokens
}

// distribute decides the requests that the grant request covered: with the
// response's tokens, then with those of the lease. The rest are refused.
func (s *Spender) distribute(a GrantResponse, p pendingRequest, limit Limit, now timer.Millis) []SpenderEffect {
	if now-p.sent >= grantTimeout {
		return s.fail(p.want, OwnerUnreachable)
	}
	got := min(a.Tokens, p.want)
	for got < p.want && s.spend(limit, now) {
		got++
	}
	var effects []SpenderEffect
	if got > 0 {
		effects = append(effects, Admit{Requests: got})
	}
	if a.EmptyFor > 0 {
		s.emptyUntil = now + a.EmptyFor
	}
	left := p.want - got
	if left == 0 {
		return effects
	}
	if !s.scheme.grantsTokens() {
		r := s.refuse(limit, now)
		r.Requests = left
		return append(effects, r)
	}
	s.retryStep = a.RetryStep
	s.retrySpacer.last = now + a.RetryAfter + timer.Millis(left-1)*a.RetryStep
	return append(effects, Refuse{Requests: left, RetryAfter: a.RetryAfter, Step: a.RetryStep})
}

// refuse refuses a request without a grant request. The retry time is when the
// lease or the pool next has a token, and later than the retry times given before.
func (s *Spender) refuse(limit Limit, now timer.Millis) Refuse {
	wait, step := maxRetry, maxRetry
	if s.lease.Seq > 0 && s.lease.Depth >= 1 {
		wait = refillTime(1-s.lease.level, s.lease.Rate)
		step = refillTime(1, s.lease.Rate)
	}
	if s.scheme.grantsTokens() {
		wait = min(wait, s.emptyUntil-now)
		step = min(step, s.retryStep)
	}
	return Refuse{Requests: 1, RetryAfter: s.retrySpacer.next(wait, step, now), Step: step}
}

func (s *Spender) fail(n int, reason Reason) []SpenderEffect {
	if n == 0 {
		return nil
	}
	return []SpenderEffect{Fail{Requests: n, Reason: reason, RetryAfter: unknownRetry}}
}

// retrySpacer gives consecutive refused requests different retry times. last is
// the latest time given.
type retrySpacer struct{ last timer.Millis }

// next returns the wait for one more request, given that a token is available
// after wait and another one each step after that. A time more than retryHorizon
// past the first token starts over at the first.
func (s *retrySpacer) next(wait, step, now timer.Millis) timer.Millis {
	moment := max(now+wait, s.last+step)
	if moment > now+wait+retryHorizon {
		moment = now + wait
	}
	s.last = moment
	return moment - now
}
