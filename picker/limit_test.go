package picker_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// startLimited returns a Picker of servers with eight slots, the first of which named these
// limits.
func startLimited(servers int, limits ...string) (*picker.Picker, *throttler.Throttler, *harness.Clock) {
	c := &harness.Clock{Time: 1000}
	var list []cataloger.Server
	for i := range servers {
		list = append(list, cataloger.Server{ID: fmt.Sprint("s", i), Service: "x", Slots: 8, StartedAt: 1})
	}
	h := throttler.New(c, zap.NewNop())
	for i, limit := range limits {
		h.Heard(list[i].Incarnation(), 0, []string{limit}, true)
	}
	s := cataloger.Snapshot{}.WithServers(list)
	return picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return s }, RemoteLoad: func(string) gossiper.Load { return gossiper.Load{} },
		Ejector: ejector.New(c, zap.NewNop()), OnChange: func() {}, Leaving: func(cataloger.Incarnation) bool { return false }, Throttler: h, Slowdown: func(string) float64 { return 1 },
	}), h, c
}

// pick picks a server for a call that is sent.
func pick(t *testing.T, p *picker.Picker) *picker.Reservation {
	r, err := p.Pick("x", selector.Request{})
	require.NoError(t, err)
	r.SetSent(true)
	return r
}

// All servers name a limit. A call beyond the limits is refused with the time at which there
// is room.
func TestCallBeyondAllLimitsIsRefusedWithATime(t *testing.T) {
	p, _, c := startLimited(2, "1", "0.5")
	c.Time += timer.Second
	require.Equal(t, "s0", pick(t, p).Server.ID)
	_, err := p.Pick("x", selector.Request{})
	var held *picker.HeldBackError
	require.ErrorAs(t, err, &held)
	require.Equal(t, 2, held.Servers)
	require.InDelta(t, 1.5, held.Rate, 0)
	require.EqualValues(t, 1000, held.RetryAfter)
	require.EqualValues(t, 1000, held.Age)
	c.Time += held.RetryAfter
	pick(t, p)
}

// What a limit leaves is kept for peaks while other servers have free slots.
func TestServersWithoutALimitAreFilledFirst(t *testing.T) {
	p, _, c := startLimited(2, "20")
	c.Time += 100
	counts := make(map[string]int)
	for range 9 {
		counts[pick(t, p).Server.ID]++
	}
	require.GreaterOrEqual(t, counts["s1"], 6)
	require.Positive(t, counts["s0"], "it is used before calls have to wait")
}

// Nothing was sent to a server with a limit for a while. Only an answer tells that its limit
// has ended, so it gets the next call even if other servers are idle.
func TestServerWithALimitIsAskedNowAndThen(t *testing.T) {
	p, _, c := startLimited(3, "0.2")
	for range 40 {
		r := pick(t, p)
		r.Release()
		if r.Server.ID == "s0" {
			require.GreaterOrEqual(t, c.Time, 6*timer.Second)
			return
		}
		c.Time += 200
	}
	require.Fail(t, "the server got no call")
}

func TestCallThatIsNotSentDoesNotCountTowardsALimit(t *testing.T) {
	p, _, c := startLimited(1, "1")
	c.Time += timer.Second
	for range 5 {
		r, err := p.Pick("x", selector.Request{})
		require.NoError(t, err)
		r.Release()
	}
	pick(t, p).Release()
	_, err := p.Pick("x", selector.Request{})
	require.Error(t, err)
}

// Items take what online calls leave while those need it, and all there is otherwise.
func TestItemsYieldWhatLimitsLeave(t *testing.T) {
	p, _, c := startLimited(1, "1")
	v := p.Candidates("x", throttler.Batch{})[0].Server
	c.Time += timer.Second
	_, ok := p.Reserve(v, throttler.Batch{Yield: true})
	require.False(t, ok)
	_, ok = p.Reserve(v, throttler.Batch{})
	require.True(t, ok)
	c.Time += 2 * timer.Second
	_, ok = p.Reserve(v, throttler.Batch{Yield: true})
	require.True(t, ok, "nobody else used it")
}

// Calls of a less urgent class leave the next request to more urgent ones.
func TestLessUrgentCallsWaitForMoreRoom(t *testing.T) {
	p, _, c := startLimited(1, "1")
	c.Time += 1100
	_, err := p.Pick("x", selector.Request{Rank: 1})
	require.Error(t, err)
	c.Time += 400
	_, err = p.Pick("x", selector.Request{Rank: 1})
	require.NoError(t, err)
}
