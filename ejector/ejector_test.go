package ejector_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

type clock struct{ now timer.Millis }

func (c *clock) Now() timer.Millis { return c.now }

func start() (*clock, *ejector.Ejector) {
	c := &clock{now: 1000}
	return c, ejector.New(c)
}

func TestSilentServerIsEjectedAndComesBack(t *testing.T) {
	c, e := start()
	e.Begin("s")
	c.now += ejector.SilentAfter + 1
	require.False(t, e.Usable("s", false))
	e.End("s")
	c.now += 5 * timer.Second
	require.True(t, e.Usable("s", false))
}

// Pattern: a burst fills every server, and calls wait for slots without a byte.
// That is not sickness.
func TestCrowdedServerIsNotTakenForASilentOne(t *testing.T) {
	c, e := start()
	e.Begin("s")
	c.now += ejector.SilentAfter + 1
	require.True(t, e.Usable("s", true))
	c.now += ejector.CrowdedSilentAfter
	require.False(t, e.Usable("s", true))
}

func TestServerThatFailsNowAndThenStays(t *testing.T) {
	_, e := start()
	for range 20 {
		e.Broke("s")
		e.Broke("s")
		e.Answered("s")
	}
	require.True(t, e.Usable("s", false))
	for range 3 {
		e.Broke("s")
	}
	require.False(t, e.Usable("s", false))
}

func TestTimeAwayDoublesAndAnAnswerEndsIt(t *testing.T) {
	c, e := start()
	e.Unreachable("s")
	c.now += 450
	require.True(t, e.Usable("s", false))
	e.Unreachable("s")
	c.now += 450
	require.False(t, e.Usable("s", false))
	e.Answered("s")
	require.True(t, e.Usable("s", false))
}

func TestForgottenServersStartAnew(t *testing.T) {
	_, e := start()
	e.Unreachable("s")
	e.Forget(func(string) bool { return false })
	require.True(t, e.Usable("s", false))
}
