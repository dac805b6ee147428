package picker_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// The simulated deployment. Its servers are spread evenly over the data centres. Times are in
// milliseconds.
const (
	simZones   = 3
	simServers = 60
	simSlots   = 8
	// simStep is the time of a step at pace 1 without other calls, in milliseconds; each
	// running call adds simSlope of it. A call reads its prompt in simPromptSteps steps and has
	// simMinEvents to simMaxEvents events: 0.7 s in all at half load.
	simStep, simSlope          = 20.0, 0.04
	simPromptSteps             = 4
	simMinEvents, simMaxEvents = 12, 44
	// simMeanLoad is the mean number of running calls, as a fraction of all slots.
	simMeanLoad = 0.45
	simCallTime = 700.0
	simPrompts  = 200
	simLength   = 48_000.0
	simWarmup   = 12_000.0
	simLoadStep = 3000.0
	simSample   = 50.0
	// simNear is the age of counts within a data centre, simFarMin and simFarMax bound that of
	// counts from other data centres.
	simNear                      = 10.0
	simFarMin, simFarMax         = 30.0, 60.0
	simSlowFactor, simSlowLength = 2.5, 600.0
	// simSlowPeriod is the mean time between two slow phases of a server.
	simSlowPeriod = 6000.0
	// simHitWindow is how long a server's cache keeps a prompt.
	simHitWindow = 5000.0
)

// simLoads are the steps of the load, as multiples of its mean.
var simLoads = []float64{1, 0.38, 1.84, 0.78}

// fleet is what varies between simulations.
type fleet struct {
	hosts int
	paces []float64
	slow  bool
}

type simEvent struct {
	at    float64
	order int
	do    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simServer struct {
	pace      float64
	slowUntil float64
	running   int
	waiting   []func()
	// prompts holds when each prompt was last read or found there.
	prompts map[int]float64
}

func (v *simServer) inFlight() int { return v.running + len(v.waiting) }

type simHost struct {
	zone     int
	picker   *picker.Picker
	comparer *comparer.Comparer
	// digestDue is set while a digest with the host's slowdowns is on the way.
	digestDue bool
}

// simulation runs callers, hosts and servers in virtual time.
type simulation struct {
	fleet fleet
	// random drives callers, links and servers, seeds the choices, so that the same load meets
	// any way to choose.
	random, seeds *rand.Rand
	clock         *harness.Clock
	now           float64
	order         int
	events        simQueue
	servers       []*simServer
	hosts         []*simHost
	// seen holds the calls of each host at each server as known in each data centre, sums
	// their totals there.
	seen [simZones][][]int
	sums [simZones][]int
	result
}

// result holds what a simulation measured.
type result struct {
	waits, ends []float64
	// calls counts the choices, misplaced those of a full server while another had two free
	// slots, hits those of a server with the prompt in its cache. excess sums how many calls
	// more than at the least loaded server were at the chosen one.
	calls, misplaced, hits, excess int
	// spread is the standard deviation of the calls in flight over the servers of one pace,
	// swing that of a server's calls over the second half of a load step; means over time
	// and servers.
	spread, swing float64
	// reports counts the servers in the slowdown reports of all digests.
	reports int
	byPace  map[float64]int
}

func simulate(f fleet) *result {
	s := &simulation{fleet: f, random: rand.New(rand.NewPCG(1, 2)), seeds: rand.New(rand.NewPCG(3, 4)), clock: &harness.Clock{}, result: result{byPace: make(map[float64]int)}}
	list := make([]cataloger.Server, simServers)
	for i := range list {
		list[i] = cataloger.Server{ID: fmt.Sprintf("s%02d", i), Service: "x", Slots: simSlots, DataCentre: fmt.Sprint(i % simZones)}
		s.servers = append(s.servers, &simServer{pace: f.paces[i/simZones%len(f.paces)], prompts: make(map[int]float64)})
	}
	snapshot := cataloger.Snapshot{}.WithServers(list)
	for z := range simZones {
		s.sums[z], s.seen[z] = make([]int, simServers), make([][]int, f.hosts)
	}
	for h := range f.hosts {
		s.addHost(h, snapshot)
	}
	s.arrive()
	if f.slow {
		for _, v := range s.servers {
			s.slowDown(v)
		}
	}
	s.sample(nil)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simLength {
			break
		}
		s.now, s.clock.Time = e.at, timer.Millis(e.at)
		e.do()
	}
	return &s.result
}

func (s *simulation) after(wait float64, do func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + wait, order: s.order, do: do})
}

func (s *simulation) measuring() bool { return s.now >= simWarmup }

func indexOf(id string) int { return int(id[1]-'0')*10 + int(id[2]-'0') }

func (s *simulation) addHost(h int, snapshot cataloger.Snapshot) {
	zone := h % simZones
	for z := range simZones {
		s.seen[z][h] = make([]int, simServers)
	}
	host := &simHost{zone: zone, comparer: comparer.New(s.clock, zap.NewNop())}
	host.picker = picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return snapshot },
		RemoteLoad: func(id string) gossiper.Load {
			i := indexOf(id)
			return gossiper.Load{Online: s.sums[zone][i] - s.seen[zone][h][i]}
		},
		Ejector: ejector.New(s.clock, zap.NewNop()), Leaving: func(cataloger.Incarnation) bool { return false }, Throttler: throttler.New(s.clock, zap.NewNop()),
		Seed: s.seed, Slowdown: host.comparer.Slowdown, OnChange: func() {}, DataCentre: fmt.Sprint(zone),
	})
	s.hosts = append(s.hosts, host)
}

// seed returns the seed of a choice, as a host does.
func (s *simulation) seed() uint64 {
	if s.fleet.hosts < gossiper.MinBundlingFleet {
		return 0
	}
	return s.seeds.Uint64() | 1
}

// load returns the load of a time as a multiple of the mean.
func load(at float64) float64 { return simLoads[int(at/simLoadStep)%len(simLoads)] }

// arrive starts the calls, with exponential times between them.
func (s *simulation) arrive() {
	perMillisecond := simMeanLoad * simServers * simSlots / simCallTime * load(s.now)
	s.after(s.random.ExpFloat64()/perMillisecond, func() {
		s.call(s.random.IntN(len(s.hosts)))
		s.arrive()
	})
}

// call sends a call from a host to the server that it picks.
func (s *simulation) call(h int) {
	// Squaring makes some prompts more frequent than others.
	x := s.random.Float64()
	prompt := int(x * x * simPrompts)
	r, err := s.hosts[h].picker.Pick("x", selector.Request{PromptPrefix: fmt.Sprint("prompt", prompt)})
	if err != nil {
		panic(err)
	}
	i := indexOf(r.Server.ID)
	v := s.servers[i]
	s.record(v, prompt)
	v.prompts[prompt] = s.now
	s.tell(h, i, 1)
	sent, events := s.now, simMinEvents+s.random.IntN(simMaxEvents-simMinEvents+1)
	run := func() {
		v.running++
		if s.measuring() {
			s.waits = append(s.waits, s.now-sent)
		}
		s.after(simPromptSteps*v.step(s.now), func() {
			s.stream(h, v, &stream{server: r.Server.ID, first: s.now, left: events - 1, events: 1, done: func() {
				if s.measuring() {
					s.ends = append(s.ends, s.now-sent)
				}
				r.Release()
				s.tell(h, i, -1)
			}})
		})
	}
	if v.running < simSlots {
		run()
		return
	}
	v.waiting = append(v.waiting, run)
}

// step returns the time of a step.
func (v *simServer) step(now float64) float64 {
	d := simStep * v.pace * (1 + simSlope*float64(v.running))
	if now < v.slowUntil {
		d *= simSlowFactor
	}
	return d
}

// stream is an answer under way.
type stream struct {
	server       string
	first        float64
	events, left int
	done         func()
}

// stream passes the events of an answer, and tells the host's Comparer of their rate when
// the relayer would.
func (s *simulation) stream(h int, v *simServer, a *stream) {
	const firstRateSample = 8
	observe := func() {
		s.hosts[h].comparer.Observe(comparer.Sample{Service: "x", Server: a.server, Events: a.events, Took: timer.Millis(s.now - a.first)})
	}
	if a.events == firstRateSample {
		observe()
	}
	if a.left > 0 {
		s.after(v.step(s.now), func() {
			a.events, a.left = a.events+1, a.left-1
			s.stream(h, v, a)
		})
		return
	}
	observe()
	v.running--
	if len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		next()
	}
	a.done()
}

// record measures the choice of a server before the call arrives there.
func (s *simulation) record(v *simServer, prompt int) {
	if !s.measuring() {
		return
	}
	least := math.MaxInt
	for _, o := range s.servers {
		least = min(least, o.inFlight())
	}
	s.calls++
	s.byPace[v.pace]++
	s.excess += v.inFlight() - least
	if v.inFlight() >= simSlots && least <= simSlots-2 {
		s.misplaced++
	}
	if at, ok := v.prompts[prompt]; ok && s.now-at < simHitWindow {
		s.hits++
	}
}

// tell tells the data centres of a change of a host's calls, and the other hosts of its
// slowdowns once the next digest leaves.
func (s *simulation) tell(h, server, change int) {
	host := s.hosts[h]
	for z := range simZones {
		s.after(s.delay(host.zone, z), func() {
			s.seen[z][h][server] += change
			s.sums[z][server] += change
		})
	}
	if host.digestDue {
		return
	}
	host.digestDue = true
	s.after(simNear, func() {
		host.digestDue = false
		r := host.comparer.Report()
		if len(r) == 0 {
			return
		}
		if s.measuring() {
			s.reports += len(r)
		}
		for z := range simZones {
			s.after(s.delay(host.zone, z)-simNear, func() {
				for _, o := range s.hosts {
					if o.zone == z && o != host {
						o.comparer.Merge(r)
					}
				}
			})
		}
	})
}

func (s *simulation) delay(from, to int) float64 {
	if from == to {
		return simNear
	}
	return simFarMin + s.random.Float64()*(simFarMax-simFarMin)
}

// slowDown makes a server slow for a while, again and again.
func (s *simulation) slowDown(v *simServer) {
	s.after(s.random.ExpFloat64()*simSlowPeriod, func() {
		v.slowUntil = s.now + simSlowLength
		s.slowDown(v)
	})
}

// sample measures the calls in flight at all servers every simSample. history holds those of
// the second half of the current load step.
func (s *simulation) sample(history [][]float64) {
	s.after(simSample, func() {
		if !s.measuring() {
			s.sample(nil)
			return
		}
		var loads []float64
		byPace := make(map[float64][]float64)
		for _, v := range s.servers {
			loads = append(loads, float64(v.inFlight()))
			byPace[v.pace] = append(byPace[v.pace], float64(v.inFlight()))
		}
		for _, l := range byPace {
			s.spread += deviation(l) / float64(len(byPace)) / ((simLength - simWarmup) / simSample)
		}
		if math.Mod(s.now, simLoadStep) >= simLoadStep/2 {
			history = append(history, loads)
		} else if len(history) > 0 {
			s.addSwing(history)
			history = nil
		}
		s.sample(history)
	})
}

func (s *simulation) addSwing(history [][]float64) {
	steps := (simLength - simWarmup) / simLoadStep
	for i := range s.servers {
		var l []float64
		for _, loads := range history {
			l = append(l, loads[i])
		}
		s.swing += deviation(l) / simServers / steps
	}
}

func deviation(list []float64) float64 {
	m, sum := mean(list), 0.0
	for _, x := range list {
		sum += (x - m) * (x - m)
	}
	return math.Sqrt(sum / float64(len(list)))
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func percentile95(list []float64) float64 {
	l := slices.Sorted(slices.Values(list))
	return l[len(l)*95/100]
}

func (r *result) share(n int) float64 { return 100 * float64(n) / float64(r.calls) }

// reportRate returns the servers in slowdown reports a second, over all hosts.
func (r *result) reportRate() float64 { return float64(r.reports) / ((simLength - simWarmup) / 1000) }

func (r *result) print(t *testing.T) {
	t.Logf("misplaced %.2f%%, excess %.2f, spread %.2f, swing %.2f, wait %.0f (95%%: %.0f) ms, completion %.0f (95%%: %.0f) ms, prompt hits %.0f%%, reports %.1f/s, by pace %v",
		r.share(r.misplaced), float64(r.excess)/float64(r.calls), r.spread, r.swing, mean(r.waits), percentile95(r.waits), mean(r.ends), percentile95(r.ends),
		r.share(r.hits), r.reportRate(), r.byPace)
}

// bounds are upper bounds of what a simulation measures: the share of misplaced calls in per
// cent, calls, milliseconds, and reports a second.
type bounds struct {
	misplaced, spread, swing, wait, wait95, end, end95, reports float64
}

func (r *result) require(t *testing.T, b bounds) {
	r.print(t)
	require.LessOrEqual(t, r.share(r.misplaced), b.misplaced, "calls went to full servers while others had two free slots")
	require.LessOrEqual(t, r.spread, b.spread, "servers of one pace have unlike numbers of calls")
	require.LessOrEqual(t, r.swing, b.swing, "the load of servers oscillates")
	require.LessOrEqual(t, mean(r.waits), b.wait)
	require.LessOrEqual(t, percentile95(r.waits), b.wait95)
	require.LessOrEqual(t, mean(r.ends), b.end)
	require.LessOrEqual(t, percentile95(r.ends), b.end95)
	require.LessOrEqual(t, r.reportRate(), b.reports, "hosts tell one another more of the servers' pace")
}

// Many hosts choose among the same servers by counts of one another's calls that are 10 to
// 60 ms old. Guards against herding, in which they overrun a server that looks empty, and
// against load that swings between servers.
func TestLoadIsBalancedWithStaleCounts(t *testing.T) {
	paces := []float64{0.7, 0.7, 1.7}
	for _, c := range []struct {
		name   string
		fleet  fleet
		bounds bounds
	}{
		{"three paces", fleet{hosts: 60, paces: paces, slow: true}, bounds{misplaced: 3.5, spread: 1, swing: 0.9, wait: 5, wait95: 5, end: 660, end95: 1460, reports: 150}},
		{"alike", fleet{hosts: 60, paces: []float64{1}}, bounds{misplaced: 8, spread: 1, swing: 0.9, wait: 12, wait95: 70, end: 770, end95: 1170}},
		{"alike, now and then slow", fleet{hosts: 60, paces: []float64{1}, slow: true}, bounds{misplaced: 11, spread: 1.1, swing: 0.95, wait: 24, wait95: 180, end: 840, end95: 1400, reports: 75}},
		{"small fleet", fleet{hosts: 18, paces: paces, slow: true}, bounds{misplaced: 8, spread: 1.35, swing: 1.08, wait: 18, wait95: 100, end: 650, end95: 1350, reports: 320}},
	} {
		t.Run(c.name, func(t *testing.T) { simulate(c.fleet).require(t, c.bounds) })
	}
}
