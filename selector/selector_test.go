package selector_test

import (
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
