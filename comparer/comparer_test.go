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
