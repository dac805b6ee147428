package executor_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// Several servers may crash in a burst while they run the same harmless item. The item
// must not be abandoned and must complete once the crashes are over.
func TestItemIsRetriedAfterServerCrashes(t *testing.T) {
	e := &engine{breakAt: []int{1, 1, 1, 1, 1}}
	f := startWithServers(t, e, 6)
	f.submit(1)
	r := f.resultsWithin(1, 10*time.Second)
	require.Len(t, r, 1)
	require.Equal(t, wholeOutput(), string(r[0].Output))
	require.Len(t, e.addresses(), 6, "each run must be on another server")
}

// One server may fail some of its requests while the others are healthy. An item is
// abandoned after MaxAttempts failures, so it must not return to that server each time.
func TestItemThatFailedGoesToAnotherServer(t *testing.T) {
	e := &engine{statuses: []int{500, 500}}
	f := startWithServers(t, e, 3)
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Len(t, e.addresses(), 3, "%v", e.received())
}

// late is a clock of a host that is late: between any two readings more time passes than
// items wait for another server.
type late struct{ now atomic.Int64 }

func (c *late) Now() timer.Millis { return timer.Millis(c.now.Add(int64(400))) }

// A host was late, or was suspended, while an item waited to be run again. The time for
// which the item avoids servers where it failed was over when the host looked at it.
func TestItemOfALateHostGoesToAnotherServer(t *testing.T) {
	e := &engine{statuses: []int{500, 500}}
	f := startWithServers(t, e, 3)
	f.executor.Close()
	f.options.Clock = &late{}
	f.startExecutor()
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Len(t, e.addresses(), 3, "%v", e.received())
}

func TestItemThatFailedReturnsToTheOnlyServer(t *testing.T) {
	e := &engine{statuses: []int{500, 500}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
}
