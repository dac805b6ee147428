package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/jackdawgate/jackdawgate/timer"
)

func server(name string, running int) router.Candidate {
	return router.Candidate{Server: name, DataCentre: "x", Slots: 10, Reported: running, ModelLoaded: true}
}

func choose(t *testing.T, p router.Policy, c router.Call, candidates ...router.Candidate) router.Choice {
	t.Helper()
	choice, err := router.Choose(p, c, candidates, 1000)
	require.NoError(t, err)
	return choice
}

func TestScoredWeighsLoadCacheDistanceAndModel(t *testing.T) {
	call := router.Call{ID: "1", DataCentre: "x", PrefixHashes: []uint64{1, 2, 3, 4}}
	p := router.DefaultPolicy()
	cached := server("cached", 4)
	cached.CachedPrefixes = 4
	require.Equal(t, "cached", choose(t, p, call, server("idle", 0), cached).Server)
	cached.Reported = 6
	require.Equal(t, "idle", choose(t, p, call, server("idle", 0), cached).Server, "a cached prompt outweighed more than half of the slots")
	cached.Reported = 10
	cached.SentSinceReport = 3
	require.Equal(t, "busy", choose(t, p, call, server("busy", 9), cached).Server, "a cached prompt outweighed a queue")

	far := server("far", 0)
	far.DataCentre = "y"
	require.Equal(t, "near", choose(t, p, call, server("near", 0), far).Server)
	require.Equal(t, "far", choose(t, p, call, server("near", 5), far).Server)
	unloaded := server("unloaded", 0)
	unloaded.ModelLoaded = false
	require.Equal(t, "loaded", choose(t, p, call, server("loaded", 9), unloaded).Server)
}

func TestCallsSentSinceTheReportAreCounted(t *testing.T) {
	stale := server("stale", 0)
	stale.SentSinceReport = 6
	for _, p := range []router.Policy{router.LeastLoad{}, router.DefaultPolicy()} {
		require.Equal(t, "known", choose(t, p, router.Call{ID: "1", DataCentre: "x"}, stale, server("known", 5)).Server)
	}
}

func TestLeavingAndFailedServersAreAvoided(t *testing.T) {
	leaving, failed := server("leaving", 0), server("failed", 0)
	leaving.Leaving = true
	failed.BackoffUntil = 1001
	for _, p := range []router.Policy{router.Random{}, router.RoundRobin{}, router.LeastLoad{}, router.DefaultPolicy()} {
		for i := range 20 {
			c := router.Call{ID: fmt.Sprint(i), DataCentre: "x", Sequence: uint64(i)}
			require.Equal(t, "full", choose(t, p, c, leaving, failed, server("full", 20)).Server, "%T", p)
			require.Equal(t, "failed", choose(t, p, c, leaving, failed).Server, "%T", p)
		}
		_, err := router.Choose(p, router.Call{}, []router.Candidate{leaving}, 0)
		var none *router.NoCandidateError
		require.ErrorAs(t, err, &none)
		require.Equal(t, 1, none.Leaving)
	}
}

func TestCallsAreSpreadOverEquallyLoadedServers(t *testing.T) {
	chosen := map[string]int{}
	for i := range 400 {
		c := router.Call{ID: fmt.Sprint(i), DataCentre: "x"}
		chosen[choose(t, router.DefaultPolicy(), c, server("a", 3), server("b", 3), server("c", 3), server("d", 3)).Server]++
	}
	for s, n := range chosen {
		require.Greater(t, n, 60, s)
	}
	require.Len(t, chosen, 4)
}

func TestBackoffDoublesAndEndsWithSuccess(t *testing.T) {
	a := router.NewBackoff()
	require.Zero(t, a.Until("m"))
	a.Failed("m", 0)
	a.Failed("m", 10)
	require.Equal(t, timer.Millis(500), a.Until("m"), "a failure during the backoff counted again")
	a.Failed("m", 500)
	require.Equal(t, timer.Millis(1500), a.Until("m"))
	for range 20 {
		a.Failed("m", a.Until("m"))
	}
	before := a.Until("m")
	a.Failed("m", before)
	require.Equal(t, 30*timer.Second, a.Until("m")-before)
	a.Succeeded("m")
	require.Zero(t, a.Until("m"))
}

func TestHintsAreBoundedAndEvictTheLeastUsed(t *testing.T) {
	h := router.NewHints(100)
	h.Cached("a", []uint64{1, 2, 3}, 0)
	for p := uint64(1000); p < 3000; p++ {
		h.Cached("b", []uint64{p}, 0)
		h.Cached("a", []uint64{1, 2}, 0)
		require.LessOrEqual(t, h.Len(), 100)
	}
	require.Equal(t, []router.Overlap{{Server: "a", Count: 2}}, h.Find(nil, []uint64{1, 2, 3}, 0))
}

func TestHintsReflectCacheEvents(t *testing.T) {
	h := router.NewHints(100)
	h.Cached("a", []uint64{1, 2, 3}, 10)
	h.Cached("b", []uint64{1}, 11)
	find := func(now timer.Millis) []router.Overlap { return h.Find(nil, []uint64{1, 2, 3}, now) }
	require.Equal(t, []router.Overlap{{Server: "a", Count: 3}, {Server: "b", Count: 1}}, find(20))
	h.Evicted("a", 3)
	require.Equal(t, []router.Overlap{{Server: "a", Count: 2}, {Server: "b", Count: 1}}, find(20))
	h.Cleared("a", 30)
	require.Equal(t, []router.Overlap{{Server: "b", Count: 1}}, find(40))
	h.Cached("a", []uint64{1}, 50)
	require.Equal(t, []router.Overlap{{Server: "a", Count: 1}, {Server: "b", Count: 1}}, find(60))
	require.Empty(t, find(400_000), "an expired hint was used")
}

func record(servers int) registrar.Record {
	r := registrar.Record{Servers: make(map[string]registrar.BackendServer, servers)}
	for i := range servers {
		name := fmt.Sprintf("m%05d", i)
		r.Servers[name] = registrar.BackendServer{
			Name: name, DataCentre: fmt.Sprintf("dc-%d", i%10), Kind: registrar.KindModel,
			Models: []string{fmt.Sprintf("model-%d", i%3)}, Slots: 64,
		}
	}
	return r
}

func TestIndexReturnsAllOfFewServersAndSamplesMany(t *testing.T) {
	few := router.NewIndex(record(9))
	require.Len(t, few.Candidates(nil, router.Call{ID: "1", Model: "model-0"}, nil, nil), 3)
	require.Len(t, few.Candidates(nil, router.Call{ID: "1", Model: "model-0"}, nil, []string{"m00003"}), 2)
	require.Empty(t, few.Candidates(nil, router.Call{ID: "1", Model: "other"}, nil, nil))

	many := router.NewIndex(record(10_000))
	seen := map[string]bool{}
	for i := range 20_000 {
		c := router.Call{ID: fmt.Sprint(i), Model: "model-1", DataCentre: "dc-4"}
		got := many.Candidates(nil, c, []string{"m00001", "m00000"}, nil)
		require.LessOrEqual(t, len(got), 10)
		require.GreaterOrEqual(t, len(got), 5)
		require.Equal(t, "m00001", got[0].Name, "the hinted server of another model must not be a candidate")
		for _, b := range got {
			require.Equal(t, []string{"model-1"}, b.Models)
			seen[b.Name] = true
		}
	}
	require.Greater(t, len(seen), 3300, "some servers are never sampled")
}

func TestIndexLeavesOutLeavingServers(t *testing.T) {
	r := record(6)
	b := r.Servers["m00000"]
	b.Leaving = true
	r.Servers["m00000"] = b
	got := router.NewIndex(r).Candidates(nil, router.Call{Model: "model-0"}, nil, nil)
	require.Len(t, got, 1)
}
