package resolver_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/resolver"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestReadyHostsAreReturned(t *testing.T) {
	require.Equal(t, []string{"a", "b"}, resolver.Choose([]resolver.Host{
		{Address: "b", Received: true, Ready: true},
		{Address: "a", Received: true, Ready: true},
		{Address: "c", Received: true},
		{Address: "d"},
		{Address: "e", Received: true, Ready: true, Leaving: true},
		{Received: true, Ready: true},
	}, 0))
}

func TestHostsThatAreNotReadyAreReturnedWhenNoneIs(t *testing.T) {
	require.Equal(t, []string{"a"}, resolver.Choose([]resolver.Host{{Address: "a", Received: true}, {Address: "b"}}, 0))
	require.Equal(t, []string{"b"}, resolver.Choose([]resolver.Host{{Address: "b"}, {Address: "l", Leaving: true}}, 0))
	require.Equal(t, []string{"l"}, resolver.Choose([]resolver.Host{{Address: "l", Leaving: true}}, 0))
	require.Empty(t, resolver.Choose(nil, 0))
}

// A host that was leaving and heard no other returned the hosts that it did not hear, which
// were killed, and not itself, which still answered.
func TestHostThatIsNotHeardIsNeverReturnedBesideARunningOne(t *testing.T) {
	var states []resolver.Host
	for i := range 32 {
		h := resolver.Host{Address: fmt.Sprint("host-", i), Received: i&1 > 0, Ready: i&4 > 0, Leaving: i&8 > 0, Preferred: i&16 > 0}
		if i&2 > 0 {
			h.Silence = resolver.SilenceTimeout
		}
		states = append(states, h)
	}
	for _, other := range states {
		for _, self := range states {
			if !self.Received || self.Silence > 0 {
				continue
			}
			self.Address = "self"
			for _, a := range resolver.Choose([]resolver.Host{other, self}, 0) {
				require.True(t, a == "self" || other.Reachable(), "%+v beside %+v", other, self)
			}
		}
	}
	require.Equal(t, []string{"self"}, resolver.Choose([]resolver.Host{
		{Address: "killed", Received: true, Silence: resolver.SilenceTimeout, Ready: true}, {Address: "silent", Ready: true}, {Address: "self", Received: true, Leaving: true},
	}, 0))
}

func hosts(preferred, others int, change func(*resolver.Host)) []resolver.Host {
	var out []resolver.Host
	for i := range preferred + others {
		h := resolver.Host{Address: fmt.Sprintf("%04d", i), Received: true, Ready: true, Preferred: i < preferred}
		if h.Preferred {
			change(&h)
		}
		out = append(out, h)
	}
	return out
}

// Hosts of other regions are returned only when no host of a preferred region runs and stays.
func TestHostsOfOtherRegionsAreReturnedOnlyWhenThereAreNoneOfThePreferred(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*resolver.Host)
		want   []string
	}{
		"ready":     {func(*resolver.Host) {}, []string{"0000", "0001"}},
		"not ready": {func(h *resolver.Host) { h.Ready = false }, []string{"0000", "0001"}},
		"leaving":   {func(h *resolver.Host) { h.Leaving = true }, []string{"0002"}},
		"killed":    {func(h *resolver.Host) { h.Silence = timer.Second }, []string{"0002"}},
	} {
		require.Equal(t, c.want, resolver.Choose(hosts(2, 1, c.change), 0), name)
	}
}

// Of more hosts than fit into an answer, those whose addresses are sorted last never got a
// caller.
func TestNoHostIsLeftOutOfAllAnswersOfALargeFleet(t *testing.T) {
	const fleet, answers = 200, 500
	returned := make(map[string]int)
	for i := range answers {
		list := resolver.Choose(hosts(fleet, 0, func(*resolver.Host) {}), float64(i)/answers)
		require.Len(t, list, resolver.MaxAddresses)
		require.True(t, slices.IsSorted(list))
		require.Len(t, slices.Compact(list), resolver.MaxAddresses)
		for _, a := range list {
			returned[a]++
		}
	}
	require.Len(t, returned, fleet)
	for a, n := range returned {
		require.InDelta(t, answers*resolver.MaxAddresses/fleet, n, 60, a)
	}
}
