package router_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/stretchr/testify/require"
)

// BenchmarkRoute measures finding candidates and choosing one, with hints.
func BenchmarkRoute(b *testing.B) {
	for _, servers := range []int{9, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			index := router.NewIndex(record(servers))
			hints := router.NewHints(router.DefaultHintCapacity)
			prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
			hints.Cached("m00001", prefix[:4], 0)
			var found []registrar.BackendServer
			var overlaps []router.Overlap
			candidates := make([]router.Candidate, 0, 32)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := router.Call{ID: fmt.Sprint(i), Model: "model-1", DataCentre: "dc-4", PrefixHashes: prefix}
				overlaps = hints.Find(overlaps[:0], prefix, 1)
				found = index.Candidates(found[:0], c, nil, nil)
				candidates = candidates[:0]
				for _, s := range found {
					candidates = append(candidates, router.Candidate{Server: s.Name, DataCentre: s.DataCentre, Slots: s.Slots, ModelLoaded: true})
				}
				_, _ = router.Choose(router.DefaultPolicy(), c, candidates, 1)
			}
		})
	}
}

// BenchmarkIndex measures building the index for a record.
func BenchmarkIndex(b *testing.B) {
	for _, servers := range []int{9, 10_000} {
		r := record(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = router.NewIndex(r)
			}
		})
	}
}

// TestStateSize limits the memory of Hints at capacity and of an Index of 10,000
// servers.
func TestStateSize(t *testing.T) {
	before := heap()
	hints := router.NewHints(router.DefaultHintCapacity)
	for p := range uint64(2 * router.DefaultHintCapacity) {
		hints.Cached(fmt.Sprint(p%100), []uint64{p}, 0)
	}
	perPrefix := float64(heap()-before) / router.DefaultHintCapacity
	r := record(10_000)
	before = heap()
	index := router.NewIndex(r)
	perServer := float64(heap()-before) / 10_000
	t.Logf("%.0f bytes per prefix, %.0f per server", perPrefix, perServer)
	require.Less(t, perPrefix, 512.0)
	require.Less(t, perServer, 2048.0)
	runtime.KeepAlive(hints)
	runtime.KeepAlive(index)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFollow measures the first call after a new version of the record. As
// after decoding, the record has a new map of servers. All of the 10,000 servers
// are unchanged, or one of them changed.
func BenchmarkFollow(b *testing.B) {
	first := record(10_000)
	first.Version = 1
	same := withServer(first, "m00000", func(*registrar.BackendServer) {})
	changed := withServer(first, "m00000", func(b *registrar.BackendServer) { b.Slots++ })
	for name, second := range map[string]registrar.Record{"same": same, "changed": changed} {
		b.Run(name, func(b *testing.B) {
			x := newFinder()
			a, s := coordinator.Snapshot{Record: first}, coordinator.Snapshot{Record: second}
			x.Find(request("1"), &a, nil)
			for b.Loop() {
				s.Record.Version++
				if s.Record.Version%2 == 0 {
					s.Record.Servers = second.Servers
				} else {
					s.Record.Servers = first.Servers
				}
				x.Find(request("1"), &s, nil)
			}
		})
	}
}
