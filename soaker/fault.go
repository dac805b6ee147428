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
	// faultGap is the mean time between two faults that begin.
	faultGap = 450 * time.Millisecond
	// stopReload is how long after its stop began a process is told to reload.
	stopReload = 700 * time.Millisecond
	// wipeGap is the least time between the loss of two disks.
	wipeGap = 10 * time.Second
)

// troubler makes faults by its random numbers until its context ends. Faults
// overlap, except that at most one disk is lost within wipeGap.
type troubler struct {
	world   *world
	program string
	random  *rand.Rand
	note    func(format string, arguments ...any)
	running sync.WaitGroup

	mu sync.Mutex
	// busy are hosts and servers that a fault has to itself.
	busy  map[string]bool
	wiped time.Time
}

// take claims a host or server for one fault.
func (t *troubler) take(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[name] {
		return false
	}
	t.busy[name] = true
	return true
}

func (t *troubler) release(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, name)
}

// run makes faults until ctx ends, and waits until all have healed.
func (t *troubler) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.begin(t.random.IntN(12), t.random.Uint64())
		wait := time.Duration(t.random.ExpFloat64() * float64(faultGap))
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 4*faultGap)):
		}
	}
	t.running.Wait()
}

// begin begins one fault of a kind. Its own random numbers do not depend on what
// else goes on.
func (t *troubler) begin(kind int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	h := t.world.hosts[r.IntN(len(t.world.hosts))]
	span := time.Duration(200+r.IntN(4000)) * time.Millisecond
	switch kind {
	case 0, 1:
		t.atHost(h, "kill", func() { t.kill(h, r.IntN(3) == 0, span/4) })
	case 2, 3:
		t.atHost(h, "pause", func() { t.pause(h, span) })
	case 4:
		t.atHost(h, "stop", func() { t.stop(h) })
	case 5:
		// A reload may come at any moment of another fault.
		t.note("reload %s", h.name)
		h.signal(syscall.SIGHUP)
	case 6, 7:
		t.atHost(h, "store-cut", func() { t.disturb(h.store, r, span) })
	case 8:
		t.atStore(r, span)
	case 9, 10:
		t.atServer(r, span)
	case 11:
		t.running.Go(func() { t.change(r) })
	}
}

// atHost runs a fault that has a host to itself.
func (t *troubler) atHost(h *host, what string, do func()) {
	if !t.take(h.name) {
		return
	}
	t.note("%s %s", what, h.name)
	t.running.Go(func() {
		defer t.release(h.name)
		do()
	})
}

func (t *troubler) start(h *host) {
	if err := h.start(t.program, func(err error) { t.world.judge.breaks("processes do not end by themselves", "%s: %v", h.name, err) }); err != nil {
		t.world.judge.breaks("the soak starts processes", "%s: %v", h.name, err)
	}
}

// kill ends a process at once and starts it again, perhaps with an empty disk.
func (t *troubler) kill(h *host, wipe bool, down time.Duration) {
	h.kill()
	if wipe && h.role == bulkRole && t.mayWipe() {
		t.note("wipe %s", h.name)
		if err := emptyDisk(h); err != nil {
			t.world.judge.breaks("the soak empties disks", "%s: %v", h.name, err)
		}
	}
	time.Sleep(down)
	t.start(h)
}

func (t *troubler) mayWipe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.wiped) < wipeGap {
		return false
	}
	t.wiped = time.Now()
	return true
}

func (t *troubler) pause(h *host, span time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.Sleep(span)
	h.signal(syscall.SIGCONT)
}

// stop ends a process gracefully, with reloads that come meanwhile, and starts it
// again.
func (t *troubler) stop(h *host) {
	t.running.Go(func() {
		time.Sleep(stopReload)
		h.signal(syscall.SIGHUP)
	})
	if !h.stop() {
		t.world.judge.breaks("a process that is told to stop ends within its grace", "%s", h.name)
	}
	t.start(h)
}

// disturb disturbs connections for a while.
func (t *troubler) disturb(p *proxy, r *rand.Rand, span time.Duration) {
	kinds := []disturbance{silence{}, oneWay{}, reset{}, delay{by: time.Duration(20+r.IntN(300)) * time.Millisecond}}
	p.set(kinds[r.IntN(len(kinds))])
	time.Sleep(span)
	p.set(none{})
}

// atStore troubles the store for all.
func (t *troubler) atStore(r *rand.Rand, span time.Duration) {
	if !t.take("store") {
		return
	}
	what := r.IntN(3)
	t.note("store %d", what)
	t.running.Go(func() {
		defer t.release("store")
		switch what {
		case 0:
			t.world.ledger.SetAway(true)
			time.Sleep(span)
			t.world.ledger.SetAway(false)
		case 1:
			t.world.ledger.LoseAnswers(3)
		case 2:
			t.world.ledger.Forget()
		}
	})
}

// atServer troubles one backend server, if others are left.
func (t *troubler) atServer(r *rand.Rand, span time.Duration) {
	list := t.world.allServers()
	s := list[r.IntN(len(list))]
	what := r.IntN(4)
	if !t.take("server") {
		return
	}
	t.note("server %s %d", s.ID, what)
	t.running.Go(func() {
		defer t.release("server")
		s.disturbed(time.Now().Add(time.Hour))
		switch what {
		case 0:
			t.replace(s, false)
		case 1:
			t.replace(s, true)
		case 2:
			thaw := s.Freeze()
			time.Sleep(span)
			thaw()
		case 3:
			t.disturb(s.proxy, r, span)
		}
		s.disturbed(time.Now())
	})
}

// drainTime is how long a server goes on after it said that it leaves.
const drainTime = 3 * time.Second

// replace ends a server, after it said so or not, and adds another one.
func (t *troubler) replace(s *server, announced bool) {
	ctx := context.Background()
	if announced {
		// Without the entry, as while the store is away, it just leaves late.
		_ = s.Announce(ctx, true)
		time.Sleep(drainTime)
	}
	s.Crash()
	t.world.removeServer(s)
	time.Sleep(500 * time.Millisecond)
	until(func() bool { return s.Forget(ctx) == nil })
	if err := t.world.addServer(ctx); err != nil {
		until(func() bool { return t.world.allServers()[len(t.world.allServers())-1].Announce(ctx, false) == nil })
	}
	s.proxy.close()
}

// until tries again until done, for as long as the store may be away.
func until(done func() bool) {
	for range 100 {
		if done() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// change withdraws a key or rewrites the configuration.
func (t *troubler) change(r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), recoverWithin)
	defer cancel()
	workspace := []string{plain, greedy}[r.IntN(2)]
	if r.IntN(3) > 0 {
		t.note("withdraw a key of %s", workspace)
		if err := t.world.withdraw(ctx, workspace); err != nil {
			t.world.judge.breaks("the soak writes configurations", "%v", err)
		}
		return
	}
	t.note("add a key of %s", workspace)
	t.world.addKey(workspace)
	if err := t.world.configure(ctx); err != nil {
		t.world.judge.breaks("the soak writes configurations", "%v", err)
	}
}

// describe says which seed and step a note belongs to.
func describe(began time.Time, format string, arguments ...any) string {
	return fmt.Sprintf("%6.2f s %s", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
}
