package selector_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/stretchr/testify/require"
)

func candidate(id string, online, batch int) selector.Candidate {
	return selector.Candidate{Server: cataloger.Server{ID: id, DataCentre: "near"}, Online: online, Batch: batch, Usable: true, Home: true}
}

func choose(r selector.Request, list ...selector.Candidate) string {
	r.DataCentre = "near"
	i := selector.Choose(r, list)
	if i < 0 {
		return ""
	}
	return list[i].Server.ID
}

func TestServerWithFewestCallsIsChosen(t *testing.T) {
	require.Equal(t, "b", choose(selector.Request{}, candidate("a", 3, 0), candidate("b", 1, 0), candidate("c", 2, 0)))
}

func TestBatchCallsCountSlightlyLessThanOnlineCalls(t *testing.T) {
	require.Equal(t, "b", choose(selector.Request{}, candidate("a", 7, 0), candidate("b", 0, 7)))
}

func TestDrainingTriedAndUnusableServersAreAvoided(t *testing.T) {
	draining, silent := candidate("d", 0, 0), candidate("s", 0, 0)
	draining.Server.Draining, silent.Usable = true, false
	require.Equal(t, "ok", choose(selector.Request{Excluded: []string{"t"}}, draining, silent, candidate("t", 0, 0), candidate("ok", 7, 0)))
	require.Equal(t, "s", choose(selector.Request{}, draining, silent), "a server that may not answer is better than none")
	require.Empty(t, choose(selector.Request{}, draining))
}

// A burst of calls shares a prompt. They go to the server that caches it only as long
// as its load permits.
func TestCallsSharingAPromptStayTogetherUntilLoadIsUneven(t *testing.T) {
	load := make([]int, 9)
	homes := make(map[string]int)
	for range 45 {
		var list []selector.Candidate
		for i, n := range load {
			list = append(list, candidate("s"+strconv.Itoa(i), n, 0))
		}
		i := selector.Choose(selector.Request{DataCentre: "near", PromptPrefix: "shared"}, list)
		load[i]++
		homes[list[i].Server.ID]++
	}
	for _, n := range load {
		require.InDelta(t, 5, n, 1)
	}
}

// A server takes four times as long as the other server of its service. It gets less
// work, but not none, and no call waits there while the other has free slots.
func TestSlowServerGetsLessWork(t *testing.T) {
	slow := selector.Candidate{Server: cataloger.Server{ID: "slow"}, Usable: true, Slots: 8, Slowdown: 4}
	other := selector.Candidate{Server: cataloger.Server{ID: "other"}, Usable: true, Slots: 8, Online: 2}
	choose := func() int { return selector.Choose(selector.Request{}, []selector.Candidate{slow, other}) }
	require.Equal(t, 1, choose())
	other.Online = 4
	require.Equal(t, 0, choose())
	slow.Online, other.Online = 8, 11
	require.Equal(t, 1, choose())
	other.Online = 16
	require.Equal(t, 0, choose())
}

// The only usable server has no room, and another one does not answer. The caller is told
// when there is room, and is not sent to the one that does not answer.
func TestCallDoesNotGoToASilentServerBecauseOfALimit(t *testing.T) {
	limited, silent := candidate("limited", 0, 0), candidate("silent", 0, 0)
	limited.Room, silent.Usable = throttler.Room{Limited: true}, false
	require.Empty(t, choose(selector.Request{}, limited, silent))
	require.Len(t, selector.HeldBack(selector.Request{}, []selector.Candidate{limited, silent}), 1)
	limited.Room.Open = true
	require.Equal(t, "limited", choose(selector.Request{}, limited, silent))
}

// The server that caches a prompt has a limit. The call goes there only if others have
// hardly a free slot.
func TestLimitWeighsMoreThanACachedPrompt(t *testing.T) {
	home, other := candidate("home", 0, 0), candidate("other", 3, 0)
	home.Slots, other.Slots, other.Home = 8, 8, false
	require.Equal(t, "home", choose(selector.Request{PromptPrefix: "p"}, home, other))
	home.Room = throttler.Room{Limited: true, Open: true, Restraint: 1}
	require.Equal(t, "other", choose(selector.Request{PromptPrefix: "p"}, home, other))
	other.Online = 8
	require.Equal(t, "home", choose(selector.Request{PromptPrefix: "p"}, home, other))
}

// A server has twice the pace of the others. It gets a call while it has a few more of them.
func TestFastServerGetsMoreWork(t *testing.T) {
	fast, other := candidate("fast", 3, 0), candidate("other", 1, 0)
	fast.Slots, other.Slots = 8, 8
	require.Equal(t, "other", choose(selector.Request{}, fast, other))
	fast.Slowdown = 0.5
	require.Equal(t, "fast", choose(selector.Request{}, fast, other))
	fast.Online, other.Online = 11, 6
	require.Equal(t, "other", choose(selector.Request{}, fast, other), "calls queue at a fast server while another one has free slots")
}

// A call has no time for a slow server with free slots. Guards against its refusal while it
// would end in time at a busy server.
func TestLateCallGoesWhereItEndsFirst(t *testing.T) {
	slow, fast := candidate("slow", 0, 0), candidate("fast", 9, 0)
	slow.Slots, slow.Slowdown, fast.Slots = 8, 1.7, 8
	require.Equal(t, "slow", choose(selector.Request{}, slow, fast))
	require.Equal(t, "fast", choose(selector.Request{Late: true}, slow, fast))
	require.Equal(t, "fast", choose(selector.Request{Late: true, Seed: 1}, slow, fast))
	fast.Online = 16
	require.Equal(t, "slow", choose(selector.Request{Late: true}, slow, fast))
}

// Many hosts choose by the same counts. Guards against all of them choosing the same server.
func TestSeedsSpreadChoices(t *testing.T) {
	var list []selector.Candidate
	for i := range 60 {
		list = append(list, candidate("s"+strconv.Itoa(i), i%3, 0))
		list[i].Slots = 8
	}
	chosen := make(map[int]int)
	for seed := range uint64(600) {
		i := selector.Choose(selector.Request{DataCentre: "near", Seed: seed + 1}, list)
		require.Equal(t, i, selector.Choose(selector.Request{DataCentre: "near", Seed: seed + 1}, list), "the choice is not a function of its input")
		chosen[i]++
	}
	idle := 0
	for i, n := range chosen {
		require.Less(t, n, 70)
		if i%3 == 0 {
			idle += n
		}
	}
	require.Greater(t, idle, 500, "loaded servers were chosen, though the best of several is taken")
}

// All but one of many servers are full. Guards against a call that waits at one of the drawn
// servers while another one has free slots.
func TestAllServersAreComparedIfTheDrawnOnesAreFull(t *testing.T) {
	var list []selector.Candidate
	for i := range 60 {
		list = append(list, candidate("s"+strconv.Itoa(i), 8, 0))
		list[i].Slots = 8
	}
	list[17].Online = 5
	for seed := range uint64(100) {
		require.Equal(t, 17, selector.Choose(selector.Request{DataCentre: "near", Seed: seed + 1}, list))
	}
}

// A random choice must neither move calls from the server that caches their prompt nor forget
// the one whose limit may have ended.
func TestHomeAndServerToProbeAreAlwaysConsidered(t *testing.T) {
	var list []selector.Candidate
	for i := range 60 {
		list = append(list, candidate("s"+strconv.Itoa(i), 1, 0))
		list[i].Slots = 8
	}
	home := selector.Choose(selector.Request{DataCentre: "near", PromptPrefix: "p"}, list)
	probe := (home + 1) % len(list)
	for seed := range uint64(100) {
		r := selector.Request{DataCentre: "near", PromptPrefix: "p", Seed: seed + 1}
		require.Equal(t, home, selector.Choose(r, list))
		probing := slices.Clone(list)
		probing[probe].Room = throttler.Room{Limited: true, Open: true, Probe: true}
		require.Equal(t, probe, selector.Choose(r, probing))
	}
}

// Servers whose limits leave a restraint are kept for peaks also by a random choice.
func TestDrawnServersWithALimitAreNotChosenBeforeFreeOnes(t *testing.T) {
	var list []selector.Candidate
	for i := range 60 {
		list = append(list, candidate("s"+strconv.Itoa(i), 0, 0))
		list[i].Slots = 8
		if i != 40 {
			list[i].Room = throttler.Room{Limited: true, Open: true, Restraint: 1}
		}
	}
	for seed := range uint64(100) {
		require.Equal(t, 40, selector.Choose(selector.Request{DataCentre: "near", Seed: seed + 1}, list))
	}
}
