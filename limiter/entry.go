package limiter

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// entry is the state of one workspace's limit on one host. Its mutex mu guards
// all fields below it.
type entry struct {
	workspace string
	object    coordinator.Object

	mu       sync.Mutex
	location ownerLocation
	spender  *Spender
	// owner is set while this host owns the workspace's limit. formerOwner is set
	// after this host stopped being the owner, until the next owner has
	// requested the handover.
	owner, formerOwner *Owner
	// formerEpoch is the first epoch in which formerOwner was no longer the owner.
	// Only the owner of that epoch receives the pool: before a later one, another
	// owner may have had a tenure.
	formerEpoch registrar.Epoch
	// previousOwner is the owner in the preceding epoch, if it was another host.
	previousOwner registrar.Member
	// latestReported is the latest tenure for which an owner has requested a
	// report from this host.
	latestReported Tenure
	// waiters are the channels of the requests that wait for a decision, oldest
	// first.
	waiters []chan Decision
	// downUntil is the instant until which no grant request is sent to an owner
	// that did not answer or does not decide yet. Until then requests that no
	// lease admits are decided as Unknown with downReason.
	downUntil  timer.Millis
	downReason Reason
	// hosts is the number of hosts among which EqualSplit divides the limit.
	hosts int
}

// ownerLocation identifies the member that owns a workspace's limit in an epoch.
// known is false if no member does; self is true if it is this host.
type ownerLocation struct {
	epoch  registrar.Epoch
	known  bool
	self   bool
	member registrar.Member
}

func newEntry(workspace string, scheme Scheme) *entry {
	return &entry{
		workspace: workspace,
		object:    coordinator.LimitObject(workspace),
		spender:   NewSpender(scheme),
	}
}

// locate looks up the owner once per epoch. An Owner on this host continues
// into the next epoch if this host is still the owner there. If this host may
// have missed an epoch, it discards its Owner and has to start a new tenure.
func (e *entry) locate(v coordinator.Snapshot) {
	if e.location.epoch == v.Record.Epoch && e.location.known {
		return
	}
	next := e.location.epoch + 1
	if e.previousOwner = (registrar.Member{}); e.location.known && !e.location.self {
		e.previousOwner = e.location.member
	}
	m, ok := v.Owner(e.object)
	e.location = ownerLocation{
		epoch: v.Record.Epoch, known: ok, member: m,
		self: ok && m.Name == v.Self.Name && m.Incarnation == v.Self.Incarnation,
	}
	e.downUntil = 0
	if e.owner == nil {
		return
	}
	if next != v.Record.Epoch {
		e.owner, e.formerOwner = nil, nil
		return
	}
	if !e.location.self {
		e.owner, e.formerOwner, e.formerEpoch = nil, e.owner, v.Record.Epoch
	}
}

// handOver returns the handover for the owner whose tenure is t if this host
// was the owner immediately before t. It does so at most once.
func (e *entry) handOver(t Tenure, now timer.Millis) *Handover {
	if e.owner != nil && e.owner.Tenure() < t {
		e.owner, e.formerOwner, e.formerEpoch = nil, e.owner, e.location.epoch+1
	}
	former := e.formerOwner
	e.formerOwner = nil
	if former == nil || e.formerEpoch != t {
		return nil
	}
	return former.HandOver(now)
}

// decideOwned decides a request on the owner's host. Before the host's tenure
// begins it uses the lease that an earlier owner granted to this host.
func (e *entry) decideOwned(v coordinator.Snapshot, limit Limit, now timer.Millis) Decision {
	switch {
	case !v.Permitted(now):
		return Unknown{Reason: NotPermitted, RetryAfter: unknownRetry}
	case e.owner != nil:
		return e.owner.AdmitLocal(limit, now)
	case e.spender.SpendLease(limit, now):
		return Admitted{}
	}
	return Unknown{Reason: OwnerChanging, RetryAfter: unknownRetry}
}

// decideWithoutOwner decides from this host's lease while no grant requests are
// sent to the owner.
func (e *entry) decideWithoutOwner(limit Limit, now timer.Millis) Decision {
	if e.spender.SpendLease(limit, now) {
		return Admitted{}
	}
	return Unknown{Reason: e.downReason, RetryAfter: unknownRetry}
}

// decideEqualShare decides from this host's equal share of the limit. While
// members of earlier epochs may still act, the share is computed from the
// largest number of members seen.
func (e *entry) decideEqualShare(v coordinator.Snapshot, limit Limit, now timer.Millis) Decision {
	if !v.Member() {
		return Unknown{Reason: NotPermitted, RetryAfter: unknownRetry}
	}
	hosts := len(v.Record.Members)
	if now >= v.OwnsFrom {
		e.hosts = hosts
	}
	e.hosts = max(e.hosts, hosts)
	e.spender.SetEqualShare(limit, e.hosts, now)
	if e.spender.SpendLease(limit, now) {
		return Admitted{}
	}
	return Refused{RetryAfter: e.spender.refuse(limit, now).RetryAfter}
}

// notify sends decisions to the n oldest waiters and removes them.
func (e *entry) notify(n int, decide func(i int) Decision) {
	for i := range min(n, len(e.waiters)) {
		e.waiters[i] <- decide(i)
	}
	e.waiters = e.waiters[min(n, len(e.waiters)):]
	if len(e.waiters) == 0 {
		e.waiters = nil
	}
}
