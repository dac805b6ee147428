package executor_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

func TestItemsRunOnceAndTheirFullOutputIsCommitted(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.submit(6)
	for _, r := range f.results(6) {
		require.Equal(t, wholeOutput(), string(r.Output))
		require.False(t, r.Dead)
	}
	require.Len(t, e.received(), 6)
	require.Contains(t, e.received(), "i3 after  body3")
}

// The last event before each break does not count, so it is asked for again.
func TestInterruptedItemResumesAfterItsLastEventThatCounts(t *testing.T) {
	e := &engine{breakAt: []int{4, 6, 1}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Equal(t, []string{"i0 after  body0", "i0 after 2 body0", "i0 after 4 body0", "i0 after 4 body0"}[:len(e.received())], e.received())
}

func TestItemIsAbandonedAfterMaxAttempts(t *testing.T) {
	e := &engine{statuses: []int{500, 500, 500}}
	f := start(t, e)
	f.submit(1)
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.received(), 3)
}

// If failures were counted only in the owner's memory, each host that takes over the
// group would try a failing item MaxAttempts times more.
func TestFailuresOfAnItemCarryOverToTheNextOwner(t *testing.T) {
	held := make(chan struct{})
	e := &engine{statuses: []int{500, 500}, hold: held}
	f := start(t, e)
	f.submit(1)
	require.Eventually(t, func() bool {
		list := f.queue.Pending()
		return len(list) == 1 && list[0].Progress.Failures == 2 && len(e.received()) == 3
	}, waitTimeout, pollInterval)
	f.executor.Close()
	close(held)
	e.mu.Lock()
	e.statuses, e.hold = []int{500}, nil
	e.mu.Unlock()
	f.startExecutor()
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.received(), 4)
}

// A stalled stream may still send single bytes, or events without data, forever. Its
// item must be resumed on another connection after the last whole event that another followed.
func TestItemWhoseStreamStallsIsResumed(t *testing.T) {
	for _, noise := range []string{":", ":\n\n"} {
		e := &engine{stalls: 1, stallBytes: noise}
		f := start(t, e)
		f.submit(1)
		require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
		require.Equal(t, []string{"i0 after  body0", "i0 after 1 body0"}, e.received())
	}
}

// A server may announce in the response to an item that it is leaving. The item
// finishes there and no other item is sent to it.
func TestNoItemIsSentToALeavingServer(t *testing.T) {
	e := &engine{announcesLeave: true}
	f := startWithServers(t, e, 2)
	f.submit(1)
	require.Len(t, f.results(1), 1)
	first := e.addresses()
	for i := range 6 {
		f.submitAs(fmt.Sprint("k", i), 1)
		require.Eventually(t, func() bool { r, _, _ := f.queue.Results(fmt.Sprint("k", i), 0, 1<<20); return len(r.Results) == 1 }, waitTimeout, pollInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Len(t, e.ranAt, 2)
	for at, n := range e.counts {
		if first[at] {
			require.Equal(t, 1, n)
		}
	}
}

func TestUnprocessableItemIsAbandonedAtOnce(t *testing.T) {
	e := &engine{statuses: []int{422}}
	f := start(t, e)
	f.submit(1)
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.received(), 1)
}

// Items use all slots if no online call ran recently. While one runs, a slot is kept
// free for the next.
func TestItemsUseAllSlotsWithoutRecentOnlineCalls(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := startWithPolicy(t, e, 1, filler.Policy{FreeAfterStart: 2})
	f.submit(8)
	require.Eventually(t, func() bool { return len(e.received()) == 4 }, waitTimeout, pollInterval)
	close(e.hold)
	f.results(8)

	e = &engine{hold: make(chan struct{})}
	f = startWithPolicy(t, e, 1, filler.Policy{FreeAfterStart: 2})
	f.setOnline(1)
	f.submit(8)
	require.Eventually(t, func() bool { return len(e.received()) == 2 }, waitTimeout, pollInterval)
	f.setOnline(0)
	require.Eventually(t, func() bool { return len(e.received()) == 3 }, waitTimeout, pollInterval)
	close(e.hold)
	f.results(8)
}

// Online calls fill the server while items run there: the items are evicted, and run to
// completion once the calls have ended.
func TestItemsGiveWayToOnlineCallsAndResumeLater(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := start(t, e)
	f.submit(2)
	require.Eventually(t, func() bool { return len(e.received()) == 2 && f.executor.Backlog() == 0 }, waitTimeout, pollInterval)
	f.setOnline(4)
	require.Eventually(t, func() bool { return f.executor.Backlog() == 2 }, waitTimeout, pollInterval)
	e.mu.Lock()
	close(e.hold)
	e.hold = nil
	e.mu.Unlock()
	f.setOnline(0)
	for _, r := range f.results(2) {
		require.Equal(t, wholeOutput(), string(r.Output))
	}
	require.Len(t, e.received(), 4)
}

func TestItemsOfAnEndedJobAreCancelled(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := start(t, e)
	f.submit(1)
	require.Eventually(t, func() bool { return len(e.received()) == 1 }, waitTimeout, pollInterval)
	entries, err := queuer.Encode(queuer.Ended{Job: "j"})
	require.NoError(t, err)
	f.queue.Apply(entries[0])
	f.executor.Wake()
	close(e.hold)
	f.executor.Close()
	r, _, _ := f.queue.Results("j", 0, 1<<20)
	require.Empty(t, r.Results)
}
