package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// limitSettleTime is the time after which a server's limit must be kept, limitWindow
	// the span in which requests are counted. Within it, limitSlack requests more than the
	// limit allows may arrive: those that were saved up or under way.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitSlack      = 5
	// limitEndBound is the time after which a server whose limit has ended must be used
	// as before.
	limitEndBound = 2 * time.Second
	// limitCallers is the number of callers whose requests are counted by phase,
	// limitPause the pause between two requests of one.
	limitCallers = 6
	limitPause   = 40 * time.Millisecond
	// minServedShare is the share of these requests that must be answered while half of
	// the servers have no limit.
	minServedShare = 0.9
)

// limitSoak is the state of a soak in which servers name limits.
type limitSoak struct {
	*soak
	faults *faultInjector
	phase  time.Duration

	mu sync.Mutex
	// named are the limits that servers named, in the order of their beginnings.
	named []namedLimit
	// asked and answered count the requests of the current phase.
	asked, answered int
}

// namedLimit is a limit of a server in a span.
type namedLimit struct {
	server      *server
	rate        float64
	from, until time.Time
}

// RunLimited runs a soak in which servers name limits: half of them, all of them while the
// store does not answer and all entry hosts are killed, tighter ones while servers are
// replaced and a host stands still and while no host hears another, and none in the end.
func RunLimited(o Options) (Report, error) {
	l := &limitSoak{phase: o.FaultPeriod / 4}
	setUp := func(s *soak) {
		l.soak = s
		l.faults = newFaultInjector(s, o.Program)
	}
	return run(o, setUp, func(*soak) { l.scenario() })
}

func (l *limitSoak) scenario() {
	ctx, stop := context.WithCancel(context.Background())
	l.load.start(ctx, l.options.Seed)
	for i := range limitCallers {
		l.load.wg.Go(func() { l.send(ctx, rand.New(rand.NewPCG(l.options.Seed, uint64(700+i)))) })
	}
	time.Sleep(limitEndBound)
	l.limitSome()
	l.limitAll()
	l.tighten()
	l.cutHosts()
	l.endLimits()
	stop()
	l.load.wg.Wait()
	l.faults.wg.Wait()
	l.check()
}

// send sends requests until ctx ends and counts them.
func (l *limitSoak) send(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(limitPause)
		if a, _, ok := l.load.attempt(c, r, "l", standin.Resumable); ok {
			l.count(a)
		}
	}
}

func (l *limitSoak) count(a standin.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if a.Status == http.StatusOK && a.Err == nil {
		l.answered++
	}
}

// takeCounts returns the counts of the current phase and begins the next one.
func (l *limitSoak) takeCounts() (asked, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, answered = l.asked, l.answered
	l.asked, l.answered = 0, 0
	return asked, answered
}

// nameLimit makes a server name a limit, or none if rate is zero.
func (l *limitSoak) nameLimit(v *server, rate float64) {
	now := time.Now()
	for i := range l.named {
		if n := &l.named[i]; n.server == v && n.until.IsZero() {
			n.until = now
		}
	}
	if rate == 0 {
		v.NameLimit("")
		return
	}
	v.NameLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	l.named = append(l.named, namedLimit{server: v, rate: rate, from: now})
	l.recordFault("server %s names %g requests a second", v.ID, rate)
}

// limitSome limits half of the servers. The others have room for all requests.
func (l *limitSoak) limitSome() {
	servers := l.env.allServers()
	for _, v := range servers[:len(servers)/2] {
		l.nameLimit(v, 3)
	}
	time.Sleep(limitSettleTime)
	l.takeCounts()
	time.Sleep(l.phase)
	asked, answered := l.takeCounts()
	l.recordFault("%d of %d requests answered while half of the servers have no limit", answered, asked)
	if asked == 0 || float64(answered) < minServedShare*float64(asked) {
		l.env.checker.report("calls go where there is room", "%d of %d requests answered while half of the servers have no limit", answered, asked)
	}
}

// limitAll limits all servers while the store does not answer, and kills all entry hosts.
func (l *limitSoak) limitAll() {
	l.env.stallStore()
	for _, v := range l.env.allServers() {
		l.nameLimit(v, 2)
	}
	time.Sleep(storeOutage)
	l.env.resumeStore()
	time.Sleep(l.phase / 2)
	l.recordFault("kill all entry hosts")
	l.faults.restartEntryHosts()
	time.Sleep(l.phase)
	asked, answered := l.takeCounts()
	l.recordFault("%d of %d requests answered while all servers have a limit", answered, asked)
}

// tighten lowers all limits, replaces two servers and suspends an entry host.
func (l *limitSoak) tighten() {
	servers := l.env.allServers()
	for i, v := range servers {
		l.nameLimit(v, []float64{0.4, 1}[i%2])
	}
	for i, v := range servers[:2] {
		l.recordFault("replace server %s", v.ID)
		l.faults.wg.Go(func() { l.faults.replace(v, i == 0) })
	}
	h := l.env.hosts[0]
	l.recordFault("suspend %s", h.name)
	h.signal(syscall.SIGSTOP)
	time.Sleep(l.phase / 4)
	h.signal(syscall.SIGCONT)
	time.Sleep(limitSettleTime + l.phase)
}

// cutHosts cuts all hosts off from one another, but neither from the store nor from the
// servers, whose limits change meanwhile.
func (l *limitSoak) cutHosts() {
	for _, v := range l.env.allServers() {
		l.nameLimit(v, 3)
	}
	time.Sleep(limitSettleTime)
	l.recordFault("cut the hosts off from one another")
	for _, h := range l.env.hosts {
		h.peersProxy.set(stall{})
	}
	time.Sleep(l.phase / 2)
	for _, v := range l.env.allServers() {
		l.nameLimit(v, 1)
	}
	l.takeCounts()
	time.Sleep(limitSettleTime + l.phase)
	asked, answered := l.takeCounts()
	l.recordFault("%d of %d requests answered while no host hears another", answered, asked)
	for _, h := range l.env.hosts {
		h.peersProxy.set(passThrough{})
	}
	time.Sleep(limitSettleTime)
}

// endLimits ends all limits and checks that the servers are used again.
func (l *limitSoak) endLimits() {
	for _, v := range l.env.allServers() {
		l.nameLimit(v, 0)
	}
	ended := time.Now()
	time.Sleep(limitEndBound)
	// A server with a limit of 0.4 is asked every 2.5 s.
	time.Sleep(time.Second)
	l.takeCounts()
	time.Sleep(l.phase / 2)
	asked, answered := l.takeCounts()
	l.recordFault("%d of %d requests answered after the limits ended", answered, asked)
	if asked == 0 || float64(answered) < minServedShare*float64(asked) {
		l.env.checker.report("a limit that ended is forgotten", "%d of %d requests answered from %v after the end of all limits on", answered, asked, time.Since(ended))
	}
}

// check reports servers to which too many requests came.
func (l *limitSoak) check() {
	for _, n := range l.named {
		if n.until.IsZero() {
			n.until = time.Now()
		}
		most := mostIn(n.server.Arrivals(), n.from.Add(limitSettleTime), n.until, limitWindow)
		allowed := int(n.rate*limitWindow.Seconds()) + limitSlack
		l.recordFault("server %s at %g requests a second: at most %d in %v", n.server.ID, n.rate, most, limitWindow)
		if most > allowed {
			l.env.checker.report("a server gets no more than the limit that it names", "%d requests in %v at %s, which named %g a second; %d are allowed",
				most, limitWindow, n.server.ID, n.rate, allowed)
		}
	}
	l.checkEntryHosts()
	l.checkJobs()
}

// mostIn returns the highest number of arrivals in a window between two times.
func mostIn(arrivals []time.Time, from, until time.Time, window time.Duration) int {
	best, first := 0, 0
	for i, at := range arrivals {
		if at.Before(from) || at.After(until) {
			first = i + 1
			continue
		}
		for !arrivals[first].After(at.Add(-window)) {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}
