package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// crashGap is the time between two attempts of the call that crashes servers.
	crashGap = 200 * time.Millisecond
	// crashesToRefuse is how many servers may end under a call before it is known,
	// knownAfter after how long every host must know, and retriesMost how many end
	// then at most.
	crashesToRefuse = 3
	knownAfter      = 3 * time.Second
	retriesMost     = 3
	// kills is how often all entry hosts are killed.
	kills = 3
)

// crashes has when servers ended under one call.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// add notes a crash and returns how many there were.
func (c *crashes) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	return len(c.at)
}

// retries are the crashes after all hosts should have known.
func (c *crashes) retries() (total, retries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.at {
		if i >= crashesToRefuse && at.Sub(c.at[crashesToRefuse-1]) > knownAfter {
			retries++
		}
	}
	return len(c.at), retries
}

// RunCrashing makes a soak in which one call crashes each server that runs it, before
// or after its first event, and comes again and again at any host. All entry hosts
// are killed at once and start again, a few times. Other load goes on.
func RunCrashing(o Options) (Report, error) {
	var c crashes
	var t *troubler
	ready := func(s *soak) {
		t = &troubler{world: s.world, program: o.Program, note: s.note, busy: make(map[string]bool)}
		s.world.crashing = func(v *server) bool {
			n := c.add()
			s.note("crash %d, of %s", n, v.ID)
			t.running.Go(func() { t.replace(v, false) })
			return n%2 == 0
		}
	}
	return run(o, ready, func(s *soak) { s.playCrashing(t, &c) })
}

// playCrashing makes load and kills all entry hosts, and checks how many servers ended.
func (s *soak) playCrashing(t *troubler, c *crashes) {
	loading, endLoad := context.WithCancel(context.Background())
	s.load.begin(loading, s.options.Seed)
	s.load.running.Go(func() { s.load.crash(loading, rand.New(rand.NewPCG(s.options.Seed, 300))) })
	for range kills {
		time.Sleep(s.options.Trouble / (kills + 1))
		s.note("all entry hosts are killed")
		t.killEntries()
	}
	time.Sleep(s.options.Trouble / (kills + 1))
	endLoad()
	s.load.running.Wait()
	t.running.Wait()
	total, retries := c.retries()
	if total < crashesToRefuse || retries > retriesMost {
		s.world.judge.breaks("a call that crashes servers is stopped", "%d servers ended, %d of them when all should have known", total, retries)
	}
	s.checkHosts()
	s.checkJobs()
}

// killEntries kills all entry hosts at once and starts them again.
func (t *troubler) killEntries() {
	for _, h := range t.world.hosts {
		if h.role == entryRole {
			h.kill()
		}
	}
	for _, h := range t.world.hosts {
		if h.role == entryRole {
			t.start(h)
		}
	}
}

// crash makes the call that crashes servers, always the same but for its identifier.
func (l *load) crash(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(crashGap)
		address, _, ok := l.world.pick(r)
		if !ok {
			continue
		}
		key, _ := l.world.key(r, plain)
		a := standin.Attempt{ID: l.id("c"), Key: key, Address: address, Route: standin.Resumable, Path: standin.Resumable.Prefix + standin.Crashing}
		a = c.Do(context.Background(), a, []byte(standin.Crashing), patience)
		if a.Status == 0 {
			l.world.avoid(address)
		}
	}
}
