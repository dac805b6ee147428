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

type clock struct{ now timer.Millis }

func (c *clock) Now() timer.Millis { return c.now }

const service = "s"

func run(server string, took timer.Millis) comparer.Run {
	return comparer.Run{Service: service, Server: server, Events: 31, Took: took}
}

// warm is a host that has seen the service at 150 ms a call.
func warm(c *clock) *comparer.Comparer {
	h := comparer.New(c, zap.NewNop())
	for i := range 100 {
		h.Ran(run("s"+strconv.Itoa(i%9), 150))
	}
	return h
}

func TestServerSlowerThanItsKinIsFound(t *testing.T) {
	h := warm(&clock{now: 1000})
	h.Ran(run("s1", 600))
	require.InDelta(t, 4, h.Slowness("s1"), 0.3)
	require.Equal(t, 1.0, h.Slowness("s2"))
}

// Pattern: all servers slow down together. None is slower than its kin.
func TestLoadThatRisesEverywhereMakesNoServerSlow(t *testing.T) {
	h := warm(&clock{now: 1000})
	for took := timer.Millis(150); took < 600; took += 2 {
		h.Ran(run("s"+strconv.Itoa(int(took)%9), took))
	}
	for i := range 9 {
		require.Equal(t, 1.0, h.Slowness("s"+strconv.Itoa(i)))
	}
}

// Pattern: a sixth of the servers is slow for long. They do not become the mean.
func TestSlowServersDoNotBecomeTheMean(t *testing.T) {
	h := warm(&clock{now: 1000})
	for i := range 3000 {
		server := i % 9
		took := timer.Millis(150)
		if server == 0 || (server == 1 && i%2 == 0) {
			took = 525
		}
		h.Ran(run("s"+strconv.Itoa(server), took))
	}
	h.Ran(run("s0", 525))
	require.Greater(t, h.Slowness("s0"), 2.0)
}

func TestServerThatIsWellAgainIsBackWithItsNextCall(t *testing.T) {
	h := warm(&clock{now: 1000})
	h.Ran(run("s1", 600))
	h.Ran(run("s1", 160))
	require.Equal(t, 1.0, h.Slowness("s1"))
}

func TestFindingLapsesSoThatTheServerIsTriedAgain(t *testing.T) {
	c := &clock{now: 1000}
	h := warm(c)
	h.Ran(run("s1", 600))
	c.now += 2001
	require.InDelta(t, 2.5, h.Slowness("s1"), 0.2)
	c.now += 2001
	require.Equal(t, 1.0, h.Slowness("s1"))
}

func TestHostsTellOneAnother(t *testing.T) {
	c := &clock{now: 1000}
	a, b := warm(c), warm(c)
	a.Ran(run("s1", 600))
	b.Hear(a.Report())
	require.InDelta(t, 4, b.Slowness("s1"), 0.3)
	require.Empty(t, b.Report(), "what was heard is not passed on")
	c.now += 1000
	require.Empty(t, a.Report(), "an old finding is not told")
}

func TestOwnFindingGoesBeforeWhatOthersTell(t *testing.T) {
	c := &clock{now: 1000}
	h := warm(c)
	h.Ran(run("s1", 600))
	h.Hear(comparer.Report{"s1": 80})
	require.InDelta(t, 4, h.Slowness("s1"), 0.3)
}

func TestShortCallsAndFirstCallsShowNothing(t *testing.T) {
	h := comparer.New(&clock{now: 1000}, zap.NewNop())
	h.Ran(run("s1", 150))
	h.Ran(run("s2", 1500))
	require.Equal(t, 1.0, h.Slowness("s2"))
	h = warm(&clock{now: 1000})
	h.Ran(comparer.Run{Service: service, Server: "s1", Events: 2, Took: 5000})
	require.Equal(t, 1.0, h.Slowness("s1"))
}
