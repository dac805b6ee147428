// Package keeper performs admission control for one backend server. The host
// that owns the server runs its Keeper and admits every call to it, so the count
// of calls in flight is exact.
//
// # Model
//
// A Scheduler is a deterministic state machine without a clock, locks or
// goroutines: each method takes the current time, changes the state and returns
// effects. A Keeper guards one Scheduler with a mutex and delivers the effects
// to the callers by closing channels.
//
// The server runs at most Limits.Slots calls. It starts calls in the order in
// which they arrive and has no notion of priority, so calls that cannot start
// yet are queued here. Under the Preemptive policy the following invariants hold
// after every step:
//
//   - no batch call starts while an online call waits;
//   - an online call waits only while no batch call is left to evict, or while
//     more evicted calls still hold their slot than Preemptive.Overcommit allows;
//   - a call holds its slot until Release, whether it was evicted or not;
//   - within a class, the workspace that was served the fewest tokens per unit
//     of weight goes first (start-time fair queuing on the tokens served).
//
// # Eviction without a wait
//
// An evicted call holds its slot until its stream at the server is known to be
// closed, and the online call that caused the eviction should not wait for that.
// There are two ways to avoid the wait:
//
//   - Headroom reserves slots that batch calls never use, so an online call
//     starts at once. On a server with 8 slots, however, one reserved slot
//     permanently costs an eighth of the batch throughput.
//   - Overcommit lets online calls start while evicted calls are closing. The
//     server then sees one call too many from the close of a stream until the
//     close is confirmed, about one round trip. An engine with a hard limit
//     queues the new call for that time, ahead of no other call.
//
// The default is an overcommitment of one and no headroom. Both are fields of
// Preemptive.
package keeper

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Request describes a call that needs a slot.
type Request struct {
	ID, Workspace string
	Class         requester.Class
	// Tokens is the expected cost. The tokens reported by Progress replace it.
	Tokens int64
	// Weight is the workspace's share under contention. Zero and negative values
	// count as 1.
	Weight float64
}

// Slot is the right to run one call at the backend server.
type Slot interface {
	// Evicted returns a channel that is closed when the call must stop to make
	// room. The owner of the slot then closes the call's stream at the server and
	// calls Release.
	Evicted() <-chan struct{}
	// Progress reports the number of tokens served since the previous call of
	// Progress.
	Progress(tokens int64)
	// Release frees the slot. It must be called once the server no longer runs the
	// call.
	// It is idempotent.
	Release()
}

// Limits bounds the calls that one backend server runs. The zero value admits
// nothing.
type Limits struct {
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// ReserveSlots is the number of slots that batch calls never use.
	ReserveSlots int
	// BatchShare is the largest fraction of Slots that batch calls may use, 0 to 1.
	BatchShare float64
	// Queue is the maximum number of waiting calls of each class.
	Queue int
}

// LimitsOf returns the limits of a backend server under a preset. If no preset
// is in force, batch calls may use every slot that online calls leave free.
func LimitsOf(s registrar.BackendServer, p registrar.Preset, queue int) Limits {
	l := Limits{Slots: s.Slots, ReserveSlots: p.ReserveSlots, BatchShare: p.BatchShare, Queue: queue}
	if p.Name == "" {
		l.BatchShare = 1
	}
	return l
}

// batchSlots returns the maximum number of slots that batch calls may hold.
func (l Limits) batchSlots() int {
	share := int(l.BatchShare * float64(l.Slots))
	if l.BatchShare > 0 {
		share = max(share, 1)
	}
	return max(0, min(share, l.Slots-l.ReserveSlots))
}

// Load counts the running and waiting calls of one backend server.
type Load struct {
	RunningOnline, RunningBatch int
	WaitingOnline, WaitingBatch int
	// Closing counts evicted calls that still hold their slot. They are included
	// in RunningBatch.
	Closing int
	// Preemptible counts the running and waiting batch calls that an online call
	// preempts immediately.
	Preemptible int
	// Free is the number of unused slots.
	Free int
}

// FullError reports that the queue for the call's class is full. The call has
// not run.
type FullError struct {
	RetryAfter timer.Millis
}

func (e *FullError) Error() string {
	return fmt.Sprintf("queue of the backend server is full, retry after %d ms", e.RetryAfter)
}

// DrainingError reports that the backend server is leaving and accepts no new
// calls. The call has not run.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "backend server is leaving" }

// Keeper admits calls to one backend server. It is safe for concurrent use.
type Keeper struct {
	clock timer.Clock

	mu        sync.Mutex
	scheduler *Scheduler
	slots     map[CallID]*slot
}

// New returns a Keeper. SetLimits changes the limits later; the policy is fixed.
func New(limits Limits, policy Policy, clock timer.Clock) *Keeper {
	return &Keeper{
		clock:     clock,
		scheduler: NewScheduler(limits, policy),
		slots:     make(map[CallID]*slot),
	}
}

// Acquire waits for a slot. On failure it returns a *FullError, a *DrainingError
// or the error of ctx; the call then has not run and holds neither a slot nor a
// place in the queue.
func (k *Keeper) Acquire(ctx context.Context, r Request) (Slot, error) {
	s := k.enqueue(r)
	select {
	case <-s.decided:
	case <-ctx.Done():
		s.Release()
		return nil, ctx.Err()
	}
	if s.err != nil {
		return nil, s.err
	}
	return s, nil
}

// SetLimits replaces the limits. If the policy allows eviction, batch calls above
// the new limits are evicted. Online calls run to completion.
func (k *Keeper) SetLimits(l Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify(k.scheduler.SetLimits(l, k.clock.Now()))
}

// Drain refuses all waiting and new calls. Running calls continue.
func (k *Keeper) Drain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify(k.scheduler.Drain())
}

// Load returns the current numbers of running and waiting calls.
func (k *Keeper) Load() Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.scheduler.Load()
}

// Close refuses all waiting and new calls and evicts every running batch call.
// A Keeper has no goroutines of its own, so Close does not wait. Owners of slots
// must still release them.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify(k.scheduler.Drain())
	k.notify(k.scheduler.EvictAll())
}

func (k *Keeper) enqueue(r Request) *slot {
	s := &slot{keeper: k, decided: make(chan struct{}), evicted: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	id, effects := k.scheduler.Enqueue(r, k.clock.Now())
	s.id = id
	k.slots[id] = s
	k.notify(effects)
	return s
}

// notify delivers the effects to the calls concerned. The caller holds k.mu.
func (k *Keeper) notify(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			close(k.slots[e.Call].decided)
		case Evicted:
			close(k.slots[e.Call].evicted)
		case Refused:
			s := k.slots[e.Call]
			s.err = e.Err
			close(s.decided)
			delete(k.slots, e.Call)
		}
	}
}

// slot is a waiting or running call.
type slot struct {
	keeper  *Keeper
	id      CallID
	evicted chan struct{}
	// decided is closed when the call is granted a slot or refused. err is set
	// before that.
	decided chan struct{}
	err     error
}

func (s *slot) Evicted() <-chan struct{} { return s.evicted }

func (s *slot) Progress(tokens int64) {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.scheduler.Progress(s.id, tokens)
}

func (s *slot) Release() {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.slots[s.id]; !ok {
		return
	}
	delete(k.slots, s.id)
	k.notify(k.scheduler.Release(s.id, k.clock.Now()))
}
