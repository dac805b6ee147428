package filler_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var policy = filler.Policy{FreeAfterStart: 2, MinFree: 0}

func server(id string, online int, batch map[string]int) filler.Server {
	if batch == nil {
		batch = map[string]int{}
	}
	return filler.Server{ID: id, Slots: 8, Online: online, Batch: batch}
}

// Online demand swings between 0.4 and 1.8 times its mean every few seconds. While it
// is low, batch items take all free slots but two. When it rises, as many items are
// evicted as there are online calls that would otherwise wait.
func TestBatchFollowsOnlineDemand(t *testing.T) {
	batch := 0
	for _, step := range []struct{ online, want int }{{1, 5}, {2, 5}, {3, 5}, {5, 3}, {7, 1}, {8, 0}, {9, 0}, {4, 2}, {1, 5}} {
		in := filler.Input{
			Self: "a", Backlogs: map[string]int{"a": 100}, Policy: policy,
			Servers: []filler.Server{server("s", step.online, map[string]int{"a": batch})},
		}
		start, evict := filler.Plan(in)
		batch += start["s"] - evict["s"]
		require.Equal(t, step.want, batch, "with %d online", step.online)
	}
}

// Slots must not be reserved for online calls that do not come, while many items wait.
func TestReservedSlotsFollowRecentOnlineCalls(t *testing.T) {
	for _, c := range []struct{ online, servers, free int }{{0, 9, 0}, {1, 9, 1}, {9, 9, 1}, {10, 9, 2}, {70, 9, 2}, {5, 0, 2}} {
		require.Equal(t, c.free, policy.WithDemand(c.online, c.servers).FreeAfterStart, "%+v", c)
	}
	require.Equal(t, 2, policy.FreeAfterStart)
}

func TestServersWithMostFreeSlotsAreFilledFirst(t *testing.T) {
	in := filler.Input{
		Self: "a", Backlogs: map[string]int{"a": 3}, Policy: policy,
		Servers: []filler.Server{server("full", 6, nil), server("half", 3, nil), server("idle", 0, nil)},
	}
	start, _ := filler.Plan(in)
	require.Equal(t, filler.Counts{"idle": 3}, start)
}

// Guards against items that start on a slow server, where they keep a slot longer, while a faster
// one has nearly as many free.
func TestFreeSlotsOfSlowServersAreFilledLast(t *testing.T) {
	slow, mean, fast := server("slow", 0, nil), server("mean", 1, nil), server("fast", 2, nil)
	slow.Slowdown, fast.Slowdown = 1.7, 0.7
	in := filler.Input{Self: "a", Backlogs: map[string]int{"a": 9}, Policy: policy, Servers: []filler.Server{slow, mean, fast}}
	start, _ := filler.Plan(in)
	require.Equal(t, filler.Counts{"fast": 4, "mean": 5}, start)
}

// Items that may not run on the first server took all starts there and left the other idle.
func TestBarredItemsTakeNoStarts(t *testing.T) {
	one, other := server("one", 0, nil), server("other", 0, nil)
	one.Barred, other.Barred = map[string]int{"a": 1, "b": 9}, map[string]int{"a": 1, "b": 9}
	in := filler.Input{Self: "a", Backlogs: map[string]int{"a": 2, "b": 9}, Policy: policy, Servers: []filler.Server{one, other}}
	start, _ := filler.Plan(in)
	require.Equal(t, filler.Counts{"one": 1, "other": 1}, start)
}

func TestClosedServersStartNoItemsAndStillEvict(t *testing.T) {
	s := server("s", 7, map[string]int{"a": 3})
	s.Closed = true
	in := filler.Input{Self: "a", Backlogs: map[string]int{"a": 5}, Policy: policy, Servers: []filler.Server{s}}
	start, evict := filler.Plan(in)
	require.Empty(t, start)
	require.Equal(t, filler.Counts{"s": 2}, evict)
}

// For any counts, hosts with the same input never start items on the same server, never
// overfill it, and together evict exactly the excess.
func TestHostsWithTheSameInputAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"a", "b", "c"}
		in := filler.Input{Backlogs: map[string]int{}, Policy: policy}
		for _, h := range hosts {
			in.Backlogs[h] = rapid.IntRange(0, 30).Draw(t, "backlog")
		}
		for i := range rapid.IntRange(1, 9).Draw(t, "servers") {
			batch := map[string]int{}
			for _, h := range hosts {
				if n := rapid.IntRange(0, 4).Draw(t, "batch"); n > 0 {
					batch[h] = n
				}
			}
			in.Servers = append(in.Servers, server(fmt.Sprint("s", i), rapid.IntRange(0, 12).Draw(t, "online"), batch))
		}
		starts, evictions, starters := map[string]int{}, map[string]int{}, map[string]int{}
		for _, h := range hosts {
			in.Self = h
			start, evict := filler.Plan(in)
			for s, n := range start {
				starts[s] += n
				starters[s]++
			}
			for s, n := range evict {
				evictions[s] += n
			}
		}
		for _, s := range in.Servers {
			batch := s.Batch["a"] + s.Batch["b"] + s.Batch["c"]
			require.LessOrEqual(t, starters[s.ID], 1)
			if starts[s.ID] > 0 {
				require.LessOrEqual(t, s.Online+batch+starts[s.ID], s.Slots-policy.FreeAfterStart)
			}
			require.Equal(t, max(0, min(batch, s.Online+batch-s.Slots)), evictions[s.ID])
		}
	})
}

// A limit is a number of requests, and items run longer than calls. So items go to servers
// with a limit first, as many as it lets start.
func TestItemsGoToServersWithALimitFirst(t *testing.T) {
	in := filler.Input{
		Self: "h", Backlogs: map[string]int{"h": 3},
		Servers: []filler.Server{
			{ID: "open", Slots: 8},
			{ID: "limited", Slots: 8, Online: 2, Limited: true, Starts: 1},
			{ID: "exhausted", Slots: 8, Limited: true},
		},
	}
	start, _ := filler.Plan(in)
	require.Equal(t, filler.Counts{"limited": 1, "open": 2}, start)
	require.Equal(t, 8, in.HeldBack())
}

// A limit is left to online calls once the other servers have only those slots free of them
// which items leave to online calls anyway, however many slots a server has.
func TestItemsLeaveLimitsToOnlineCallsOnceTheOthersAreNearlyFull(t *testing.T) {
	limited := filler.Server{ID: "limited", Slots: 8, Limited: true, Starts: 1}
	for _, c := range []struct {
		slots, online int
		needed        bool
	}{{8, 5, false}, {8, 6, true}, {32, 20, false}, {32, 29, false}, {32, 30, true}, {2, 0, true}} {
		open := filler.Server{ID: "open", Slots: c.slots, Online: c.online}
		in := filler.Input{Policy: policy, Servers: []filler.Server{open, open, limited}}
		require.Equal(t, c.needed, in.OnlineNeedsLimits(), "%+v", c)
	}
	require.True(t, filler.Input{Policy: policy, Servers: []filler.Server{limited}}.OnlineNeedsLimits(), "nothing else is left")
	closed := filler.Server{ID: "closed", Slots: 8, Closed: true}
	require.True(t, filler.Input{Policy: policy, Servers: []filler.Server{closed, limited}}.OnlineNeedsLimits(), "nothing is started there")
}

// Items started on the first free slots while online calls waited at other servers, and were
// evicted again by the next calls.
func TestItemsLeaveAsManySlotsAsOnlineCallsWait(t *testing.T) {
	in := filler.Input{
		Self: "a", Backlogs: map[string]int{"a": 100}, Policy: policy,
		Servers: []filler.Server{server("overloaded", 12, nil), server("half", 3, nil), server("idle", 0, nil)},
	}
	start, _ := filler.Plan(in)
	require.Equal(t, filler.Counts{"half": 3, "idle": 2}, start, "four of nine free slots are left to the four that wait")
	in.Servers[0].Online = 30
	start, _ = filler.Plan(in)
	require.Empty(t, start)
	in.Servers[0].Online = 8
	start, _ = filler.Plan(in)
	require.Equal(t, filler.Counts{"half": 3, "idle": 6}, start, "no call waits")
}
