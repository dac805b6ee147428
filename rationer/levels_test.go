package rationer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// restart replaces a host by one that knows nothing.
func (f *fleet) restart(host int) {
	f.hosts[host] = rationer.New(f.clock)
	f.born[host]++
}

// inherit gives a host the levels of another one.
func (f *fleet) inherit(host, from int) {
	f.hosts[from].Observe(map[string]rationer.Limit{workspace: limit})
	f.hosts[host].Inherit(f.hosts[from].Levels())
}

// Pattern: hosts are replaced one after the other while a workspace keeps just
// within its rate. A host that starts with empty buckets refuses its callers.
func TestNothingWithinTheRateIsRefusedWhileHostsRestart(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(5, 1))
	for range 300 {
		f.tick()
	}
	for i := range 2000 {
		f.tick()
		if i%200 == 100 {
			host := i / 200 % 9
			f.restart(host)
			f.inherit(host, (host+1)%9)
		}
		if i%4 == 0 {
			require.True(t, f.ask(r.IntN(9)), "refused at 25 of 40 a second, at %d ms", f.clock.now)
		}
	}
}

// Pattern: a greedy workspace asks while hosts restart all the time, each
// inheriting from one that restarted itself.
func TestInheritedLevelsDoNotAddUp(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(9)
		r := rand.New(rand.NewPCG(seed, 7))
		for i := range 3000 {
			f.tick()
			if i%30 == 0 {
				host := i / 30 % 9
				f.restart(host)
				f.inherit(host, (host+8)%9)
			}
			for range 3 {
				f.ask(r.IntN(9))
			}
		}
		f.requireHeld(t)
	}
}

func TestInheritedLevelIsRefilledFromThenOn(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	c.now += 500
	h.Inherit(map[string]float64{workspace: 2})
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.False(t, h.Admit(workspace, limit).Admitted)
	c.now += 25
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.False(t, h.Admit(workspace, limit).Admitted)
}

func TestInheritedLevelNeverExceedsTheBurst(t *testing.T) {
	h := rationer.New(&clock{now: 1000})
	h.Inherit(map[string]float64{workspace: 10 * limit.Burst})
	n := 0
	for h.Admit(workspace, limit).Admitted {
		n++
		require.LessOrEqual(t, n, int(limit.Burst))
	}
}

func TestLowerLevelChangesNothing(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	c.now += 10 * timer.Second
	h.Inherit(map[string]float64{workspace: 1})
	require.InDelta(t, limit.Burst-limit.Rate/5, h.Levels()[workspace], 1e-9)
}

var tolerance = rationer.Tolerance{Window: 5 * timer.Second, Share: 0.1, Slack: 20}

// Pattern: all hosts are killed at once, again and again, while a greedy
// workspace asks. What they begin with stays within the tolerance.
func TestAdvanceOfAFleetThatRestartsStaysWithinTheTolerance(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(9)
		r := rand.New(rand.NewPCG(seed, 9))
		for i := range 3000 {
			f.tick()
			if i%600 == 599 {
				for h := range f.hosts {
					f.restart(h)
					f.hosts[h].Observe(map[string]rationer.Limit{workspace: limit})
					f.hosts[h].Advance(tolerance)
				}
			}
			for range 3 {
				f.ask(r.IntN(9))
			}
		}
		f.requireHeld(t)
	}
}

func TestAdvanceIsAtMostTheBurst(t *testing.T) {
	h := rationer.New(&clock{now: 1000})
	small := rationer.Limit{Rate: 4, Burst: 4}
	h.Observe(map[string]rationer.Limit{workspace: small, "other": limit})
	h.Advance(tolerance)
	levels := h.Levels()
	require.InDelta(t, 4-0.8, levels[workspace], 1e-9)
	require.InDelta(t, 0.5*(0.1*240+20)-8, levels["other"], 1e-9)
}

// Pattern: a host that starts has not heard anyone yet. Callers of its first
// moments were refused, since it kept to its own part of what it had inherited.
func TestHostThatHasJustStartedHasNotLostTheOthers(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	h.Inherit(map[string]float64{workspace: 30})
	h.SetPeers([]rationer.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	c.now += 100
	for i := range 30 {
		require.True(t, h.Admit(workspace, limit).Admitted, "request %d", i)
	}
}

func TestHostThatHearsNobodyKeepsToItsPartSoonAfterItsStart(t *testing.T) {
	c := &clock{now: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	h.SetPeers([]rationer.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	c.now += 10 * timer.Second
	n := 0
	for h.Admit(workspace, limit).Admitted {
		n++
	}
	require.LessOrEqual(t, n, int(limit.Burst/4))
}
