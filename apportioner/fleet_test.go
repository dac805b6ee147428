package apportioner_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
)

// The load of the tests: 85 workspaces with sizes by Zipf's law ask 48 servers of 8 slots,
// through 15 hosts, for calls that run for a second on average. Usually three quarters of the
// slots are taken.
const (
	hostCount   = 15
	serverCount = 48
	slots       = 8
	workspaces  = 85
	usualLoad   = 0.75 * serverCount * slots
	callTime    = 4 * timer.Second
	// quotaShare is the quota of a workspace as a multiple of its usual rate.
	quotaShare = 1.6
)

// event is something that happens at a time.
type event struct {
	at timer.Millis
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// host is one entry host.
type host struct {
	name        string
	rationer    *rationer.Rationer
	forecaster  *forecaster.Forecaster
	postponer   *postponer.Postponer
	apportioner *apportioner.Apportioner
	heard       map[string]timer.Millis
	// sent holds the counts of the last digest.
	sent map[string]uint64
}

// call is a call of a caller, and all its repetitions.
type call struct {
	workspace int
	began     timer.Millis
	rank      int
}

// server is a server with its queue.
type server struct {
	running int
	queue   []func()
}

// result counts what became of the calls of one workspace.
type result struct {
	calls, served, lost int
	waits               []float64
}

// fleet is a fleet in virtual time.
type fleet struct {
	clock   *harness.Clock
	random  *rand.Rand
	events  events
	hosts   []*host
	servers []*server
	results [workspaces]result
	// fair is set if shares are applied.
	fair bool
	// factor returns the load of a workspace as a multiple of its usual one, rank the class
	// of its calls, and cut reports whether the first third of the hosts is cut off.
	factor func(workspace int, at timer.Millis) float64
	rank   func(workspace int) int
	cut    func(at timer.Millis) bool
	// from is when counting begins.
	from timer.Millis
}

func newFleet(fair bool) *fleet {
	f := &fleet{
		clock: &harness.Clock{Time: 1000}, random: rand.New(rand.NewPCG(1, 2)), fair: fair,
		factor: func(int, timer.Millis) float64 { return 1 }, rank: func(int) int { return 0 }, cut: func(timer.Millis) bool { return false },
	}
	for i := range hostCount {
		f.hosts = append(f.hosts, &host{
			name: strconv.Itoa(i), rationer: rationer.New(f.clock), forecaster: forecaster.New(), postponer: postponer.New(f.clock),
			apportioner: apportioner.New(f.clock), heard: make(map[string]timer.Millis),
		})
	}
	for range serverCount {
		f.servers = append(f.servers, &server{})
	}
	return f
}

// usual returns the usual rate of a workspace in requests a second.
func usual(workspace int) float64 { return usualRates[workspace] }

var usualRates = func() (out [workspaces]float64) {
	sum := 0.0
	for k := range out {
		out[k] = math.Pow(float64(k+1), -1.2)
		sum += out[k]
	}
	for k := range out {
		out[k] *= usualLoad / sum
	}
	return out
}()

func quota(workspace int) rationer.Limit {
	return rationer.Limit{Rate: quotaShare * usual(workspace), Burst: 4 + 40*usual(workspace)}
}

func (f *fleet) after(d timer.Millis, do func()) {
	heap.Push(&f.events, event{at: f.clock.Time + d, do: do})
}

// run runs the fleet until a time.
func (f *fleet) run(until timer.Millis) {
	limits, levels := make(map[string]rationer.Limit), make(map[string]float64)
	for w := range workspaces {
		limits[strconv.Itoa(w)] = quota(w)
		levels[strconv.Itoa(w)] = quota(w).Burst
		f.arrive(w, usual(w))
	}
	for _, h := range f.hosts {
		h.rationer.Observe(limits)
		h.rationer.Inherit(levels)
		f.gossip(h)
	}
	f.continueUntil(until)
}

// continueUntil continues a run until a time.
func (f *fleet) continueUntil(until timer.Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.clock.Time = e.at
		e.do()
	}
}

// arrive schedules the next call of a workspace with this usual rate.
func (f *fleet) arrive(workspace int, rate float64) {
	// A step of the schedule is bounded, so that a burst begins in time.
	const step = 100 * timer.Millis(1)
	now := f.clock.Time
	if factor := f.factor(workspace, now); factor > 0 {
		if gap := timer.Millis(math.Round(f.random.ExpFloat64() / (rate * factor) * 1000)); gap <= step {
			f.after(gap, func() {
				f.begin(call{workspace: workspace, began: f.clock.Time, rank: f.rank(workspace)})
				f.arrive(workspace, rate)
			})
			return
		}
	}
	f.after(step, func() { f.arrive(workspace, rate) })
}

// gossip sends the digests of a host and updates what it knows, ten times a second.
func (f *fleet) gossip(from *host) {
	all := from.rationer.Spent()
	spent := maps.Clone(all)
	maps.DeleteFunc(spent, func(w string, n uint64) bool { return from.sent[w] == n })
	from.sent = all
	cut := f.cut(f.clock.Time)
	f.after(50, func() {
		for i, to := range f.hosts {
			if to != from && !(cut && (i < hostCount/3) != (slices.Index(f.hosts, from) < hostCount/3)) {
				to.rationer.Merge(from.name, "1", spent)
				to.heard[from.name] = f.clock.Time
			}
		}
	})
	var peers []rationer.Peer
	for _, h := range f.hosts {
		if h != from {
			peers = append(peers, rationer.Peer{Name: h.name, LastReceived: from.heard[h.name]})
		}
	}
	from.rationer.SetPeers(peers)
	uses, heard, hosts := from.rationer.Uses()
	list := make(map[string]apportioner.Use)
	for w, u := range uses {
		k, _ := strconv.Atoi(w)
		list[w] = apportioner.Use{First: f.rank(k), Last: f.rank(k), Weight: u.Limit.Rate, Own: u.Own, Fleet: u.Fleet}
	}
	from.apportioner.Update(list, apportioner.Hearing{Heard: heard, Hosts: hosts})
	f.after(100, func() { f.gossip(from) })
}

// begin takes a call, the first time, at any host.
func (f *fleet) begin(c call) {
	h := f.hosts[f.random.IntN(hostCount)]
	r := &f.results[c.workspace]
	name := strconv.Itoa(c.workspace)
	if c.began >= f.from && c.began == f.clock.Time {
		if !h.rationer.Admit(name, quota(c.workspace)).Admitted {
			return
		}
		r.calls++
	} else if !h.rationer.Admit(name, quota(c.workspace)).Admitted {
		f.lose(c)
		return
	}
	f.relay(h, c)
}

// lose counts a call that is not repeated any more.
func (f *fleet) lose(c call) {
	if c.began >= f.from {
		f.results[c.workspace].lost++
	}
}

// relay sends an admitted call to the server with the fewest calls, or refuses it.
func (f *fleet) relay(h *host, c call) {
	v := slices.MinFunc(f.servers, func(a, b *server) int { return a.running + len(a.queue) - b.running - len(b.queue) })
	input := forecaster.Call{Service: "svc", Ahead: v.running + len(v.queue), Slots: slots}
	p := h.forecaster.Predict(input)
	left := c.began + callTime - f.clock.Time
	retryAfter := timer.Millis(0)
	switch {
	case !p.EndsWithin(left):
		retryAfter = h.postponer.Postpone("queue", postponer.Opening{First: max(60, p.LateBy(left)), Rate: serverCount * slots, Hosts: hostCount, Left: left})
	case f.fair && p.Wait > 0:
		d := h.apportioner.Ask(apportioner.Call{Service: "svc", Workspace: strconv.Itoa(c.workspace), Rank: c.rank, Slots: serverCount * slots, Run: h.forecaster.Predict(forecaster.Call{Service: "svc"}).End, Wait: p.Wait})
		if !d.Admitted {
			retryAfter = h.postponer.Postpone(strconv.Itoa(c.workspace), postponer.Opening{First: max(60, d.RetryAfter), Rate: d.Rate, Hosts: 1, Left: left})
		}
	}
	if retryAfter > 0 {
		h.rationer.Refund(strconv.Itoa(c.workspace))
		if retryAfter > postponer.CallerPatience(left) {
			f.lose(c)
			return
		}
		f.after(retryAfter, func() { f.begin(c) })
		return
	}
	sent := f.clock.Time
	start := func() {
		run := timer.Millis(500 + f.random.IntN(1000))
		waited := f.clock.Time - sent
		v.running++
		f.after(run, func() {
			v.running--
			h.forecaster.Observe(forecaster.Sample{Call: input, First: waited + 30, Run: run - 30, Full: input.Ahead >= slots})
			if len(v.queue) > 0 {
				next := v.queue[0]
				v.queue = v.queue[1:]
				next()
			}
		})
		if c.began >= f.from {
			f.results[c.workspace].served++
			f.results[c.workspace].waits = append(f.results[c.workspace].waits, float64(f.clock.Time-c.began))
		}
	}
	if v.running < slots {
		start()
		return
	}
	v.queue = append(v.queue, start)
}

// summary is what became of the calls of some workspaces.
type summary struct {
	calls, lost int
	// served is in calls a second.
	served float64
	// lostShare is the part of the calls that was lost, p95 the time until a slot that all
	// but one in twenty of those served had, in milliseconds.
	lostShare, p95 float64
}

func (s summary) String() string {
	return fmt.Sprintf("%.0f calls/s served, %.2f%% lost, p95 until a slot %.0f ms", s.served, 100*s.lostShare, s.p95)
}

// summarize returns what became of the calls of the workspaces that match.
func (f *fleet) summarize(match func(workspace int) bool) summary {
	var s summary
	var waits []float64
	served := 0
	for w, r := range f.results {
		if match(w) {
			s.calls, s.lost = s.calls+r.calls, s.lost+r.lost
			served += r.served
			waits = append(waits, r.waits...)
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		s.p95 = waits[len(waits)*95/100]
	}
	s.served = float64(served) * 1000 / float64(f.clock.Time-f.from)
	s.lostShare = float64(s.lost) / float64(max(1, s.calls))
	return s
}
