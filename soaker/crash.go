package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// crashInterval is the pause between two attempts of the call that crashes
	// servers.
	crashInterval = 200 * time.Millisecond
	// quarantineThreshold is the number of server crashes after which a call is
	// quarantined. Every host must apply the quarantine within quarantineBound of
	// the last of these crashes. At most maxLateCrashes crashes may follow after that.
	quarantineThreshold = 3
	quarantineBound     = 3 * time.Second
	maxLateCrashes      = 3
	// entryRestarts is how many times all entry hosts are killed and restarted.
	entryRestarts = 3
)

// crashLog holds the times at which one call crashed a server. It is safe for
// concurrent use.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

// add records a crash and returns the number of crashes so far.
func (c *crashLog) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
	return len(c.times)
}

// counts returns the number of all crashes and of those after every host should
// have known of the quarantine.
func (c *crashLog) counts() (total, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.times {
		if i >= quarantineThreshold && at.Sub(c.times[quarantineThreshold-1]) > quarantineBound {
			late++
		}
	}
	return len(c.times), late
}

// RunCrashing runs a soak in which one call crashes each server that runs it, by
// turns before and after the first event of the response. The call is repeated at
// random hosts. Several times, all entry hosts are killed at once and restarted.
// Other load continues meanwhile.
func RunCrashing(o Options) (Report, error) {
	var c crashLog
	var f *faultInjector
	setUp := func(s *soak) {
		f = newFaultInjector(s, o.Program)
		s.env.onCrash = func(v *server, _ string) bool {
			n := c.add()
			s.recordFault("crash %d: server %s", n, v.ID)
			f.wg.Go(func() { f.replace(v, false) })
			return n%2 == 0
		}
	}
	return run(o, setUp, func(s *soak) { s.crashScenario(f, &c) })
}

// crashScenario generates load, restarts all entry hosts several times, and checks
// how many servers crashed.
func (s *soak) crashScenario(f *faultInjector, c *crashLog) {
	loadCtx, stopLoad := context.WithCancel(context.Background())
	s.load.start(loadCtx, s.options.Seed)
	s.load.wg.Go(func() { s.load.sendCrashingCalls(loadCtx, rand.New(rand.NewPCG(s.options.Seed, 300))) })
	for range entryRestarts {
		time.Sleep(s.options.FaultPeriod / (entryRestarts + 1))
		s.recordFault("kill all entry hosts")
		f.restartEntryHosts()
	}
	time.Sleep(s.options.FaultPeriod / (entryRestarts + 1))
	stopLoad()
	s.load.wg.Wait()
	f.wg.Wait()
	total, late := c.counts()
	if total < quarantineThreshold || late > maxLateCrashes {
		s.env.checker.report("a call that crashes servers is quarantined", "%d servers crashed, %d of them after every host should have known", total, late)
	}
	s.checkEntryHosts()
	s.checkJobs()
}

// restartEntryHosts kills all entry hosts at once and starts them again.
func (f *faultInjector) restartEntryHosts() {
	for _, h := range f.env.hosts {
		if h.role == entryRole {
			h.kill()
		}
	}
	for _, h := range f.env.hosts {
		if h.role == entryRole {
			f.start(h)
		}
	}
}

// sendCrashingCalls repeats the call that crashes servers until ctx ends. Its
// attempts differ in their identifiers, keys and addresses only.
func (g *loadGenerator) sendCrashingCalls(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(crashInterval)
		address, _, ok := g.env.pickHost(r)
		if !ok {
			continue
		}
		key, _ := g.env.pickKey(r, plainWorkspace)
		a := standin.Attempt{ID: g.nextID("c"), Key: key, Address: address, Route: standin.Resumable, Path: standin.Resumable.Prefix + standin.CrashPath}
		a = c.Do(context.Background(), a, []byte(standin.CrashPath), callTimeout)
		if a.Status == 0 {
			g.env.avoid(address)
		}
	}
}
