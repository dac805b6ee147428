package apportioner_test

import (
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const (
	burstAt = timer.Millis(6000)
	endAt   = timer.Millis(20000)
	// capacity is in calls a second: each runs for a second on average.
	capacity = serverCount * slots
)

func isOneOf(list ...int) func(int) bool {
	return func(w int) bool { return slices.Contains(list, w) }
}

func isNoneOf(list ...int) func(int) bool {
	return func(w int) bool { return !slices.Contains(list, w) }
}

// burst runs the load with some workspaces at 4.8 times their usual rate, and returns what
// became of the calls of the others and of theirs from one run's time after its begin.
func burst(t *testing.T, fair, cut bool, bursting ...int) (others, theirs summary) {
	t.Helper()
	f := newFleet(fair)
	f.from = burstAt + 1000
	f.factor = func(w int, at timer.Millis) float64 {
		if at >= burstAt && slices.Contains(bursting, w) {
			return 4.8
		}
		return 1
	}
	f.cut = func(at timer.Millis) bool { return cut && at >= burstAt-500 }
	f.run(endAt)
	others, theirs = f.summarize(isNoneOf(bursting...)), f.summarize(isOneOf(bursting...))
	t.Logf("fair %v, cut %v: others %v; bursting %v", fair, cut, others, theirs)
	return others, theirs
}

// Guards against one workspace that takes the slots of all others by sending most, on both
// sides of a partition too.
func TestOneWorkspaceBurstsWhileAThirdOfTheHostsIsCutOff(t *testing.T) {
	for _, cut := range []bool{false, true} {
		before, _ := burst(t, false, cut, 0)
		after, theirs := burst(t, true, cut, 0)
		require.Greater(t, before.lostShare, 0.1)
		require.Less(t, after.lostShare, 0.001)
		require.Less(t, after.p95, 1000.0)
		require.Greater(t, after.served+theirs.served, 0.93*capacity, "what the others leave is used")
	}
}

// Guards against a shortage in which the largest workspaces share the slots among themselves,
// and a small one with one request waits behind hundreds of theirs.
func TestThreeLargeWorkspacesBurstAtOnce(t *testing.T) {
	before, _ := burst(t, false, false, 0, 1, 2)
	after, theirs := burst(t, true, false, 0, 1, 2)
	require.Greater(t, before.lostShare, 0.3)
	require.Less(t, after.lostShare, 0.001)
	require.Less(t, after.p95, 1000.0)
	require.Greater(t, after.served+theirs.served, 0.93*capacity, "what the others leave is used")
}

// Guards against refusals while there is room: at three quarters of the capacity calls wait
// now and then, as a server's slots are taken by chance.
func TestNobodyIsRefusedWithRoomForAll(t *testing.T) {
	f := newFleet(true)
	f.run(endAt)
	for _, h := range f.hosts {
		require.Zero(t, h.apportioner.Refused())
	}
}

// Guards against shares that are kept for workspaces that do not use them, and that come back
// late: two large ones take all that the others leave, until the largest one returns.
func TestShareThatWasLentIsBackWithinOneRun(t *testing.T) {
	const back = timer.Millis(13000)
	f := newFleet(true)
	f.from = burstAt + 1000
	f.factor = func(w int, at timer.Millis) float64 {
		switch {
		case w == 0 && at < back:
			return 0
		case at >= burstAt && (w == 1 || w == 2):
			return 5
		}
		return 1
	}
	f.run(back)
	lent := f.summarize(isOneOf(1, 2))
	require.Greater(t, lent.served+f.summarize(isNoneOf(1, 2)).served, 0.9*capacity)
	f.from, f.results = back, [workspaces]result{}
	f.continueUntil(back + 1000)
	require.Zero(t, f.summarize(isOneOf(0)).lost)
	f.from, f.results = back+1000, [workspaces]result{}
	f.continueUntil(back + 4000)
	returned := f.summarize(isOneOf(0))
	t.Logf("lent %v; returned %v", lent, returned)
	require.Zero(t, returned.lost)
	require.Less(t, returned.p95, 1000.0)
}

// Guards against a less urgent class that takes slots which a more urgent one asks for.
func TestMoreUrgentClassIsServedFirst(t *testing.T) {
	f := newFleet(true)
	f.from = burstAt + 1000
	f.factor = func(w int, at timer.Millis) float64 {
		if at >= burstAt && (w == 0 || w == 1) {
			return 3
		}
		return 1
	}
	f.rank = func(w int) int { return w % 2 }
	f.run(endAt)
	urgent, other := f.summarize(isOneOf(0)), f.summarize(isOneOf(1))
	t.Logf("urgent %v; less urgent %v", urgent, other)
	require.Less(t, urgent.lostShare, 0.01)
	require.Greater(t, other.lostShare, 0.1)
}

// Guards against a shortage in which all ask for more than their share and either the largest
// or the smallest get it all.
func TestAllAskForMoreThanTheirShare(t *testing.T) {
	f := newFleet(true)
	f.from = burstAt + 3000
	f.factor = func(_ int, at timer.Millis) float64 {
		if at >= burstAt {
			return 2
		}
		return 1
	}
	f.run(endAt + 10000)
	large, middle, small := f.summarize(isOneOf(0, 1, 2)), f.summarize(func(w int) bool { return w > 2 && w < 15 }), f.summarize(func(w int) bool { return w >= 15 })
	t.Logf("large %v; middle %v; small %v", large, middle, small)
	for _, s := range []summary{large, middle, small} {
		require.Greater(t, s.lostShare, 0.1)
		require.Less(t, s.lostShare, 0.45)
	}
}
