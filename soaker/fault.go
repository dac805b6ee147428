package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 450 * time.Millisecond
	// reloadDelay is how long after SIGTERM a stopping process gets a SIGHUP.
	reloadDelay = 700 * time.Millisecond
	// minWipeInterval is the minimum time between two disk losses.
	minWipeInterval = 10 * time.Second
)

// faultInjector injects random faults until its context ends. Faults may overlap,
// but at most one disk is lost within minWipeInterval.
type faultInjector struct {
	env     *environment
	program string
	rng     *rand.Rand
	record  func(format string, arguments ...any)
	wg      sync.WaitGroup

	mu sync.Mutex
	// claimed holds the targets that are reserved for a running fault: names of
	// hosts, "store", and "server" for any backend server.
	claimed  map[string]bool
	lastWipe time.Time
}

// newFaultInjector returns a faultInjector that starts hosts with the given program.
func newFaultInjector(s *soak, program string) *faultInjector {
	return &faultInjector{
		env: s.env, program: program, rng: rand.New(rand.NewPCG(s.options.Seed, 1)), record: s.recordFault, claimed: make(map[string]bool),
	}
}

// claim reserves a target for one fault. It returns false if another fault has it.
func (f *faultInjector) claim(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimed[name] {
		return false
	}
	f.claimed[name] = true
	return true
}

func (f *faultInjector) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimed, name)
}

// run injects faults until ctx ends, and then waits until all of them have healed.
func (f *faultInjector) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		f.inject(f.rng.IntN(14), f.rng.Uint64())
		if n%faultsPerOddEntry == 0 {
			f.injectOddEntries(n)
		}
		wait := time.Duration(f.rng.ExpFloat64() * float64(meanFaultInterval))
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 4*meanFaultInterval)):
		}
	}
	f.wg.Wait()
}

// inject starts one fault of the given kind. Its parameters are drawn from seed
// alone, so that they do not depend on concurrent faults.
func (f *faultInjector) inject(kind int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	h := f.env.hosts[r.IntN(len(f.env.hosts))]
	span := time.Duration(200+r.IntN(4000)) * time.Millisecond
	switch kind {
	case 0, 1:
		f.injectAtHost(h, "kill", func() { f.kill(h, r.IntN(3) == 0, span/4) })
	case 2, 3:
		f.injectAtHost(h, "pause", func() { f.pause(h, span) })
	case 4:
		f.injectAtHost(h, "stop", func() { f.stop(h) })
	case 5:
		// A reload may come at any moment, also during another fault on the host.
		f.record("reload %s", h.name)
		h.signal(syscall.SIGHUP)
	case 6, 7:
		f.injectAtHost(h, "store-cut", func() { f.disturb(h.storeProxy, r, span) })
	case 8:
		f.injectAtStore(r, span)
	case 9, 10:
		f.injectAtServer(r, span)
	case 11:
		f.wg.Go(func() { f.changeConfiguration(r) })
	case 12, 13:
		f.injectAtHost(h, "peers-cut", func() { f.disturb(h.peersProxy.proxy, r, span) })
	}
}

// injectAtHost runs a fault in the background, unless another fault has claimed the
// host.
func (f *faultInjector) injectAtHost(h *host, kind string, fault func()) {
	if !f.claim(h.name) {
		return
	}
	f.record("%s %s", kind, h.name)
	f.wg.Go(func() {
		defer f.release(h.name)
		fault()
	})
}

func (f *faultInjector) start(h *host) {
	if err := h.start(f.program, func(err error) { f.env.checker.report("processes do not exit on their own", "%s: %v", h.name, err) }); err != nil {
		f.env.checker.report("the soak starts processes", "%s: %v", h.name, err)
	}
}

// kill kills a process and restarts it after the given downtime. If wipe is set,
// the disk of a bulk host is emptied first, unless another disk was lost within
// minWipeInterval.
func (f *faultInjector) kill(h *host, wipe bool, down time.Duration) {
	h.kill()
	if wipe && h.role == bulkRole && f.mayWipe() {
		f.record("wipe %s", h.name)
		if err := emptyDisk(h); err != nil {
			f.env.checker.report("the soak empties disks", "%s: %v", h.name, err)
		}
	}
	time.Sleep(down)
	f.start(h)
}

func (f *faultInjector) mayWipe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastWipe) < minWipeInterval {
		return false
	}
	f.lastWipe = time.Now()
	return true
}

func (f *faultInjector) pause(h *host, span time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.Sleep(span)
	h.signal(syscall.SIGCONT)
}

// stop stops a process gracefully, sends it a reload signal meanwhile, and restarts
// it.
func (f *faultInjector) stop(h *host) {
	f.wg.Go(func() {
		time.Sleep(reloadDelay)
		h.signal(syscall.SIGHUP)
	})
	f.restart(h)
}

// restart stops a process gracefully and starts it again.
func (f *faultInjector) restart(h *host) {
	if !h.stop() {
		f.env.checker.report("a process exits within the grace period after SIGTERM", "%s", h.name)
	}
	f.start(h)
}

// disturb disturbs the connections through p for the given span.
func (f *faultInjector) disturb(p *proxy, r *rand.Rand, span time.Duration) {
	kinds := []disturbance{stall{}, stallReplies{}, reset{}, delay{by: time.Duration(20+r.IntN(300)) * time.Millisecond}}
	p.set(kinds[r.IntN(len(kinds))])
	time.Sleep(span)
	p.set(passThrough{})
}

// injectAtStore starts a store fault that affects all hosts, unless one is running.
func (f *faultInjector) injectAtStore(r *rand.Rand, span time.Duration) {
	if !f.claim("store") {
		return
	}
	kind := r.IntN(3)
	f.record("store %d", kind)
	f.wg.Go(func() {
		defer f.release("store")
		switch kind {
		case 0:
			f.env.ledger.SetUnavailable(true)
			time.Sleep(span)
			f.env.ledger.SetUnavailable(false)
		case 1:
			f.env.ledger.LoseAnswers(3)
		case 2:
			f.env.ledger.Compact()
		}
	})
}

// injectAtServer starts a fault at a random backend server, unless one is running,
// so that at most one backend server has a fault at a time.
func (f *faultInjector) injectAtServer(r *rand.Rand, span time.Duration) {
	list := f.env.allServers()
	s := list[r.IntN(len(list))]
	kind := r.IntN(4)
	if !f.claim("server") {
		return
	}
	f.record("server %s %d", s.ID, kind)
	f.wg.Go(func() {
		defer f.release("server")
		s.setDisturbedUntil(time.Now().Add(time.Hour))
		switch kind {
		case 0:
			f.replace(s, false)
		case 1:
			f.replace(s, true)
		case 2:
			unfreeze := s.Freeze()
			time.Sleep(span)
			unfreeze()
		case 3:
			f.disturb(s.proxy, r, span)
		}
		s.setDisturbedUntil(time.Now())
	})
}

// drainPeriod is how long a server keeps running after it announced that it is
// draining.
const drainPeriod = 3 * time.Second

// replace crashes a server and adds another one. If announced is set, the server
// first announces that it is draining and runs on for drainPeriod.
func (f *faultInjector) replace(s *server, announced bool) {
	ctx := context.Background()
	if announced {
		// The entry is not written while the store is unavailable. Hosts then
		// detect late that the server is draining.
		_ = s.WriteEntry(ctx, true)
		time.Sleep(drainPeriod)
	}
	s.Crash()
	f.env.removeServer(s)
	time.Sleep(500 * time.Millisecond)
	retry(func() bool { return s.RemoveEntry(ctx) == nil })
	if err := f.env.addServer(ctx); err != nil {
		retry(func() bool { return f.env.allServers()[len(f.env.allServers())-1].WriteEntry(ctx, false) == nil })
	}
	s.proxy.close()
}

// retry calls done until it returns true, at most 100 times. It waits 100 ms after
// each, which is longer in total than a store fault lasts.
func retry(done func() bool) {
	for range 100 {
		if done() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// changeConfiguration replaces the oldest key of a workspace, or adds a key.
func (f *faultInjector) changeConfiguration(r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryBound)
	defer cancel()
	workspace := []string{plainWorkspace, greedyWorkspace}[r.IntN(2)]
	if r.IntN(3) > 0 {
		f.record("withdraw a key of %s", workspace)
		if err := f.env.withdrawKey(ctx, workspace); err != nil {
			f.env.checker.report("the soak writes configurations", "%v", err)
		}
		return
	}
	f.record("add a key of %s", workspace)
	f.env.addKey(workspace)
	if err := f.env.configure(ctx); err != nil {
		f.env.checker.report("the soak writes configurations", "%v", err)
	}
}

// formatFault formats a message, prefixed with the time since the soak started.
func formatFault(startedAt time.Time, format string, arguments ...any) string {
	return fmt.Sprintf("%6.2f s %s", time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}
