package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func start(servers int, others map[string]gossiper.Load) (*picker.Picker, *int) {
	return startWithSeed(servers, others, nil)
}

func startWithSeed(servers int, others map[string]gossiper.Load, seed func() uint64) (*picker.Picker, *int) {
	list := make([]cataloger.Server, servers)
	for i := range list {
		list[i] = cataloger.Server{ID: fmt.Sprintf("s%05d", i), Service: "x", Slots: 4, DataCentre: "d"}
	}
	s := cataloger.Snapshot{}.WithServers(list)
	changes := 0
	return picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return s }, RemoteLoad: func(id string) gossiper.Load { return others[id] }, Seed: seed,
		Ejector: ejector.New(timer.System(), zap.NewNop()), OnChange: func() { changes++ }, Leaving: func(cataloger.Incarnation) bool { return false }, Throttler: throttler.New(timer.System(), zap.NewNop()), Slowdown: func(string) float64 { return 1 }, DataCentre: "d",
	}), &changes
}

// Calls arrive together, before any of them has reached a server.
func TestConcurrentCallsAreSpread(t *testing.T) {
	p, _ := start(3, nil)
	seen := make(map[string]int)
	for range 12 {
		reservation, err := p.Pick("x", selector.Request{})
		require.NoError(t, err)
		seen[reservation.Server.ID]++
		require.False(t, reservation.ServerFull())
	}
	require.Equal(t, map[string]int{"s00000": 4, "s00001": 4, "s00002": 4}, seen)
	reservation, err := p.Pick("x", selector.Request{})
	require.NoError(t, err)
	require.True(t, reservation.ServerFull(), "all slots are taken")
}

func TestCallsOfOtherHostsCount(t *testing.T) {
	p, _ := start(2, map[string]gossiper.Load{"s00000": {Online: 3}})
	for range 3 {
		reservation, err := p.Pick("x", selector.Request{})
		require.NoError(t, err)
		require.Equal(t, "s00001", reservation.Server.ID)
	}
}

func TestEndedCallsNoLongerCount(t *testing.T) {
	p, changes := start(1, nil)
	reservation, err := p.Pick("x", selector.Request{})
	require.NoError(t, err)
	batch, ok := p.Reserve(reservation.Server, throttler.Batch{})
	require.True(t, ok)
	require.Equal(t, map[string]gossiper.Load{"s00000": {Online: 1, Batch: 1}}, p.Loads())
	for range 2 {
		reservation.Release()
		batch.Release()
	}
	require.Empty(t, p.Loads())
	require.Equal(t, 4, *changes)
}

// A host considers only some of thousands of servers, and its calls are still spread.
func TestOnlyASampleOfManyServersIsConsidered(t *testing.T) {
	p, _ := start(5000, nil)
	most, seen := 0, make(map[string]int)
	for range 4000 {
		reservation, err := p.Pick("x", selector.Request{})
		require.NoError(t, err)
		seen[reservation.Server.ID]++
		most = max(most, seen[reservation.Server.ID])
	}
	require.LessOrEqual(t, most, 2, "most servers have one call each")
}

func TestCallsThatShareAPromptGoToFewOfManyServers(t *testing.T) {
	p, _ := start(5000, nil)
	homes := make(map[string]bool)
	for range 100 {
		reservation, err := p.Pick("x", selector.Request{PromptPrefix: "shared"})
		require.NoError(t, err)
		homes[reservation.Server.ID] = true
		reservation.Release()
	}
	require.Len(t, homes, 1, "the calls do not move to idle servers")
}

// Most of many servers leave at the same time, so that a sample has no usable server.
func TestTheOnlyUsableServerOfManyIsFound(t *testing.T) {
	list := make([]cataloger.Server, 3000)
	for i := range list {
		list[i] = cataloger.Server{ID: fmt.Sprintf("s%05d", i), Service: "x", Draining: i != 1234}
	}
	s := cataloger.Snapshot{}.WithServers(list)
	p := picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return s }, RemoteLoad: func(string) gossiper.Load { return gossiper.Load{} },
		Ejector: ejector.New(timer.System(), zap.NewNop()), OnChange: func() {}, Leaving: func(cataloger.Incarnation) bool { return false }, Throttler: throttler.New(timer.System(), zap.NewNop()), Slowdown: func(string) float64 { return 1 },
	})
	reservation, err := p.Pick("x", selector.Request{})
	require.NoError(t, err)
	require.Equal(t, "s01234", reservation.Server.ID)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 90, 900, 10000} {
		for name, seed := range map[string]func() uint64{"best": nil, "drawn": rand.Uint64} {
			b.Run(fmt.Sprint(n, "/", name), func(b *testing.B) {
				p, _ := startWithSeed(n, nil, seed)
				for b.Loop() {
					reservation, _ := p.Pick("x", selector.Request{PromptPrefix: "p"})
					reservation.Release()
				}
			})
		}
	}
}
