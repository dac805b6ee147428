package rationer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

type clock struct{ now timer.Millis }

func (c *clock) Now() timer.Millis { return c.now }

const workspace = "w"

var limit = rationer.Limit{Rate: 40, Burst: 40}

// fleet is hosts that tell one another what they admitted, with a delay.
type fleet struct {
	clock  *clock
	hosts  []*rationer.Rationer
	born   []int
	mail   []letter
	cut    map[[2]int]bool
	heard  map[[2]int]timer.Millis
	admits []timer.Millis
}

type letter struct {
	at       timer.Millis
	from, to int
	birth    int
	spent    map[string]uint64
}

func newFleet(n int) *fleet {
	f := &fleet{clock: &clock{now: 1000}, cut: make(map[[2]int]bool), heard: make(map[[2]int]timer.Millis)}
	for range n {
		f.hosts = append(f.hosts, rationer.New(f.clock))
		f.born = append(f.born, 0)
	}
	return f
}

// tick passes 10 ms: letters arrive after 20 ms, hosts tell each 50 ms.
func (f *fleet) tick() {
	f.clock.now += 10
	kept := f.mail[:0]
	for _, l := range f.mail {
		if l.at > f.clock.now {
			kept = append(kept, l)
			continue
		}
		f.hosts[l.to].Hear(fmt.Sprint(l.from), fmt.Sprint(l.birth), l.spent)
		f.heard[[2]int{l.to, l.from}] = f.clock.now
	}
	f.mail = kept
	for i, h := range f.hosts {
		if f.clock.now%50 == 0 {
			f.tell(i)
		}
		var peers []rationer.Peer
		for j := range f.hosts {
			if j != i {
				peers = append(peers, rationer.Peer{Name: fmt.Sprint(j), Heard: f.heard[[2]int{i, j}]})
			}
		}
		h.SetPeers(peers)
	}
}

func (f *fleet) tell(i int) {
	for j := range f.hosts {
		if j != i && !f.cut[[2]int{i, j}] {
			f.mail = append(f.mail, letter{at: f.clock.now + 20, from: i, to: j, birth: f.born[i], spent: f.hosts[i].Spent()})
		}
	}
}

func (f *fleet) ask(host int) bool {
	d := f.hosts[host].Admit(workspace, limit)
	if d.Admitted {
		f.admits = append(f.admits, f.clock.now)
	}
	return d.Admitted
}

// requireHeld checks every interval of five seconds.
func (f *fleet) requireHeld(t *testing.T) {
	t.Helper()
	const window = 5 * timer.Second
	bound := int((limit.Rate*5+limit.Burst)*1.1) + 20
	from := 0
	for i, at := range f.admits {
		for f.admits[from] <= at-window {
			from++
		}
		require.LessOrEqual(t, i-from+1, bound, "from %d ms to %d ms", f.admits[from], at)
	}
}

func TestGreedyWorkspaceIsHeldToItsRateOverAllHosts(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		f.tick()
		for range 3 {
			f.ask(r.IntN(9))
		}
	}
	f.requireHeld(t)
	require.GreaterOrEqual(t, len(f.admits), int(0.95*limit.Rate*20), "the rate is not reached")
}

func TestNothingWithinTheRateIsRefused(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(2, 1))
	for range 300 {
		f.tick()
	}
	for i := range 1000 {
		f.tick()
		if i%4 == 0 {
			require.True(t, f.ask(r.IntN(9)), "refused at %d of 40 a second", 25)
		}
	}
}

func TestBothSidesOfACutKeepToTheRateTogether(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(9)
		r := rand.New(rand.NewPCG(seed, 3))
		for i := range 3000 {
			if i%600 == 300 {
				side := r.IntN(8) + 1
				for a := range 9 {
					for b := range 9 {
						f.cut[[2]int{a, b}] = (a < side) != (b < side)
					}
				}
			}
			if i%600 == 0 {
				clear(f.cut)
			}
			f.tick()
			for range 3 {
				f.ask(r.IntN(9))
			}
		}
		f.requireHeld(t)
	}
}

func TestHostsThatStartAgainDoNotSpendTheBurstAnew(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(4, 1))
	for i := range 3000 {
		f.tick()
		if i%500 == 400 {
			for h := range f.hosts {
				f.hosts[h] = rationer.New(f.clock)
				f.born[h]++
			}
		}
		for range 3 {
			f.ask(r.IntN(9))
		}
	}
	f.requireHeld(t)
}

// Buckets were refilled from their first use on only: callers of the first
// second were refused though nothing had been asked for ten seconds.
func TestBucketFillsBeforeItsFirstUse(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	h.Hear("other", "1", map[string]uint64{workspace: 0})
	c.now += 10 * timer.Second
	h.SetPeers(nil)
	for i := range int(limit.Burst) {
		require.True(t, h.Admit(workspace, limit).Admitted, "request %d", i)
	}
	require.False(t, h.Admit(workspace, limit).Admitted)
}

func TestRefusalSaysWhenOneIsLeft(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	d := h.Admit(workspace, rationer.Limit{Rate: 2, Burst: 4})
	require.False(t, d.Admitted)
	c.now += d.RetryAfter
	require.True(t, h.Admit(workspace, rationer.Limit{Rate: 2, Burst: 4}).Admitted)
}

func TestRefundedRequestCanBeUsedAgain(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	l := rationer.Limit{Rate: 1, Burst: 1}
	c.now += timer.Second
	require.True(t, h.Admit(workspace, l).Admitted)
	require.False(t, h.Admit(workspace, l).Admitted)
	h.Refund(workspace)
	require.True(t, h.Admit(workspace, l).Admitted)
}

func TestWorkspaceWithoutALimitIsNeverRefused(t *testing.T) {
	h := rationer.New(&clock{now: 1000})
	for range 1000 {
		require.True(t, h.Admit(workspace, rationer.Limit{}).Admitted)
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	for b.Loop() {
		c.now++
		h.Admit(workspace, limit)
	}
}
