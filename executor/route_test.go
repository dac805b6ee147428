package executor_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// noRouteTimeout is after how long without a route an item may be given up.
const noRouteTimeout = 4 * timer.Second

// advancedClock is the clock of the fixture, advanced by a number of milliseconds.
type advancedClock struct {
	timer.Clock
	by atomic.Int64
}

func (c *advancedClock) Now() timer.Millis { return c.Clock.Now() + timer.Millis(c.by.Load()) }

func (c *advancedClock) advance(by timer.Millis) { c.by.Add(int64(by)) }

// withAdvancedClock restarts the executor with a clock that the test advances.
func (f *fixture) withAdvancedClock() *advancedClock {
	f.executor.Close()
	c := &advancedClock{Clock: f.clock}
	f.options.Clock = c
	f.startExecutor()
	return c
}

// configure puts the next version of the configuration in force, with the route of the fixture's
// items or without any, and confirms it now.
func (f *fixture) configure(routed bool) {
	now, p := f.options.Clock.Now(), cataloger.ConfigParts{Version: f.current().Config.Version + 1}
	if routed {
		p.Routes = []cataloger.Route{{Name: "r", Host: "h", Prefix: "/b/", Kind: cataloger.Batch, Shares: []cataloger.Share{{Service: "svc", Weight: 1}}}}
	}
	c := cataloger.NewConfig(p)
	f.update(func(s cataloger.Snapshot) cataloger.Snapshot { return s.WithConfig(c).WithConfirmed(now) })
}

// letDecide lets the executor decide some times.
func letDecide() { time.Sleep(200 * time.Millisecond) }

func (f *fixture) listed() int {
	r, _, _ := f.queue.Results("j", 0, 1<<20)
	return len(r.Results)
}

// A bulk host that was cut off from the store gave items up for good 4 s after it had read a
// configuration without their route, though the operators had put the route back since.
func TestItemWithoutARouteIsKeptWhileTheConfigurationIsNotConfirmed(t *testing.T) {
	f := start(t, &engine{})
	clock := f.withAdvancedClock()
	f.configure(false)
	f.submit(1)
	letDecide()
	clock.advance(noRouteTimeout + timer.Second)
	letDecide()
	require.Zero(t, f.listed(), "not confirmed since the item was submitted")
	f.configure(true)
	r := f.results(1)[0]
	require.False(t, r.Dead, "%s", r.Output)
}

func TestItemWithoutARouteIsAbandonedOnceThatIsConfirmed(t *testing.T) {
	f := start(t, &engine{})
	clock := f.withAdvancedClock()
	f.configure(false)
	f.submit(1)
	letDecide()
	clock.advance(noRouteTimeout - timer.Second)
	f.configure(false)
	letDecide()
	require.Zero(t, f.listed())
	clock.advance(2 * timer.Second)
	f.configure(false)
	require.True(t, f.results(1)[0].Dead)
}

// An item that was held back while its route was there for a time was given up at once when the
// route was removed again: the time without a route counted from the first removal.
func TestTimeWithoutARouteCountsFromItsLastRemoval(t *testing.T) {
	f := start(t, &engine{})
	clock := f.withAdvancedClock()
	f.configure(false)
	f.submitPrompts("j", "crashing,own")
	letDecide()
	part := suspector.Parts([]string{"crashing"})
	for n := range 10 {
		f.options.Tracker.Merge(suspector.Records{Crashes: []suspector.Crash{{
			ID: strconv.Itoa(n), Server: strconv.Itoa(n), Age: timer.Second * timer.Millis(n), Prompts: []suspector.Prompt{{Call: uint64(n), Parts: part}},
		}}})
	}
	require.True(t, f.options.Tracker.RefusesParts())
	f.configure(true)
	letDecide()
	clock.advance(noRouteTimeout + timer.Second)
	f.configure(false)
	letDecide()
	f.options.Tracker.Merge(suspector.Records{AnsweredParts: []suspector.AnsweredPart{{Part: part[0]}}})
	require.False(t, f.options.Tracker.RefusesParts())
	letDecide()
	require.Zero(t, f.listed(), "removed less than the timeout ago")
	clock.advance(noRouteTimeout + timer.Second)
	f.configure(false)
	require.True(t, f.results(1)[0].Dead)
}
