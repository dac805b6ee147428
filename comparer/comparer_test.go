package comparer_test

import (
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { harness.Main(m) }

const service = "s"

func sample(server string, took timer.Millis) comparer.Sample {
	return comparer.Sample{Service: service, Server: server, Events: 31, Took: took}
}

// newWarm returns the Comparer of a host that has observed the service at 150 ms a call.
func newWarm(c *harness.Clock) *comparer.Comparer {
	h := comparer.New(c, zap.NewNop())
	for i := range 100 {
		h.Observe(sample("s"+strconv.Itoa(i%9), 150))
	}
	return h
}

func TestServerSlowerThanItsServiceIsFound(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	h.Observe(sample("s1", 600))
	require.InDelta(t, 4, h.Slowdown("s1"), 0.3)
	require.Equal(t, 1.0, h.Slowdown("s2"))
}

// All servers slow down together, so none is slower than its service.
func TestLoadIncreaseOnAllServersMarksNoneAsSlow(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	for took := timer.Millis(150); took < 600; took += 2 {
		h.Observe(sample("s"+strconv.Itoa(int(took)%9), took))
	}
	for i := range 9 {
		require.Equal(t, 1.0, h.Slowdown("s"+strconv.Itoa(i)))
	}
}

// A sixth of the calls goes to slow servers for a long time. They do not become the mean.
func TestServerIsFoundSlowThoughManyCallsAreSlow(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	for i := range 3000 {
		server := i % 9
		took := timer.Millis(150)
		if server == 0 || (server == 1 && i%2 == 0) {
			took = 525
		}
		h.Observe(sample("s"+strconv.Itoa(server), took))
	}
	h.Observe(sample("s0", 525))
	require.Greater(t, h.Slowdown("s0"), 2.0)
}

func TestServerThatRecoveredIsClearedByItsNextCall(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	h.Observe(sample("s1", 600))
	h.Observe(sample("s1", 160))
	require.Equal(t, 1.0, h.Slowdown("s1"))
}

func TestFindingExpiresSoThatTheServerIsTriedAgain(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := newWarm(c)
	h.Observe(sample("s1", 600))
	c.Time += 2001
	require.InDelta(t, 2.5, h.Slowdown("s1"), 0.2)
	c.Time += 2001
	require.Equal(t, 1.0, h.Slowdown("s1"))
}

func TestHostsExchangeFindings(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b := newWarm(c), newWarm(c)
	a.Observe(sample("s1", 600))
	b.Merge(a.Report())
	require.InDelta(t, 4, b.Slowdown("s1"), 0.3)
	require.Empty(t, b.Report(), "a finding of another host was forwarded")
	c.Time += 1000
	require.Empty(t, a.Report(), "a stale finding was reported")
}

func TestLocalFindingOverridesReports(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := newWarm(c)
	h.Observe(sample("s1", 600))
	h.Merge(comparer.Report{"s1": 80})
	require.InDelta(t, 4, h.Slowdown("s1"), 0.3)
}

func TestShortCallsAndFirstCallsAreIgnored(t *testing.T) {
	h := comparer.New(&harness.Clock{Time: 1000}, zap.NewNop())
	h.Observe(sample("s1", 150))
	h.Observe(sample("s2", 1500))
	require.Equal(t, 1.0, h.Slowdown("s2"))
	h = newWarm(&harness.Clock{Time: 1000})
	h.Observe(comparer.Sample{Service: service, Server: "s1", Events: 2, Took: 5000})
	require.Equal(t, 1.0, h.Slowdown("s1"))
}

// observePace makes a host observe a server's own pace.
func observePace(h *comparer.Comparer, server string, took timer.Millis) {
	for range 6 {
		h.Observe(sample(server, took))
	}
}

func TestServersOwnPaceIsLearntAndKept(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := newWarm(c)
	observePace(h, "fast", 100)
	observePace(h, "slow", 235)
	c.Time += 60_000
	require.InDelta(t, 0.7, h.Slowdown("fast"), 0.1)
	require.InDelta(t, 1.5, h.Slowdown("slow"), 0.2)
	require.Equal(t, 2, h.Paces())
}

// Guards against estimates that rest on one odd call, and against reports in a service whose
// servers are alike.
func TestPaceWithinItsWidthIsTheMeanAndNotReported(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	for i := range 90 {
		h.Observe(sample("s"+strconv.Itoa(i%9), timer.Millis(135+i/9%3*15)))
	}
	h.Observe(sample("s3", 110))
	h.Observe(sample("new", 115))
	for i := range 9 {
		require.Equal(t, 1.0, h.Slowdown("s"+strconv.Itoa(i)))
	}
	require.Equal(t, 1.0, h.Slowdown("new"))
	require.Empty(t, h.Report())
}

// Hosts know a server's pace from one report. Guards against more bytes than needed: nobody
// repeats what is known, but for a host that starts later.
func TestPaceIsReportedAsNewsAndRarelyAfter(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b := newWarm(c), newWarm(c)
	observePace(a, "fast", 100)
	r := a.Report()
	require.Contains(t, r, "fast")
	b.Merge(r)
	require.InDelta(t, 0.75, b.Slowdown("fast"), 0.1)
	c.Time += 1000
	observePace(a, "fast", 105)
	observePace(b, "fast", 105)
	require.Empty(t, a.Report())
	require.Empty(t, b.Report())
	c.Time += 9500
	observePace(b, "fast", 105)
	require.Contains(t, b.Report(), "fast")
}

// A fast server is as slow as the others' slowest for a moment. It is found slow against its
// own pace, keeps its pace, and the end of the moment is told.
func TestMomentarySlownessOfAFastServerIsFound(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b := newWarm(c), newWarm(c)
	for i := range 90 {
		a.Observe(sample("s"+strconv.Itoa(i%9), 150))
		if i%9 == 0 {
			a.Observe(sample("fast", 100))
		}
	}
	b.Merge(a.Report())
	c.Time += 1000
	a.Observe(sample("fast", 250))
	b.Merge(a.Report())
	require.InDelta(t, 1.8, a.Slowdown("fast"), 0.1)
	require.InDelta(t, 1.8, b.Slowdown("fast"), 0.1)
	c.Time += 600
	a.Observe(sample("fast", 100))
	b.Merge(a.Report())
	require.Less(t, a.Slowdown("fast"), 0.85)
	require.Less(t, b.Slowdown("fast"), 0.85)
}

// A server that is replaced under the same name by a slower one is no longer taken for fast.
func TestPaceFollowsAChange(t *testing.T) {
	h := newWarm(&harness.Clock{Time: 1000})
	observePace(h, "s1", 100)
	for range 20 {
		observePace(h, "s2", 150)
		observePace(h, "s1", 150)
	}
	require.Equal(t, 1.0, h.Slowdown("s1"))
}

// BenchmarkSlowdown is what a choice among 90 servers asks.
func BenchmarkSlowdown(b *testing.B) {
	h := newWarm(&harness.Clock{Time: 1000})
	ids := make([]string, 90)
	for i := range ids {
		ids[i] = "s" + strconv.Itoa(i)
		h.Observe(sample(ids[i], 150))
	}
	for b.Loop() {
		for _, id := range ids {
			h.Slowdown(id)
		}
	}
}
