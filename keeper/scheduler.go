package keeper

import (
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// CallID identifies a call within one Scheduler. IDs increase in order of arrival.
type CallID uint64

// Effect is a decision of the Scheduler about one call: Granted, Evicted or
// Refused.
type Effect interface{ effect() }

// Granted gives a waiting call a slot.
type Granted struct{ Call CallID }

// Evicted requires a running batch call to stop. The call holds its slot until
// Release.
type Evicted struct{ Call CallID }

// Refused rejects a waiting call with Err. The Scheduler no longer tracks the
// call.
type Refused struct {
	Call CallID
	Err  error
}

func (Granted) effect() {}
func (Evicted) effect() {}
func (Refused) effect() {}

const (
	// minRetryAfter and maxRetryAfter bound FullError.RetryAfter.
	minRetryAfter = 100 * timer.Millis(1)
	maxRetryAfter = 30 * timer.Second
	// releaseGapWeight is the weight of the newest sample in the exponential moving
	// average of the time between releases.
	releaseGapWeight = 0.1
)

// call is one waiting or running call.
type call struct {
	id      CallID
	class   requester.Class
	flow    *flow
	queue   *fairQueue
	running bool
	evicted bool
	// estimate is the expected cost in tokens, charged the tokens charged to the
	// flow so far, and served the tokens reported by Progress.
	estimate, charged, served int64
}

// Scheduler assigns the slots of one backend server to calls and tracks every
// running and waiting call. It is not safe for concurrent use.
type Scheduler struct {
	limits   Limits
	policy   Policy
	draining bool
	lastID   CallID
	calls    map[CallID]*call
	online   *fairQueue
	batch    *fairQueue
	// evictable holds the running batch calls that are not evicted, the most
	// recently started last.
	evictable     []*call
	runningOnline int
	runningBatch  int
	closing       int
	// The waiting calls are counted by class because Sharing puts both classes in
	// one queue.
	waitingOnline int
	waitingBatch  int
	lastRelease   timer.Millis
	// meanReleaseGap is the moving average of the time between releases, in
	// milliseconds.
	meanReleaseGap float64
}

// NewScheduler returns a Scheduler without any calls.
func NewScheduler(limits Limits, policy Policy) *Scheduler {
	s := &Scheduler{limits: limits, policy: policy, calls: make(map[CallID]*call)}
	s.online, s.batch = newFairQueue(), newFairQueue()
	if _, ok := policy.(Sharing); ok {
		s.batch = s.online
	}
	return s
}

// Load returns the numbers of running and waiting calls.
func (s *Scheduler) Load() Load {
	return Load{
		RunningOnline: s.runningOnline,
		RunningBatch:  s.runningBatch,
		WaitingOnline: s.waitingOnline,
		WaitingBatch:  s.waitingBatch,
		Closing:       s.closing,
		Preemptible:   s.preemptible(),
		Free:          max(0, s.limits.Slots-s.running()),
	}
}

// preemptible returns the number of batch calls that an online call does not
// have to wait for.
func (s *Scheduler) preemptible() int {
	if _, ok := s.policy.(Preemptive); !ok {
		return 0
	}
	return len(s.evictable) + s.waitingBatch
}

// Enqueue adds a call. One of the returned effects may grant or refuse it.
func (s *Scheduler) Enqueue(r Request, now timer.Millis) (CallID, []Effect) {
	s.lastID++
	id := s.lastID
	if s.draining {
		return id, []Effect{Refused{Call: id, Err: &DrainingError{}}}
	}
	c := s.newCall(id, r)
	s.calls[id] = c
	c.queue.push(c.flow, id)
	s.countWaiting(c, 1)
	return id, s.shedExcess(c, s.schedule(nil))
}

// Progress adds to the tokens served to a running call.
func (s *Scheduler) Progress(id CallID, tokens int64) {
	c, ok := s.calls[id]
	if !ok || !c.running {
		return
	}
	c.served += tokens
	if more := c.served - c.charged; more > 0 {
		s.charge(c, more)
	}
}

// Release removes a waiting or running call. It has no effect on an unknown call.
func (s *Scheduler) Release(id CallID, now timer.Millis) []Effect {
	c, ok := s.calls[id]
	if !ok {
		return nil
	}
	delete(s.calls, id)
	if !c.running {
		c.queue.remove(c.flow, id)
		s.countWaiting(c, -1)
		return s.schedule(nil)
	}
	s.reconcileCharge(c)
	s.removeRunning(c)
	s.recordRelease(now)
	return s.schedule(nil)
}

// SetLimits replaces the limits.
func (s *Scheduler) SetLimits(limits Limits, _ timer.Millis) []Effect {
	s.limits = limits
	return s.schedule(nil)
}

// Drain refuses all waiting and new calls.
func (s *Scheduler) Drain() []Effect {
	s.draining = true
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		if !s.calls[id].running {
			effects = append(effects, s.refuse(id, &DrainingError{}))
		}
	}
	return effects
}

// EvictAll evicts every running batch call.
func (s *Scheduler) EvictAll() []Effect {
	var effects []Effect
	for len(s.evictable) > 0 {
		effects = append(effects, s.evictNewest())
	}
	return effects
}

func (s *Scheduler) newCall(id CallID, r Request) *call {
	c := &call{id: id, class: r.Class, estimate: max(r.Tokens, 1)}
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	c.queue = s.online
	if r.Class == requester.Batch {
		c.queue = s.batch
	}
	workspace := r.Workspace
	if _, ok := s.policy.(Sharing); ok {
		workspace, weight = "", 1
	}
	c.flow = c.queue.flowFor(workspace, weight)
	return c
}

func (s *Scheduler) running() int { return s.runningOnline + s.runningBatch }

func (s *Scheduler) countWaiting(c *call, n int) {
	if c.class == requester.Batch {
		s.waitingBatch += n
		return
	}
	s.waitingOnline += n
}

// schedule evicts batch calls where room is needed, then starts the calls that
// fit.
func (s *Scheduler) schedule(effects []Effect) []Effect {
	effects = s.evictExcess(effects)
	for s.canStartOnline() {
		effects = s.start(s.online, effects)
	}
	for s.canStartBatch() {
		effects = s.start(s.batch, effects)
	}
	return effects
}

// canStartOnline reports whether the first call in the online queue fits. Under
// Sharing that queue also holds batch calls.
func (s *Scheduler) canStartOnline() bool {
	if s.online.waiting == 0 {
		return false
	}
	slots := s.limits.Slots
	if p, ok := s.policy.(Preemptive); ok {
		slots += min(s.closing, p.Overcommit)
	}
	return s.running() < slots
}

func (s *Scheduler) canStartBatch() bool {
	if s.batch.waiting == 0 || s.waitingOnline > 0 || s.runningBatch >= s.limits.batchSlots() {
		return false
	}
	switch p := s.policy.(type) {
	case Preemptive:
		return s.running() < s.limits.Slots-p.Headroom
	case FixedReserve:
		return s.running() < s.limits.Slots
	}
	return false // Sharing starts batch calls from the online queue, NoBatch never starts any.
}

// evictExcess evicts batch calls until the waiting online calls fit and lowered
// limits are met. Only the Preemptive policy evicts.
func (s *Scheduler) evictExcess(effects []Effect) []Effect {
	p, ok := s.policy.(Preemptive)
	if !ok {
		return effects
	}
	for len(s.evictable) > 0 && s.mustEvict(p) {
		effects = append(effects, s.evictNewest())
	}
	return effects
}

// mustEvict reports whether another batch call must be evicted. It does not count
// calls that are closing: one eviction makes room for one call, however long the
// evicted call takes to close.
func (s *Scheduler) mustEvict(p Preemptive) bool {
	active := s.running() - s.closing
	tooMany := active+s.waitingOnline > s.limits.Slots-p.Headroom
	return tooMany || len(s.evictable) > s.limits.batchSlots()
}

func (s *Scheduler) evictNewest() Effect {
	last := len(s.evictable) - 1
	c := s.evictable[last]
	s.evictable = s.evictable[:last]
	c.evicted = true
	s.closing++
	return Evicted{Call: c.id}
}

func (s *Scheduler) start(q *fairQueue, effects []Effect) []Effect {
	id, _ := q.pop()
	c := s.calls[id]
	s.countWaiting(c, -1)
	c.running = true
	c.flow.running++
	s.charge(c, c.estimate)
	if c.class == requester.Batch {
		s.runningBatch++
		s.evictable = append(s.evictable, c)
	} else {
		s.runningOnline++
	}
	return append(effects, Granted{Call: id})
}

// removeRunning removes a running call from the counts.
func (s *Scheduler) removeRunning(c *call) {
	c.flow.running--
	if c.class != requester.Batch {
		s.runningOnline--
		return
	}
	s.runningBatch--
	if c.evicted {
		s.closing--
		return
	}
	if i := slices.Index(s.evictable, c); i >= 0 {
		s.evictable = slices.Delete(s.evictable, i, i+1)
	}
}

func (s *Scheduler) charge(c *call, tokens int64) {
	c.charged += tokens
	c.queue.charge(c.flow, tokens)
}

// reconcileCharge replaces the charged estimate by the tokens served. A call that
// ran to completion without reporting any tokens remains charged with its estimate.
func (s *Scheduler) reconcileCharge(c *call) {
	if c.served > 0 || c.evicted {
		s.charge(c, c.served-c.charged)
	}
}

// shedExcess refuses one call if the queue that c joined exceeds its limit. It
// refuses the newest waiting call of the workspace with the most waiting calls
// per unit of weight, so that one workspace cannot fill the queue for the others.
func (s *Scheduler) shedExcess(c *call, effects []Effect) []Effect {
	if c.running || c.queue.waiting <= s.queueLimit() {
		return effects
	}
	f := c.queue.mostBacklogged()
	victim := f.waiting[len(f.waiting)-1]
	return append(effects, s.refuse(victim, &FullError{RetryAfter: s.retryAfter(c.queue)}))
}

// queueLimit returns the maximum length of a queue. It is doubled if both classes
// share one queue.
func (s *Scheduler) queueLimit() int {
	if s.online == s.batch {
		return 2 * s.limits.Queue
	}
	return s.limits.Queue
}

func (s *Scheduler) refuse(id CallID, err error) Effect {
	c := s.calls[id]
	delete(s.calls, id)
	c.queue.remove(c.flow, id)
	s.countWaiting(c, -1)
	return Refused{Call: id, Err: err}
}

// retryAfter estimates how long it takes until all calls now waiting have
// started.
func (s *Scheduler) retryAfter(q *fairQueue) timer.Millis {
	wait := timer.Millis(s.meanReleaseGap * float64(q.waiting+1))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (s *Scheduler) recordRelease(now timer.Millis) {
	if s.lastRelease > 0 {
		s.meanReleaseGap += releaseGapWeight * (float64(now-s.lastRelease) - s.meanReleaseGap)
	}
	s.lastRelease = now
}
