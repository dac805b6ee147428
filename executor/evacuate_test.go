package executor_test

import (
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// place puts a server into a data centre.
func place(s cataloger.Snapshot, server, dataCentre string) cataloger.Snapshot {
	v := s.Servers[server]
	v.DataCentre = dataCentre
	return s.WithServer(v)
}

// A data centre is evacuated while items run there. They are evicted after their second
// event, which does not count yet, go on elsewhere behind the first, and none starts there until
// the evacuation is cancelled.
func TestItemsOfAnEvacuatedDataCentreGoOnElsewhere(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := startWithServers(t, e, 2)
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot { return place(place(s, "s0", "a"), "s1", "b") })
	f.submit(6)
	require.Eventually(t, func() bool { return len(e.received()) == 6 && f.executor.Backlog() == 0 }, waitTimeout, pollInterval)
	time.Sleep(20 * pollInterval)
	there := f.current().Servers["s0"].Address
	e.mu.Lock()
	evicted := e.counts[there]
	e.mu.Unlock()
	require.Positive(t, evicted)
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot { return s.WithEvacuated("a", true) })
	require.Eventually(t, func() bool { return f.executor.Backlog() > 0 || len(e.received()) == 6+evicted }, waitTimeout, pollInterval)
	e.mu.Lock()
	close(e.hold)
	e.hold = nil
	e.mu.Unlock()
	for _, r := range f.results(6) {
		require.Equal(t, wholeOutput(), string(r.Output))
	}
	resumed := 0
	for _, run := range e.received()[6:] {
		require.Contains(t, run, "after 1 ", "the output that counts is kept")
		resumed++
	}
	require.Equal(t, evicted, resumed)
	require.Equal(t, evicted, e.counts[there], "nothing more ran there")
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot {
		return s.WithEvacuated("b", true).WithEvacuated("a", false)
	})
	f.submitAs("later", 2)
	require.Eventually(t, func() bool { r, _, _ := f.queue.Results("later", 0, 1<<20); return len(r.Results) == 2 }, waitTimeout, pollInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, evicted+2, e.counts[there], "its servers are candidates again")
}

// All data centres are evacuated. Items wait, and run when one is back.
func TestItemsWaitWhileAllDataCentresAreEvacuated(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot { return place(s, "s0", "a").WithEvacuated("a", true) })
	f.submit(2)
	require.Eventually(t, func() bool { return f.executor.Backlog() == 2 }, waitTimeout, pollInterval)
	time.Sleep(20 * pollInterval)
	require.Empty(t, e.received())
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot { return s.WithEvacuated("a", false) })
	require.Len(t, f.results(2), 2)
}

// A cold server has four free slots. No more items start there than the share of this host,
// which counts as spent when the host starts.
func TestItemsStartAtAColdServerWithinTheShare(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	began := time.Now()
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot {
		v := s.Servers["s0"]
		v.Cold = &cataloger.ColdPeriod{From: f.clock.Now(), Until: f.clock.Now() + 60*timer.Second}
		return s.WithServer(v)
	})
	f.submit(2*warmupRate + 1)
	f.results(2*warmupRate + 1)
	require.GreaterOrEqual(t, time.Since(began), 3200*time.Millisecond, "three windows of 1.1 s")
}
