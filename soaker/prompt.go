package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// partThreshold is the number of server crashes after which a part of prompts must be
	// refused by every host within partBound, which is counted from the end of the store's
	// outage if that is later. At most maxLatePartCrashes crashes may follow.
	partThreshold      = 5
	partBound          = 3 * time.Second
	maxLatePartCrashes = 3
	// minSoundShare is the share of the sound requests with the same first part that must
	// be answered from twice partBound on, at hosts that are not disturbed.
	minSoundShare = 0.85
	// firstPart is the part with which all prompts begin.
	firstPart = "aaaa01"
	// soundInterval is the pause between two sound requests of one caller.
	soundInterval = 30 * time.Millisecond
)

// promptSoak is the state of a soak in which parts of prompts crash servers.
type promptSoak struct {
	*soak
	faults *faultInjector
	// storeBack is when the store answers again.
	storeBack time.Time

	mu      sync.Mutex
	crashes map[string][]time.Time
	// sound and answered count the sound requests that must be answered and that were.
	sound, answered int
}

// RunCrashingPrompts runs a soak in which two parts of prompts crash each server that
// begins to respond. Requests on two routes and batch items have them, no two alike. The
// store does not answer when the crashes begin; servers also crash for other reasons; and
// several times all entry hosts are killed at once and restarted.
func RunCrashingPrompts(o Options) (Report, error) {
	p := &promptSoak{crashes: make(map[string][]time.Time)}
	setUp := func(s *soak) {
		p.soak = s
		p.faults = newFaultInjector(s, o.Program)
		s.env.onCrash = p.onCrash
	}
	return run(o, setUp, func(*soak) { p.scenario() })
}

// onCrash records a crash and replaces the server.
func (p *promptSoak) onCrash(v *server, part string) bool {
	p.mu.Lock()
	p.crashes[part] = append(p.crashes[part], time.Now())
	n := len(p.crashes[part])
	p.mu.Unlock()
	p.recordFault("crash %d by part %s: server %s", n, part, v.ID)
	p.faults.wg.Go(func() { p.faults.replace(v, false) })
	return false
}

func (p *promptSoak) scenario() {
	step := p.options.FaultPeriod / (entryRestarts + 2)
	ctx, stop := context.WithCancel(context.Background())
	p.storeBack = time.Now().Add(storeOutage)
	p.env.stallStore()
	p.load.start(ctx, p.options.Seed)
	for i, part := range standin.CrashParts {
		route := []standin.Route{standin.Resumable, standin.Streaming}[i]
		p.load.wg.Go(func() { p.sendCrashing(ctx, rand.New(rand.NewPCG(p.options.Seed, uint64(400+i))), route, part) })
		p.load.wg.Go(func() { p.sendSound(ctx, rand.New(rand.NewPCG(p.options.Seed, uint64(500+i))), route) })
	}
	p.load.wg.Go(func() { p.submitCrashing(ctx, rand.New(rand.NewPCG(p.options.Seed, 600))) })
	time.Sleep(time.Until(p.storeBack))
	p.env.resumeStore()
	for range entryRestarts {
		p.crashOrdinarily()
		time.Sleep(step)
		p.recordFault("kill all entry hosts")
		p.faults.restartEntryHosts()
	}
	time.Sleep(step)
	stop()
	p.load.wg.Wait()
	p.faults.wg.Wait()
	p.check()
}

// crashOrdinarily crashes two servers at once, whatever runs on them.
func (p *promptSoak) crashOrdinarily() {
	for _, v := range p.env.allServers()[:2] {
		p.recordFault("crash server %s without a cause in a request", v.ID)
		v.setDisturbedUntil(time.Now())
		p.faults.wg.Go(func() { p.faults.replace(v, false) })
	}
}

// sendCrashing sends requests with a crashing part until ctx ends, no two alike.
func (p *promptSoak) sendCrashing(ctx context.Context, r *rand.Rand, route standin.Route, part string) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(crashInterval)
		p.load.attempt(c, r, "p", route, firstPart, subjectOf(r), part)
	}
}

// subjectOf returns a random part that few requests share.
func subjectOf(r *rand.Rand) string { return fmt.Sprintf("b%05x", r.IntN(300)) }

// sendSound sends requests without a crashing part until ctx ends, and counts those that
// must be answered.
func (p *promptSoak) sendSound(ctx context.Context, r *rand.Rand, route standin.Route) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(soundInterval)
		a, h, ok := p.load.attempt(c, r, "p", route, firstPart, subjectOf(r))
		if !ok || !p.mustBeAnswered(a, h) {
			continue
		}
		p.mu.Lock()
		p.sound++
		if a.Status == 200 && a.Err == nil {
			p.answered++
		}
		p.mu.Unlock()
	}
}

// mustBeAnswered reports whether an attempt was sent to an undisturbed host, with no server
// disturbed, after every host had to know all crashing parts.
func (p *promptSoak) mustBeAnswered(a standin.Attempt, h *host) bool {
	for _, part := range standin.CrashParts {
		known, ok := p.knownAt(part)
		if !ok || a.Sent.Before(known.Add(partBound)) {
			return false
		}
	}
	return h.undisturbedSince(a.Sent.Add(-hostSettleTime))
}

// knownAt returns when every host must have known a part, and false if too few servers
// have crashed under it.
func (p *promptSoak) knownAt(part string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.crashes[part]
	if len(list) == 0 {
		return time.Time{}, false
	}
	from := list[min(len(list), partThreshold)-1]
	if from.Before(p.storeBack) {
		from = p.storeBack
	}
	return from.Add(partBound), true
}

// submitCrashing submits jobs with a crashing part, which no check expects to end, until
// ctx ends.
func (p *promptSoak) submitCrashing(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(jobInterval)
		if address, _, ok := p.env.pickHost(r); ok {
			key, _ := p.env.pickKey(r, plainWorkspace)
			id := p.load.nextID("q")
			_, _ = c.Submit(ctx, address, standin.Job{ID: id, Key: key, Items: []string{id + "-0", id + "-1"}, Prompt: []string{firstPart, standin.CrashParts[0]}})
		}
	}
}

// check reports parts that crashed too many servers, and sound requests that were not
// answered.
func (p *promptSoak) check() {
	for _, part := range standin.CrashParts {
		known, ok := p.knownAt(part)
		late := 0
		for _, at := range p.crashes[part] {
			if at.After(known) {
				late++
			}
		}
		p.recordFault("part %s: %d crashes, %d of them late", part, len(p.crashes[part]), late)
		if !ok || late > maxLatePartCrashes {
			p.env.checker.report("a part of prompts that crashes servers is refused", "part %s: %d servers crashed, %d of them after every host should have known", part, len(p.crashes[part]), late)
		}
	}
	p.recordFault("%d of %d sound requests answered", p.answered, p.sound)
	if p.sound == 0 || float64(p.answered) < minSoundShare*float64(p.sound) {
		p.env.checker.report("sound requests are answered beside crashing ones", "%d of %d answered", p.answered, p.sound)
	}
	p.checkEntryHosts()
	p.checkJobs()
}
