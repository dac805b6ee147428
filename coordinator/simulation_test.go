package coordinator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// simulation runs hosts with a network, a store and clocks that fail. Its time is in
// microseconds; a host reads its own clock in milliseconds.
type simulation struct {
	random *rand.Rand
	timing coordinator.Timing
	now    int64
	queue  deliveries
	seq    int
	hosts  map[string]*process
	names  []string
	starts int
	guard  coordinator.Guard
	// reuseIncarnation gives a restarted host the incarnation that it had.
	reuseIncarnation bool

	// lossPercent and duplicatePercent are the probabilities that a message is lost or
	// duplicated; maxDelay bounds the delay of a message. blocked has the links, from
	// one host to another, on which all messages are lost.
	lossPercent, duplicatePercent int
	maxDelay                      timer.Millis
	blocked                       map[[2]string]bool

	store              registrar.Record
	storeVersion       storer.Version
	storeDown          bool
	storeBlocked       map[string]bool
	loseWriteResponses int

	// acceptedAt is when a host first found a version to be accepted.
	acceptedAt map[registrar.Version]int64
	accepted   registrar.Version
	answers    map[string]coordinator.FinishChange
	objects    []coordinator.Object
	violation  string
	// skipChecks skips the check of the invariants after each step, for large fleets.
	skipChecks bool
	writes     int
}

// process is one run of a host, and the state of its clock.
type process struct {
	state  coordinator.State
	member registrar.Member
	// clockRate is the deviation of the host's clock from true time in parts per
	// million; clockOffset is its reading at the start in microseconds.
	clockRate   int64
	clockOffset int64
	frozen      int64
	killed      bool
	left        bool
	handlers    map[coordinator.Token]func(any)
	lastToken   coordinator.Token
	newest      registrar.Version
}

type delivery struct {
	at      int64
	seq     int
	deliver func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].seq < d[j].seq)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

const (
	microsPerMilli  = 1000
	rateDenominator = 1_000_000
	// maxClockRate keeps the rates of any two clocks within 1% of each other.
	maxClockRate = 4900
)

func newSimulation(seed uint64, names ...string) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), timing: coordinator.DefaultTiming(), maxDelay: 20,
		hosts: make(map[string]*process), names: names, blocked: make(map[[2]string]bool), storeBlocked: make(map[string]bool),
		acceptedAt: make(map[registrar.Version]int64), answers: make(map[string]coordinator.FinishChange),
	}
	for i := range 8 {
		s.objects = append(s.objects, coordinator.ServerObject(fmt.Sprint(i)))
	}
	for _, n := range names {
		s.start(n)
	}
	return s
}

func (s *simulation) start(name string) *process {
	s.starts++
	incarnation := fmt.Sprintf("%s-%d", name, s.starts)
	if old, ok := s.hosts[name]; ok && s.reuseIncarnation {
		incarnation = old.member.Incarnation
	}
	h := &process{
		member:    registrar.Member{Name: name, Incarnation: incarnation, PeerAddress: name, DataCentre: "dc-" + name[:1]},
		clockRate: s.random.Int64N(2*maxClockRate) - maxClockRate, clockOffset: s.random.Int64N(1e9),
		handlers: make(map[coordinator.Token]func(any)),
	}
	h.state = coordinator.New(h.member, s.names, s.timing, s.clock(h))
	s.hosts[name] = h
	s.tick(h)
	return h
}

func (s *simulation) clock(h *process) timer.Millis {
	return timer.Millis((h.clockOffset + s.now + s.now*h.clockRate/rateDenominator) / microsPerMilli)
}

func (s *simulation) after(d timer.Millis, f func()) {
	s.seq++
	heap.Push(&s.queue, delivery{s.now + int64(d)*microsPerMilli + s.random.Int64N(microsPerMilli), s.seq, f})
}

func (s *simulation) tick(h *process) {
	s.event(h, func(now timer.Millis) coordinator.Event { return coordinator.Ticked{At: now} })
	if !h.killed {
		s.after(s.timing.FastConfirmInterval, func() { s.tick(h) })
	}
}

// run handles what is scheduled within the next d.
func (s *simulation) run(d timer.Millis) {
	end := s.now + int64(d)*microsPerMilli
	for len(s.queue) > 0 && s.queue[0].at <= end && s.violation == "" {
		next := heap.Pop(&s.queue).(delivery)
		s.now = max(s.now, next.at)
		next.deliver()
	}
	s.now = end
}

// event steps h with an event, once h is no longer frozen.
func (s *simulation) event(h *process, make func(now timer.Millis) coordinator.Event) {
	if h.killed {
		return
	}
	if s.now < h.frozen {
		s.after(timer.Millis((h.frozen-s.now)/microsPerMilli)+1, func() { s.event(h, make) })
		return
	}
	e := make(s.clock(h))
	var effects []coordinator.Effect
	if s.guard == "" {
		h.state, effects = coordinator.Step(h.state, e)
	} else {
		h.state, effects = coordinator.StepWithout(s.guard, h.state, e)
	}
	s.check(h)
	for _, e := range effects {
		s.perform(h, e)
	}
}

func (h *process) expect(f func(any)) coordinator.Token {
	h.lastToken++
	h.handlers[h.lastToken] = f
	return h.lastToken
}

func (h *process) answer(t coordinator.Token, v any) {
	if f, ok := h.handlers[t]; ok {
		delete(h.handlers, t)
		f(v)
	}
}

// send delivers a message from one address to another, possibly twice or never.
func (s *simulation) send(from, to string, f func()) {
	copies := 1
	if s.random.IntN(100) < s.duplicatePercent {
		copies = 2
	}
	for range copies {
		if s.blocked[[2]string{from, to}] || s.random.IntN(100) < s.lossPercent {
			continue
		}
		delay := timer.Millis(s.random.Int64N(int64(s.maxDelay)))
		if s.random.IntN(100) < s.duplicatePercent {
			delay *= 100
		}
		s.after(delay, f)
	}
}

func (s *simulation) perform(h *process, e coordinator.Effect) {
	switch e := e.(type) {
	case coordinator.QueryReports:
		for _, t := range e.Targets {
			s.queryReport(h, e, t)
		}
	case coordinator.QueryRelay:
		s.queryRelay(h, e)
	case coordinator.FetchRecord:
		s.fetch(h, e)
	case coordinator.ReadStore:
		s.readStore(h, e)
	case coordinator.WriteStore:
		s.writeStore(h, e)
	case coordinator.ReplyReport:
		h.answer(e.Token, e.Report)
	case coordinator.ReplyRelay:
		h.answer(e.Token, e.Response)
	case coordinator.FinishChange:
		h.answer(e.Token, e)
	case coordinator.FinishLeave:
		h.answer(e.Token, nil)
	}
}

func (s *simulation) queryReport(h *process, e coordinator.QueryReports, t coordinator.Target) {
	s.send(h.member.Name, t.Address, func() {
		to, ok := s.hosts[t.Address]
		if !ok {
			return
		}
		token := to.expect(func(v any) {
			s.send(t.Address, h.member.Name, func() {
				s.event(h, func(now timer.Millis) coordinator.Event {
					return coordinator.ReportReceived{At: now, Round: e.Round, Name: t.Name, Address: t.Address, Report: v.(coordinator.Report)}
				})
			})
		})
		s.event(to, func(now timer.Millis) coordinator.Event {
			return coordinator.ReportRequested{At: now, Token: token, Request: e.Request}
		})
	})
}

func (s *simulation) queryRelay(h *process, e coordinator.QueryRelay) {
	s.send(h.member.Name, e.Address, func() {
		to, ok := s.hosts[e.Address]
		if !ok {
			return
		}
		token := to.expect(func(v any) {
			s.send(e.Address, h.member.Name, func() {
				s.event(h, func(now timer.Millis) coordinator.Event {
					return coordinator.RelayResponseReceived{At: now, Round: e.Round, Address: e.Address, Response: v.(coordinator.RelayResponse)}
				})
			})
		})
		s.event(to, func(now timer.Millis) coordinator.Event { return coordinator.RelayRequested{At: now, Token: token} })
	})
}

func (s *simulation) fetch(h *process, e coordinator.FetchRecord) {
	s.send(h.member.Name, e.Address, func() {
		to, ok := s.hosts[e.Address]
		if !ok || to.killed || s.now < to.frozen {
			return
		}
		r := to.state.Record()
		s.send(e.Address, h.member.Name, func() {
			s.event(h, func(now timer.Millis) coordinator.Event { return coordinator.RecordFetched{At: now, Record: r} })
		})
	})
}

func (s *simulation) readStore(h *process, e coordinator.ReadStore) {
	s.after(timer.Millis(s.random.Int64N(10)), func() {
		failed, r, v := s.storeDown || s.storeBlocked[h.member.Name], s.store, s.storeVersion
		s.after(timer.Millis(s.random.Int64N(10)), func() {
			s.event(h, func(now timer.Millis) coordinator.Event {
				return coordinator.StoreRead{At: now, Read: e.Read, Record: r, StoreVersion: v, Failed: failed}
			})
		})
	})
}

func (s *simulation) writeStore(h *process, e coordinator.WriteStore) {
	s.after(timer.Millis(s.random.Int64N(10)), func() {
		outcome := coordinator.WriteConflict
		switch {
		case s.storeDown || s.storeBlocked[h.member.Name]:
			outcome = coordinator.WriteUnknown
		case e.Old == s.storeVersion:
			outcome = coordinator.WriteDone
			s.store = e.Record
			s.storeVersion++
			s.writes++
		}
		if s.loseWriteResponses > 0 && outcome == coordinator.WriteDone {
			s.loseWriteResponses--
			outcome = coordinator.WriteUnknown
		}
		s.after(timer.Millis(s.random.Int64N(10)), func() {
			s.event(h, func(now timer.Millis) coordinator.Event {
				return coordinator.StoreWritten{At: now, Write: e.Write, Outcome: outcome}
			})
		})
	})
}

// change sends an operator's change to h. The answer is stored in s.answers under id.
func (s *simulation) change(h *process, id string, c registrar.Change) {
	token := h.expect(func(v any) { s.answers[id] = v.(coordinator.FinishChange) })
	s.event(h, func(now timer.Millis) coordinator.Event {
		return coordinator.ChangeRequested{At: now, Token: token, ID: id, Change: c, Deadline: now + 8*timer.Second}
	})
}

// leave makes h leave. Its process ends when its departure is accepted.
func (s *simulation) leave(h *process) {
	token := h.expect(func(any) { h.killed, h.left = true, true })
	s.event(h, func(now timer.Millis) coordinator.Event { return coordinator.LeaveRequested{At: now, Token: token} })
}

// running reports whether the process of h runs now.
func (s *simulation) running(h *process) bool { return h != nil && !h.killed && s.now >= h.frozen }

// check records the first invariant that is violated after h was stepped.
func (s *simulation) check(h *process) {
	s.checkVersion(h)
	if s.skipChecks {
		return
	}
	s.checkOwners()
	s.checkWithdrawn()
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %d ms: ", s.now/microsPerMilli) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) checkVersion(h *process) {
	v := h.state.Record().Version
	if v < h.newest {
		s.recordViolation("never-reverts: %s went from %d to %d", h.member.Incarnation, h.newest, v)
	}
	h.newest = v
	if a := h.state.Accepted(); a > s.accepted {
		for ; s.accepted < a; s.accepted++ {
			s.acceptedAt[s.accepted+1] = s.now
		}
	}
}

func (s *simulation) checkOwners() {
	for _, o := range s.objects {
		owner := ""
		for _, n := range s.names {
			h := s.hosts[n]
			if !s.running(h) || !h.state.Snapshot().Owns(o, s.clock(h)) {
				continue
			}
			if owner != "" {
				s.recordViolation("one-owner: %s is owned by %s and %s", o, owner, h.member.Incarnation)
			}
			owner = h.member.Incarnation
		}
	}
}

// checkWithdrawn checks that no host is permitted without a version that was accepted
// longer ago than any permission lasts.
func (s *simulation) checkWithdrawn() {
	bound := int64(s.timing.HandOverDelay()) * microsPerMilli
	for _, n := range s.names {
		h := s.hosts[n]
		if !s.running(h) || !h.state.Snapshot().Permitted(s.clock(h)) {
			continue
		}
		v := h.state.Record().Version + 1
		if at, ok := s.acceptedAt[v]; ok && s.now > at+bound {
			s.recordViolation("withdrawn-in-time: %s is permitted without version %d", h.member.Incarnation, v)
		}
	}
}

// heal ends all faults and restarts the hosts whose process has ended.
func (s *simulation) heal() {
	clear(s.blocked)
	clear(s.storeBlocked)
	s.lossPercent, s.duplicatePercent, s.storeDown, s.loseWriteResponses = 0, 0, false, 0
	for _, n := range s.names {
		s.hosts[n].frozen = s.now
		if s.hosts[n].killed {
			s.start(n)
		}
	}
}

// checkRecovered checks that, after all faults ended, every host is a permitted member
// with the newest record and every object has an owner that may act.
func (s *simulation) checkRecovered() {
	for _, n := range s.names {
		h := s.hosts[n]
		if h.killed {
			continue
		}
		if !h.state.Snapshot().Permitted(s.clock(h)) || h.state.Record().Version != s.store.Version {
			s.recordViolation("renewed: %s is at version %d of %d, permitted %v", h.member.Incarnation,
				h.state.Record().Version, s.store.Version, h.state.Snapshot().Permitted(s.clock(h)))
		}
		if !h.state.Member() {
			s.recordViolation("renewed: %s is no member of %+v after %+v, accepted %d, version %d", h.member.Incarnation, s.store.Members, s.store.Transitions, h.state.Accepted(), s.store.Version)
		}
	}
	for _, o := range s.objects {
		owned := slices.ContainsFunc(s.names, func(n string) bool {
			return s.running(s.hosts[n]) && s.hosts[n].state.Snapshot().Owns(o, s.clock(s.hosts[n]))
		})
		if !owned {
			s.recordViolation("renewed: nobody owns %s", o)
		}
	}
}

// describe lists the hosts for the message of a failed run.
func (s *simulation) describe() string {
	out := ""
	for _, n := range s.names {
		h := s.hosts[n]
		out += fmt.Sprintf("\n%s dead %v version %d accepted %d settled %d draining %v permitted until %d at %d", h.member.Incarnation, h.killed,
			h.state.Record().Version, h.state.Accepted(), h.state.Settled(), h.state.Snapshot().Draining,
			h.state.PermittedUntil(), s.clock(h))
	}
	return out
}
