package rationer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const workspace = "w"

var limit = rationer.Limit{Rate: 40, Burst: 40}

// fleet simulates hosts that exchange what they admitted, with a delay.
type fleet struct {
	clock        *harness.Clock
	hosts        []*rationer.Rationer
	incarnations []int
	inTransit    []message
	partitioned  map[[2]int]bool
	receivedAt   map[[2]int]timer.Millis
	admitted     []timer.Millis
}

type message struct {
	at          timer.Millis
	from, to    int
	incarnation int
	spent       map[string]uint64
}

func newFleet(n int) *fleet {
	f := &fleet{clock: &harness.Clock{Time: 1000}, partitioned: make(map[[2]int]bool), receivedAt: make(map[[2]int]timer.Millis)}
	for range n {
		f.hosts = append(f.hosts, rationer.New(f.clock))
		f.incarnations = append(f.incarnations, 0)
	}
	return f
}

// tick advances the clock by 10 ms. Digests are sent every 50 ms and arrive after 20 ms.
func (f *fleet) tick() {
	f.clock.Time += 10
	kept := f.inTransit[:0]
	for _, l := range f.inTransit {
		if l.at > f.clock.Time {
			kept = append(kept, l)
			continue
		}
		f.hosts[l.to].Merge(fmt.Sprint(l.from), fmt.Sprint(l.incarnation), l.spent)
		f.receivedAt[[2]int{l.to, l.from}] = f.clock.Time
	}
	f.inTransit = kept
	for i, h := range f.hosts {
		if f.clock.Time%50 == 0 {
			f.sendDigest(i)
		}
		var peers []rationer.Peer
		for j := range f.hosts {
			if j != i {
				peers = append(peers, rationer.Peer{Name: fmt.Sprint(j), LastReceived: f.receivedAt[[2]int{i, j}]})
			}
		}
		h.SetPeers(peers)
	}
}

func (f *fleet) sendDigest(i int) {
	for j := range f.hosts {
		if j != i && !f.partitioned[[2]int{i, j}] {
			f.inTransit = append(f.inTransit, message{at: f.clock.Time + 20, from: i, to: j, incarnation: f.incarnations[i], spent: f.hosts[i].Spent()})
		}
	}
}

func (f *fleet) admit(host int) bool {
	d := f.hosts[host].Admit(workspace, limit)
	if d.Admitted {
		f.admitted = append(f.admitted, f.clock.Time)
	}
	return d.Admitted
}

// requireWithinQuota checks that no window of five seconds exceeds the quota by more than
// its tolerance.
func (f *fleet) requireWithinQuota(t *testing.T) {
	t.Helper()
	const window = 5 * timer.Second
	bound := int((limit.Rate*5+limit.Burst)*1.1) + 20
	from := 0
	for i, at := range f.admitted {
		for f.admitted[from] <= at-window {
			from++
		}
		require.LessOrEqual(t, i-from+1, bound, "from %d ms to %d ms", f.admitted[from], at)
	}
}

func TestWorkspaceIsLimitedToItsRateOverAllHosts(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		f.tick()
		for range 3 {
			f.admit(r.IntN(9))
		}
	}
	f.requireWithinQuota(t)
	require.GreaterOrEqual(t, len(f.admitted), int(0.95*limit.Rate*20), "fewer requests were admitted than the rate allows")
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
			require.True(t, f.admit(r.IntN(9)), "refused at %d of 40 a second", 25)
		}
	}
}

// A host subtracted what others had admitted from a bucket that it had last refilled before,
// and then refilled it for that time: the burst was there once more.
func TestBucketIsRefilledBeforeOthersRequestsAreSubtracted(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h, l := rationer.New(c), rationer.Limit{Rate: 20, Burst: 10}
	h.Merge("a", "1", map[string]uint64{workspace: 0})
	c.Time += 10 * timer.Second
	h.SetPeers([]rationer.Peer{{Name: "a", LastReceived: c.Time}})
	require.True(t, h.Admit(workspace, l).Admitted)
	c.Time += timer.Second / 2
	h.Merge("a", "1", map[string]uint64{workspace: 10})
	require.False(t, h.Admit(workspace, l).Admitted, "the burst was used up by another host")
}

func TestPartitionedHostsTogetherStayWithinTheRate(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(9)
		r := rand.New(rand.NewPCG(seed, 3))
		for i := range 3000 {
			if i%600 == 300 {
				side := r.IntN(8) + 1
				for a := range 9 {
					for b := range 9 {
						f.partitioned[[2]int{a, b}] = (a < side) != (b < side)
					}
				}
			}
			if i%600 == 0 {
				clear(f.partitioned)
			}
			f.tick()
			for range 3 {
				f.admit(r.IntN(9))
			}
		}
		f.requireWithinQuota(t)
	}
}

// Guards against requests that are taken from a bucket twice: what hosts admitted of their
// shares while they were cut off was reserved for them already.
func TestNothingWithinTheRateIsRefusedAfterHostsWereCutOff(t *testing.T) {
	f := newFleet(2)
	for range 300 {
		f.tick()
	}
	ask := func(ticks int) {
		for i := range ticks {
			f.tick()
			if i%3 == 0 {
				require.True(t, f.admit(i%2), "tick %d", i)
			}
		}
	}
	ask(300)
	f.partitioned[[2]int{0, 1}], f.partitioned[[2]int{1, 0}] = true, true
	ask(1000)
	clear(f.partitioned)
	ask(600)
}

func TestRestartedHostsDoNotSpendTheBurstAgain(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(4, 1))
	for i := range 3000 {
		f.tick()
		if i%500 == 400 {
			for h := range f.hosts {
				f.hosts[h] = rationer.New(f.clock)
				f.incarnations[h]++
			}
		}
		for range 3 {
			f.admit(r.IntN(9))
		}
	}
	f.requireWithinQuota(t)
}

// Buckets were refilled only from their first use on, so callers were refused in the
// first second although nothing had been admitted for ten seconds.
func TestBucketFillsBeforeItsFirstUse(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	h.Merge("other", "1", map[string]uint64{workspace: 0})
	c.Time += 10 * timer.Second
	h.SetPeers(nil)
	for i := range int(limit.Burst) {
		require.True(t, h.Admit(workspace, limit).Admitted, "request %d", i)
	}
	require.False(t, h.Admit(workspace, limit).Admitted)
}

func TestRefusalGivesTheTimeOfTheNextAdmission(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	d := h.Admit(workspace, rationer.Limit{Rate: 2, Burst: 4})
	require.False(t, d.Admitted)
	c.Time += d.RetryAfter
	require.True(t, h.Admit(workspace, rationer.Limit{Rate: 2, Burst: 4}).Admitted)
}

func TestRefundedRequestCanBeUsedAgain(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	l := rationer.Limit{Rate: 1, Burst: 1}
	c.Time += timer.Second
	require.True(t, h.Admit(workspace, l).Admitted)
	require.False(t, h.Admit(workspace, l).Admitted)
	h.Refund(workspace)
	require.True(t, h.Admit(workspace, l).Admitted)
}

func TestWorkspaceWithoutALimitIsNeverRefused(t *testing.T) {
	h := rationer.New(&harness.Clock{Time: 1000})
	for range 1000 {
		require.True(t, h.Admit(workspace, rationer.Limit{}).Admitted)
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	for b.Loop() {
		c.Time++
		h.Admit(workspace, limit)
	}
}

// A refused request is told how many tokens all hosts took lately, so that its caller comes
// when others leave one. Tokens that were returned were not taken, and those of a second ago
// do not count.
func TestRefusedRequestKnowsTheTokensTakenOnAllHosts(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b := rationer.New(c), rationer.New(c)
	c.Time += 10 * timer.Second
	l := rationer.Limit{Rate: 1, Burst: 8}
	b.Observe(map[string]rationer.Limit{workspace: l})
	b.Merge("a", "1", a.Spent())
	for range 8 {
		require.True(t, a.Admit(workspace, l).Admitted)
	}
	b.Merge("a", "1", map[string]uint64{workspace: 0})
	b.Merge("a", "1", a.Spent())
	for _, r := range []*rationer.Rationer{a, b} {
		d := r.Admit(workspace, l)
		require.False(t, d.Admitted)
		require.InDelta(t, 10, d.Taken, 1e-9, "8 in 0.8 s")
	}
	for range 4 {
		a.Refund(workspace)
	}
	b.Merge("a", "1", a.Spent())
	for range 4 {
		require.True(t, a.Admit(workspace, l).Admitted)
	}
	b.Merge("a", "1", a.Spent())
	for _, r := range []*rationer.Rationer{a, b} {
		require.InDelta(t, 10, r.Admit(workspace, l).Taken, 1e-9)
	}
	c.Time += 900
	require.Zero(t, a.Admit(workspace, l).Taken)
}
