package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// evacuateBound is how long after the confirmation of an evacuation requests may still
	// reach servers in that data centre.
	evacuateBound = 5 * time.Second
	// warmupRate is what a cold server takes, in requests a second. It gets at most
	// warmupBound in any second: half as much again, and 5.
	warmupRate  = 3
	warmupBound = warmupRate*3/2 + 5
	// coldTime is how long the servers of the data centre that returns are cold.
	coldTime = 6 * time.Second
)

// evacuateSoak is the state of a soak in which data centres are evacuated.
type evacuateSoak struct {
	*soak
	faults *faultInjector
}

// RunEvacuating runs a soak in which a data centre is evacuated, all entry hosts are killed
// and the store does not answer meanwhile; it returns with cold servers while a host is
// killed and restarted, and while no host hears another. Then all data centres are evacuated.
func RunEvacuating(o Options) (Report, error) {
	e := &evacuateSoak{}
	setUp := func(s *soak) {
		e.soak = s
		e.faults = newFaultInjector(s, o.Program)
		s.env.operator.SetWarmup(warmupRate)
	}
	return run(o, setUp, func(*soak) { e.scenario() })
}

func (e *evacuateSoak) scenario() {
	ctx, stop := context.WithCancel(context.Background())
	e.load.start(ctx, e.options.Seed)
	for i := range limitCallers {
		e.load.wg.Go(func() { e.send(ctx, rand.New(rand.NewPCG(e.options.Seed, uint64(900+i)))) })
	}
	time.Sleep(limitEndBound)
	zone := e.env.allServers()[0].Zone()
	e.evacuateOne(zone)
	e.returnCold(zone)
	e.evacuateAll()
	stop()
	e.load.wg.Wait()
	e.faults.wg.Wait()
	e.checkEntryHosts()
	e.checkJobs()
}

// send sends requests until ctx ends.
func (e *evacuateSoak) send(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(limitPause)
		e.load.attempt(c, r, "e", standin.Resumable)
	}
}

// serversIn returns the servers of a data centre.
func (e *evacuateSoak) serversIn(zone string) []*server {
	var out []*server
	for _, v := range e.env.allServers() {
		if v.Zone() == zone {
			out = append(out, v)
		}
	}
	return out
}

// evacuate changes the evacuation of a data centre.
func (e *evacuateSoak) evacuate(zone string, evacuated bool) {
	e.recordFault("evacuation of %s: %t", zone, evacuated)
	if err := e.env.operator.Evacuate(context.Background(), zone, evacuated); err != nil {
		e.env.checker.report("an evacuation is written", "%s: %v", zone, err)
	}
}

// requireNothingSent reports requests that reach servers of a data centre in a span from now
// on, evacuateBound after its evacuation.
func (e *evacuateSoak) requireNothingSent(zone string, span time.Duration, during func()) {
	from := time.Now()
	during()
	time.Sleep(span)
	for _, v := range e.serversIn(zone) {
		if n := arrivedSince(v, from); n > 0 {
			e.env.checker.report("an evacuated server gets no requests", "%d requests reached %s", n, v.ID)
		}
	}
}

// arrivedSince returns the number of requests that reached a server from a time on.
func arrivedSince(v *server, from time.Time) int {
	n := 0
	for _, at := range v.Arrivals() {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

func (e *evacuateSoak) evacuateOne(zone string) {
	before := time.Now()
	time.Sleep(time.Second)
	for _, v := range e.serversIn(zone) {
		if arrivedSince(v, before) == 0 {
			e.env.checker.report("servers are used before the evacuation", "%s", v.ID)
		}
	}
	e.evacuate(zone, true)
	time.Sleep(evacuateBound)
	e.requireNothingSent(zone, 2*time.Second, func() {
		e.recordFault("kill all entry hosts")
		e.faults.restartEntryHosts()
		e.env.stallStore()
		time.Sleep(storeOutage)
		e.env.resumeStore()
	})
}

func (e *evacuateSoak) returnCold(zone string) {
	for _, v := range e.serversIn(zone) {
		v.SetCold(coldTime)
		if err := v.WriteEntry(context.Background(), false); err != nil {
			e.env.checker.report("an entry is written", "%s: %v", v.ID, err)
		}
	}
	from := time.Now()
	e.evacuate(zone, false)
	time.Sleep(coldTime / 3)
	e.recordFault("restart entry hosts, cut the hosts off from one another")
	e.faults.restartEntryHosts()
	for _, h := range e.env.hosts {
		h.peersProxy.set(stall{})
	}
	time.Sleep(time.Until(from.Add(coldTime)))
	end := time.Now()
	for _, h := range e.env.hosts {
		h.peersProxy.set(passThrough{})
	}
	for _, v := range e.serversIn(zone) {
		most := mostIn(v.Arrivals(), from, end, time.Second)
		e.recordFault("cold server %s: at most %d requests in a second, %d in all", v.ID, most, arrivedSince(v, from))
		if most > warmupBound {
			e.env.checker.report("a cold server gets no more than it takes", "%d requests in a second at %s; %d are allowed", most, v.ID, warmupBound)
		}
		if most == 0 {
			e.env.checker.report("load returns to cold servers", "%s got none in %v", v.ID, coldTime)
		}
	}
}

// evacuateAll evacuates all data centres, and cancels the evacuations.
func (e *evacuateSoak) evacuateAll() {
	time.Sleep(limitEndBound)
	zones := make(map[string]bool)
	for _, v := range e.env.allServers() {
		zones[v.Zone()] = true
	}
	for zone := range zones {
		e.evacuate(zone, true)
	}
	time.Sleep(evacuateBound)
	for zone := range zones {
		e.requireNothingSent(zone, time.Second/2, func() {})
	}
	for zone := range zones {
		e.evacuate(zone, false)
	}
	from := time.Now()
	time.Sleep(evacuateBound)
	for _, v := range e.env.allServers() {
		if arrivedSince(v, from) == 0 {
			e.env.checker.report("servers are used after an evacuation", "%s", v.ID)
		}
	}
}
