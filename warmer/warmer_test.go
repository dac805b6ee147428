package warmer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/warmer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// names returns the names of hosts, in order.
func names(hosts int) []string {
	var out []string
	for i := range hosts {
		out = append(out, fmt.Sprintf("h%02d", i))
	}
	return out
}

func members(list []string) cataloger.Snapshot {
	var s cataloger.Snapshot
	for _, name := range list {
		s = s.WithMember(cataloger.Member{Name: name})
	}
	return s
}

// most returns the highest number of times within a second.
func most(times []timer.Millis) int {
	slices.Sort(times)
	best, from := 0, 0
	for i, at := range times {
		for times[from] <= at-timer.Second {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// bound is the most that a server of this rate may get in a second: coldOver and coldSlack.
func bound(rate float64) int { return int(rate*1.5 + 5) }

// Guards against shares that add up to more than a cold server takes while hosts count
// other members, and are killed and restarted within the second.
func TestSharesOfDifferingMembershipViewsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		rate := rapid.OneOf(rapid.Float64Range(0.05, 2), rapid.Float64Range(2, 40)).Draw(t, "rate")
		c := &harness.Clock{Time: 5000}
		v := cataloger.Server{ID: rapid.StringMatching("i-[0-9a-f]{4}").Draw(t, "server"), StartedAt: 7}
		v.Cold = &cataloger.ColdPeriod{From: 5000, Until: 20000}
		all := names(n)
		missing := min(n/3, 4)
		start := func(i int) *warmer.Warmer {
			view := slices.Clone(all)
			for range missing {
				if at := rapid.IntRange(0, n-1).Draw(t, "missing"); at != i {
					view[at] = all[i]
				}
			}
			w := warmer.New(all[i], c, zap.NewNop())
			w.ApplySnapshot(members(view))
			return w
		}
		var hosts []*warmer.Warmer
		for i := range all {
			hosts = append(hosts, start(i))
		}
		var sent []timer.Millis
		for range 60 {
			c.Time += timer.Millis(rapid.IntRange(1, 300).Draw(t, "step"))
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "host")
				hosts[i] = start(i)
			}
			for _, h := range hosts {
				for {
					if _, ok := h.Take(v, rate); !ok {
						break
					}
					sent = append(sent, c.Time)
				}
			}
		}
		if got := most(sent); got > bound(rate) {
			t.Fatalf("%d requests in a second", got)
		}
	})
}

// Guards against shares that leave most of what a cold server takes unused.
func TestSharesUseMostOfTheRate(t *testing.T) {
	v := cataloger.Incarnation{ID: "s", StartedAt: 1}
	for hosts, want := range map[int]int{1: 14, 5: 10, 12: 12, 14: 14, 15: 14, 90: 14} {
		sum := 0
		for _, name := range names(hosts) {
			sum += warmer.ShareOf(name, names(hosts), v, 14).Requests
		}
		require.Equal(t, want, sum, "%d hosts", hosts)
	}
}

// Guards against odd rates: a host that divides by them, or sends without end.
func TestOddRates(t *testing.T) {
	v := cataloger.Server{ID: "s", Cold: &cataloger.ColdPeriod{Until: 1 << 40}}
	for _, x := range []struct {
		rate  float64
		every timer.Millis
	}{{0.5, 2100}, {0.05, 20100}, {5e-324, 60 * 60 * timer.Second}, {1, 1100}, {1.9, 1100}} {
		c := &harness.Clock{Time: 1}
		w := warmer.New("h00", c, zap.NewNop())
		w.ApplySnapshot(members(names(1)))
		c.Time += x.every
		for range 3 {
			_, ok := w.Take(v, x.rate)
			require.True(t, ok)
			require.Equal(t, x.every, w.Room(v, x.rate).RetryAfter, "rate %g", x.rate)
			c.Time += x.every - 1
			_, ok = w.Take(v, x.rate)
			require.False(t, ok, "rate %g", x.rate)
			c.Time++
		}
	}
	c := &harness.Clock{Time: 1}
	w := warmer.New("h00", c, zap.NewNop())
	c.Time = 9000
	for _, rate := range []float64{0, -1} {
		require.False(t, w.Room(v, rate).Limited, "no slow start is configured")
	}
	for _, rate := range []float64{0.5, 14, 1e12} {
		require.False(t, w.Room(v, rate).Open, "the host is no member yet")
	}
}

// A host is killed and restarted within a second. It must not spend its share again.
func TestShareCountsAsSpentWhenAHostStarts(t *testing.T) {
	c := &harness.Clock{Time: 5000}
	v := cataloger.Server{ID: "s", Cold: &cataloger.ColdPeriod{From: 5000, Until: 20000}}
	w := warmer.New("h00", c, zap.NewNop())
	w.ApplySnapshot(members(names(1)))
	c.Time += 1000
	_, ok := w.Take(v, 14)
	require.False(t, ok)
	require.EqualValues(t, 100, w.Room(v, 14).RetryAfter)
	c.Time += 100
	for range 14 {
		_, ok = w.Take(v, 14)
		require.True(t, ok)
	}
	require.False(t, w.Room(v, 14).Open)
}

// A server in use becomes cold again. What it got in the second before is not counted, so
// the share begins as spent.
func TestShareCountsAsSpentWhenAServerIsColdAgain(t *testing.T) {
	c := &harness.Clock{Time: 5000}
	w := warmer.New("h00", c, zap.NewNop())
	w.ApplySnapshot(members(names(1)))
	c.Time = 9000
	v := cataloger.Server{ID: "s", Cold: &cataloger.ColdPeriod{From: 9000, Until: 12000, Again: true}}
	require.EqualValues(t, 1100, w.Room(v, 14).RetryAfter)
	v.Cold = &cataloger.ColdPeriod{From: 9000, Until: 12000}
	require.True(t, w.Room(v, 14).Open)
}

// Requests that were not sent, or that the server answered with 421, leave their place.
func TestRefundedRequestLeavesItsPlace(t *testing.T) {
	c := &harness.Clock{Time: 1}
	w := warmer.New("h00", c, zap.NewNop())
	w.ApplySnapshot(members(names(1)))
	c.Time = 5000
	v := cataloger.Server{ID: "s", Cold: &cataloger.ColdPeriod{Until: 12000}}
	a, _ := w.Take(v, 2)
	c.Time += 500
	_, ok := w.Take(v, 2)
	require.True(t, ok)
	w.Refund(a)
	require.True(t, w.Room(v, 2).Open)
	_, ok = w.Take(v, 2)
	require.True(t, ok)
	require.EqualValues(t, 1100, w.Room(v, 2).RetryAfter)
	w.Refund(nil)
}

// A server's entry is lost and comes back. The share must not be spent again.
func TestShareIsNotSpentTwiceWhenAnEntryComesBack(t *testing.T) {
	c := &harness.Clock{Time: 1}
	w := warmer.New("h00", c, zap.NewNop())
	s := members(names(1))
	w.ApplySnapshot(s)
	c.Time = 5000
	v := cataloger.Server{ID: "s", Cold: &cataloger.ColdPeriod{Until: 7000}}
	_, ok := w.Take(v, 1)
	require.True(t, ok)
	w.ApplySnapshot(s)
	require.False(t, w.Room(v, 1).Open)
	c.Time = 7000
	require.False(t, w.Room(v, 1).Limited, "the cold period is over")
}
