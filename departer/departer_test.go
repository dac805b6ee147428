package departer_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func incarnation(id string, born int64) cataloger.Incarnation {
	return cataloger.Incarnation{ID: id, StartedAt: born}
}

func TestNoticeAppliesToOneIncarnation(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	d := departer.New(c, zap.NewNop())
	d.Record(incarnation("a", 1), departer.Leaving)
	c.Time += 100 * timer.Second
	require.True(t, d.IsLeaving(incarnation("a", 1)), "a server that announced leaving and still runs gets no new calls")
	require.False(t, d.IsLeaving(incarnation("a", 2)), "its next incarnation gets calls")
	require.False(t, d.IsLeaving(incarnation("b", 1)), "another server gets calls, whatever its address")
}

// A late answer of an earlier incarnation must not be attributed to the next one.
func TestLateNoticeOfAnEarlierIncarnationDoesNotAffectTheNext(t *testing.T) {
	d := departer.New(&harness.Clock{}, zap.NewNop())
	sentTo := incarnation("a", 1)
	now := incarnation("a", 2)
	d.Record(sentTo, departer.Leaving)
	require.False(t, d.IsLeaving(now))
	d.Merge([]departer.Notice{{ID: "a", Born: 1, Status: departer.Gone}})
	require.False(t, d.IsLeaving(now))
}

func TestHostsExchangeNotices(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b, far := departer.New(c, zap.NewNop()), departer.New(c, zap.NewNop()), departer.New(c, zap.NewNop())
	a.Record(incarnation("s", 1), departer.Leaving)
	require.Len(t, a.Notices(), 1)
	b.Merge(a.Notices())
	require.True(t, b.IsLeaving(incarnation("s", 1)))
	far.Merge(b.Notices())
	require.False(t, far.IsLeaving(incarnation("s", 1)), "a host reports only what it received itself")
	a.Record(incarnation("s", 1), departer.Gone)
	a.Record(incarnation("s", 1), departer.Leaving)
	require.ElementsMatch(t, []departer.Notice{{ID: "s", Born: 1, Status: departer.Leaving}, {ID: "s", Born: 1, Status: departer.Gone}}, a.Notices())
	c.Time += 2 * timer.Second
	require.Empty(t, a.Notices(), "reports end after a while")
	b.Merge([]departer.Notice{{ID: "x", Born: 1, Status: 77}})
	require.False(t, b.IsLeaving(incarnation("x", 1)), "unknown statuses are ignored")
}

func TestNoticesAreBounded(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	d := departer.New(c, zap.NewNop())
	const most = 8192
	for i := range most + 10 {
		c.Time++
		d.Record(incarnation(fmt.Sprint(i), 1), departer.Gone)
	}
	require.False(t, d.IsLeaving(incarnation("0", 1)), "the oldest are evicted")
	require.True(t, d.IsLeaving(incarnation(fmt.Sprint(most), 1)))
}

// A refusal that was taken for the answer of another server took a server out of use for an
// hour, on all hosts. What one answer tells ends within seconds, unless another one repeats
// it; what the server itself has announced does not.
func TestServerThatIsGoneIsUsedAgainUnlessItIsFoundGoneAgain(t *testing.T) {
	const most = 5 * timer.Second
	c := &harness.Clock{Time: 1000}
	a, b := departer.New(c, zap.NewNop()), departer.New(c, zap.NewNop())
	v := incarnation("s", 1)
	for range 3 {
		a.Record(v, departer.Gone)
		b.Merge(a.Notices())
		require.True(t, a.IsLeaving(v))
		require.True(t, b.IsLeaving(v))
		c.Time += most
		require.False(t, a.IsLeaving(v))
		require.False(t, b.IsLeaving(v))
	}
	a.Record(v, departer.Leaving)
	a.Record(v, departer.Gone)
	c.Time += most
	require.True(t, a.IsLeaving(v), "it announced that it is leaving")
}
