// Package limiter limits each workspace to its rate and burst across all hosts of
// the fleet: over every interval, all hosts together admit at most
// burst + rate x interval requests.
//
// # Model
//
// The host that owns coordinator.LimitObject(workspace) runs the workspace's
// Owner, which holds the workspace's single token bucket, the pool. Every other
// host runs a Spender. Both are deterministic state machines without a clock,
// lock or goroutine; Limiter drives them. A request is admitted in one of three
// ways:
//
//   - on the owner's host, from the pool, with no message;
//   - from the host's lease, with no message;
//   - by a granted token: the host sends a GrantRequest, the owner takes a token
//     from the pool, and the host spends it when the GrantResponse arrives, unless
//     grantTimeout has passed since the GrantRequest was sent.
//
// A lease is a part of the limit delegated to one host: a rate and a depth, which
// are subtracted from the pool's rate and capacity while the lease may be in
// force. The host runs it as its own token bucket. The owner sizes leases from
// the demand that hosts report, so a workspace without steady demand is served
// by granted tokens alone.
//
// # Invariant
//
// Let P(s) be the number of tokens that can be spent at instant s without
// further refill: the pool's level, the levels of all leases in force, and the
// granted tokens that have not been spent and still can be. Then
//
//	(1) P(s) <= burst            for every s, and
//	(2) refill over [s,t] <= rate x (t-s).
//
// Every admission in [s,t] spends a token of P(s) or one refilled in [s,t], so
// there are at most burst + rate x (t-s) of them, which is the guarantee above.
//
// (1) holds because the owner clamps the pool's level to
// burst - reserved depth - outstanding. Reserved depth counts each lease at the
// largest size that may be in force (the last one that the holder confirmed or
// any issued after it) until it is returned or has expired. Outstanding counts
// granted tokens until the host has reported them settled or they have expired.
// (2) holds because the pool refills at rate - reserved rate. On the spender's
// clock, leases and granted tokens expire at a fixed time after the GrantRequest
// was sent. On the owner's clock they expire later: the time is lengthened by the
// bound on clock rates and counted from when the owner responded. All refill is
// divided by 1 + that bound, so a fast clock creates no extra tokens. A crash can
// only remove tokens from P.
//
// # A new owner
//
// A new owner acts only when no earlier one can (coordinator.Snapshot.Owns). It
// starts with an empty pool whose capacity and refill rate are zero. P then
// consists only of the leases and granted tokens of earlier owners, which (1)
// bounded by the burst when they were issued and which refill at no more than
// the rate, so starting empty is safe. The following facts can only raise the
// pool:
//
//   - Tokens granted by earlier owners have expired grantTimeout after the start.
//   - A host that reports ignores every later response of earlier owners, so its
//     report covers everything that it can still spend.
//   - A host that is not a member holds no lease.
//
// When every member has reported, or the leases of those that have not must
// have expired, only hosts that left the record can hold leases of which the new
// owner has no report: they may act under an earlier epoch until
// coordinator.Snapshot.OwnsFrom, and the previous owner has their leases on
// record. Once the previous owner has handed over or that instant has passed, the
// rest of the rate and of the burst is held by no host and is added to the pool.
//
// A handover also contains the tokens of the pool, which were part of P and remain
// so. An owner hands over at most once, and only to the owner of the epoch in
// which it stopped: before a later epoch, another owner may already have admitted
// requests against the same part of the limit.
//
// Times are whole milliseconds, so the length of an interval is known to one
// millisecond.
package limiter

import (
	"fmt"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Decision is the result of admitting a request: Admitted, Refused or Unknown.
type Decision interface{ decision() }

// Admitted means that the request was counted against the limit and may run.
type Admitted struct{}

// Refused means that the workspace is above its limit. A retry after RetryAfter
// is admitted if no other request takes the token first. Consecutive refused
// requests are given different times to retry.
type Refused struct {
	RetryAfter timer.Millis
}

// Unknown means that no host that may decide could be reached. The request has
// not run, and the workspace was not found to be above its limit.
type Unknown struct {
	Reason     Reason
	RetryAfter timer.Millis
}

func (Admitted) decision() {}
func (Refused) decision()  {}
func (Unknown) decision()  {}

// Reason is the reason for which a decision is Unknown, in kebab case.
type Reason string

// Reasons of Unknown.
const (
	// NotPermitted means that this host's permission to act has expired or that
	// it is not a member, or that its Limiter is closed.
	NotPermitted Reason = "not-permitted"
	// OwnerUnreachable means that the owner did not answer.
	OwnerUnreachable Reason = "owner-unreachable"
	// OwnerChanging means that a new owner does not decide yet.
	OwnerChanging Reason = "owner-changing"
	// UnknownWorkspace means that the record has no such workspace.
	UnknownWorkspace Reason = "unknown-workspace"
	// Cancelled means that the caller's context ended before the decision.
	Cancelled Reason = "cancelled"
)

// Scheme selects how hosts obtain tokens.
type Scheme uint8

const (
	// Chosen grants leases to hosts with steady demand, and single tokens for
	// requests that exceed them.
	Chosen Scheme = iota
	// TokenOnly requests a token from the owner for every request. Its name in
	// the settings is "ask-only".
	TokenOnly
	// LeaseOnly spends leases and never requests single tokens. Its name in the
	// settings is "grant-only".
	LeaseOnly
	// EqualSplit gives each member an equal share of rate and burst.
	EqualSplit
)

// SchemeNamed returns the scheme that has this name in the settings. It returns
// Chosen and false if there is none.
func SchemeNamed(name string) (Scheme, bool) {
	for s := Chosen; s <= EqualSplit; s++ {
		if s.String() == name {
			return s, true
		}
	}
	return Chosen, false
}

func (s Scheme) String() string {
	switch s {
	case Chosen:
		return "chosen"
	case TokenOnly:
		return "ask-only"
	case LeaseOnly:
		return "grant-only"
	case EqualSplit:
		return "equal-split"
	}
	return fmt.Sprintf("scheme %d", uint8(s))
}

func (s Scheme) grantsLeases() bool { return s == Chosen || s == LeaseOnly }

func (s Scheme) grantsTokens() bool { return s == Chosen || s == TokenOnly }

// leaseShare returns the fractions of the limit's rate and burst that may be
// leased.
func (s Scheme) leaseShare() (rate, depth float64) {
	if s == LeaseOnly {
		return 1, 1
	}
	return chosenLeaseShare, chosenDepthShare
}

const (
	// clockRateBound is how much faster one monotonic clock may run than another.
	clockRateBound = 0.01
	// grantTimeout is how long a granted token may be spent, from when the
	// GrantRequest was sent.
	grantTimeout = 100 * timer.Millis(1)
	// leaseTimeout is how long a lease is in force, from when the GrantRequest was
	// sent. It is longer than the time without an owner after a host is lost.
	leaseTimeout = 15 * timer.Second
	// renewInterval is how often a lease in use is renewed.
	renewInterval = 2 * timer.Second
	// maxPending is the largest number of grant requests that a host has in flight
	// for one workspace.
	maxPending = 4
	// chosenLeaseShare and chosenDepthShare are the fractions of rate and burst
	// that scheme Chosen may lease; single tokens are granted from the rest.
	chosenLeaseShare = 0.8
	chosenDepthShare = 0.25
	// leaseFactor is the ratio of a lease's rate to the demand that it serves.
	leaseFactor = 1.5
	// minLeaseDepth is the smallest depth of a lease. A lease of depth one loses
	// the tokens that would be refilled from when it is full to the next request.
	minLeaseDepth = 2
	// leaseDepthTime bounds a lease's depth beyond minLeaseDepth: to the tokens
	// that the lease's rate gives in this time.
	leaseDepthTime = 200 * timer.Millis(1)
	// minLeaseDemand is the smallest steady demand, in requests per second, for
	// which a lease is granted.
	minLeaseDemand = 0.2
	// resizeStep is the relative change up to which a lease keeps its size.
	resizeStep = 0.2
	// maxRetry bounds Refused.RetryAfter.
	maxRetry = 60 * timer.Second
	// retryHorizon bounds how far the retry times of refused requests are spread
	// out.
	retryHorizon = 10 * timer.Second
	// unknownRetry is Unknown.RetryAfter if there is no better estimate.
	unknownRetry = timer.Second
	// holderIdle is how long the owner keeps its state for a host that sends no
	// grant requests.
	holderIdle = 60 * timer.Second
)

// onSlowestClock returns the time on this clock after which d has passed on any
// other clock, given clockRateBound.
func onSlowestClock(d timer.Millis) timer.Millis {
	return timer.Millis(float64(d)*(1+clockRateBound)) + 1
}

// refillTokens returns the tokens that a rate in tokens per second gives in d. It
// assumes that this clock runs fast by clockRateBound.
func refillTokens(rate float64, d timer.Millis) float64 {
	return max(0, rate) * float64(d) / float64(timer.Second) / (1 + clockRateBound)
}

// refillTime returns how long a rate in tokens per second takes to give tokens,
// at most maxRetry.
func refillTime(tokens, rate float64) timer.Millis {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetry
	}
	ms := tokens / rate * float64(timer.Second) * (1 + clockRateBound)
	return min(timer.Millis(ms)+1, maxRetry)
}
