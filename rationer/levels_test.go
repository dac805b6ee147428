package rationer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// restart replaces a host by a new incarnation without state.
func (f *fleet) restart(host int) {
	f.hosts[host] = rationer.New(f.clock)
	f.incarnations[host]++
}

// inherit passes the levels of one host to another.
func (f *fleet) inherit(host, from int) {
	f.hosts[from].Observe(map[string]rationer.Limit{workspace: limit})
	f.hosts[host].Inherit(f.hosts[from].Levels())
}

// Hosts are replaced one after another while a workspace is just within its rate. A
// host that started with empty buckets would refuse its callers.
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
			require.True(t, f.admit(r.IntN(9)), "refused at 25 of 40 a second, at %d ms", f.clock.Time)
		}
	}
}

// A workspace exceeds its quota while hosts restart continually, each inheriting from a
// host that restarted itself.
func TestRepeatedInheritanceDoesNotExceedTheQuota(t *testing.T) {
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
				f.admit(r.IntN(9))
			}
		}
		f.requireWithinQuota(t)
	}
}

func TestInheritedLevelIsRefilledFromTheTimeOfInheritance(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	c.Time += 500
	h.Inherit(map[string]float64{workspace: 2})
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.False(t, h.Admit(workspace, limit).Admitted)
	c.Time += 25
	require.True(t, h.Admit(workspace, limit).Admitted)
	require.False(t, h.Admit(workspace, limit).Admitted)
}

func TestInheritedLevelNeverExceedsTheBurst(t *testing.T) {
	h := rationer.New(&harness.Clock{Time: 1000})
	h.Inherit(map[string]float64{workspace: 10 * limit.Burst})
	n := 0
	for h.Admit(workspace, limit).Admitted {
		n++
		require.LessOrEqual(t, n, int(limit.Burst))
	}
}

func TestLowerLevelThanCurrentIsIgnored(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	c.Time += 10 * timer.Second
	h.Inherit(map[string]float64{workspace: 1})
	require.InDelta(t, limit.Burst-limit.Rate/5, h.Levels()[workspace], 1e-9)
}

var tolerance = rationer.Tolerance{Window: 5 * timer.Second, Share: 0.1, Slack: 20}

// All hosts are killed at once, repeatedly, while a workspace exceeds its quota. The
// levels that the hosts start with stay within the tolerance.
func TestAdvanceAfterRestartOfTheFleetStaysWithinTheTolerance(t *testing.T) {
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
				f.admit(r.IntN(9))
			}
		}
		f.requireWithinQuota(t)
	}
}

func TestAdvanceIsAtMostTheBurst(t *testing.T) {
	h := rationer.New(&harness.Clock{Time: 1000})
	small := rationer.Limit{Rate: 4, Burst: 4}
	h.Observe(map[string]rationer.Limit{workspace: small, "other": limit})
	h.Advance(tolerance)
	levels := h.Levels()
	require.InDelta(t, 4-0.8, levels[workspace], 1e-9)
	require.InDelta(t, 0.5*(0.1*240+20)-8, levels["other"], 1e-9)
}

// A host that has just started has received no digest yet. Callers were refused in its
// first moments, since it counted the other hosts as silent and used only its own share
// of the levels that it had inherited.
func TestHostThatHasJustStartedDoesNotTreatOthersAsSilent(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	h.Inherit(map[string]float64{workspace: 30})
	h.SetPeers([]rationer.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	c.Time += 100
	for i := range 30 {
		require.True(t, h.Admit(workspace, limit).Admitted, "request %d", i)
	}
}

func TestHostWithoutDigestsIsSoonLimitedToItsShare(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	h.Observe(map[string]rationer.Limit{workspace: limit})
	h.SetPeers([]rationer.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	c.Time += 10 * timer.Second
	n := 0
	for h.Admit(workspace, limit).Admitted {
		n++
	}
	require.LessOrEqual(t, n, int(limit.Burst/4))
}
