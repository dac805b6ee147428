package router_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func request(id string) *requester.Request { return &requester.Request{ID: id, Model: "model-0"} }

func newFinder() *router.Chooser { return router.NewChooser(router.DefaultPolicy(), timer.System()) }

// withServer returns the next version of r, with change applied to one server.
func withServer(r registrar.Record, name string, change func(*registrar.BackendServer)) registrar.Record {
	r.Version++
	r.Servers = maps.Clone(r.Servers)
	b := r.Servers[name]
	change(&b)
	r.Servers[name] = b
	return r
}

func TestIndexIsRebuiltOnlyWhenServersChange(t *testing.T) {
	x := newFinder()
	find := func(r registrar.Record) *registrar.BackendServer {
		return &x.Find(request("1"), &coordinator.Snapshot{Record: r}, nil)[0]
	}
	first := record(9)
	first.Version = 7
	kept := find(first)

	encoded, err := first.Encode()
	require.NoError(t, err)
	second, err := registrar.Decode(encoded)
	require.NoError(t, err)
	second.Version, second.Epoch = 8, 3
	require.Same(t, kept, find(second), "the index was rebuilt although no server changed")

	third := withServer(second, "m00000", func(b *registrar.BackendServer) { b.Slots = 5 })
	rebuilt := find(third)
	require.Equal(t, 5, rebuilt.Slots)
	require.Same(t, rebuilt, find(second), "the index was rebuilt for an older version")
}

func TestFindUsesNewRecordsDuringConcurrentCalls(t *testing.T) {
	x := newFinder()
	r := record(600)
	r.Version = 1
	var newest atomic.Pointer[registrar.Record]
	newest.Store(&r)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var empty atomic.Int64
	for n := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := coordinator.Snapshot{Record: *newest.Load()}
				if len(x.Find(request(fmt.Sprint(n, "-", i)), &s, nil)) == 0 {
					empty.Add(1)
				}
			}
		})
	}
	for i := range 100 {
		n := withServer(*newest.Load(), fmt.Sprintf("m%05d", 3*i), func(b *registrar.BackendServer) { b.Leaving = true })
		newest.Store(&n)
		x.Find(request("writer"), &coordinator.Snapshot{Record: n}, nil)
	}
	close(stop)
	callers.Wait()
	require.Zero(t, empty.Load(), "calls found no server while the index was rebuilt")
	s := coordinator.Snapshot{Record: *newest.Load()}
	for i := range 2000 {
		for _, b := range x.Find(request(fmt.Sprint(i)), &s, nil) {
			require.GreaterOrEqual(t, b.Name, "m00300", "found a server that was leaving before the last version")
		}
	}
	require.True(t, x.Leaving(request("1"), &s))
	require.False(t, x.Leaving(&requester.Request{Model: "model-1"}, &s))
}

func TestFindReturnsTriedServersWhenThereAreNoOthers(t *testing.T) {
	x := newFinder()
	s := coordinator.Snapshot{Record: record(3 * 17)}
	all := slices.Sorted(maps.Keys(s.Record.Servers))
	require.NotEmpty(t, x.Find(request("1"), &s, all))
	for i := range 1000 {
		for _, b := range x.Find(request(fmt.Sprint(i)), &s, all[:9]) {
			require.NotContains(t, all[:9], b.Name)
		}
	}
}

// TestHostsSampleTheSameServersForAPrompt checks that all hosts sample the same
// servers for prompts that begin alike. This lets them benefit from prefixes cached
// by each other's calls before any hint arrives.
func TestHostsSampleTheSameServersForAPrompt(t *testing.T) {
	s := coordinator.Snapshot{Record: record(3000)}
	names := func(id string) map[string]bool {
		q := request(id)
		q.Prefix = []uint64{42, 43}
		out := map[string]bool{}
		for _, b := range newFinder().Find(q, &s, nil) {
			out[b.Name] = true
		}
		return out
	}
	shared := names("0")
	for i := range 50 {
		other := names(fmt.Sprint("x", i))
		maps.DeleteFunc(shared, func(n string, _ bool) bool { return !other[n] })
	}
	require.Len(t, shared, 3)
}
