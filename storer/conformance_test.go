package storer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// faultSwitches controls the simulated faults of an implementation.
type faultSwitches interface {
	SetFaults(f storer.Faults)
	Faults() storer.Faults
	SetHosts(hosts []storer.Host)
}

// conform checks the contract of Store.
func conform(t *testing.T, s storer.Store, w faultSwitches) {
	t.Helper()
	ctx := t.Context()
	conformValues(ctx, t, s)
	conformRace(ctx, t, s)
	conformWatch(ctx, t, s)
	conformFaults(ctx, t, s, w)
	conformHosts(ctx, t, s, w)
}

func conformValues(ctx context.Context, t *testing.T, s storer.Store) {
	t.Helper()
	v, err := s.Get(ctx, "a/missing")
	require.NoError(t, err)
	require.Zero(t, v.Version)
	require.Empty(t, v.Data)

	ok, err := s.CompareAndSwap(ctx, "a/one", []byte("1\x00ä"), 0)
	require.NoError(t, err)
	require.True(t, ok)
	ok, err = s.CompareAndSwap(ctx, "a/one", []byte("2"), 0)
	require.NoError(t, err)
	require.False(t, ok, "an existing key must not be created again")

	v, err = s.Get(ctx, "a/one")
	require.NoError(t, err)
	require.Equal(t, []byte("1\x00ä"), v.Data)
	ok, err = s.CompareAndSwap(ctx, "a/one", nil, v.Version)
	require.NoError(t, err)
	require.True(t, ok)
	ok, err = s.Delete(ctx, "a/one", v.Version)
	require.NoError(t, err)
	require.False(t, ok, "a stale version must not delete")

	_, err = s.CompareAndSwap(ctx, "b/other key?&=", []byte("x"), 0)
	require.NoError(t, err)
	keys, err := s.List(ctx, "a/")
	require.NoError(t, err)
	require.Equal(t, []string{"a/one"}, keys)
	keys, err = s.List(ctx, "")
	require.NoError(t, err)
	require.Equal(t, []string{"a/one", "b/other key?&="}, keys)
	keys, err = s.List(ctx, "c/")
	require.NoError(t, err)
	require.Empty(t, keys)

	v, err = s.Get(ctx, "a/one")
	require.NoError(t, err)
	require.Empty(t, v.Data)
	ok, err = s.Delete(ctx, "a/one", v.Version)
	require.NoError(t, err)
	require.True(t, ok)
	ok, err = s.Delete(ctx, "a/one", v.Version)
	require.NoError(t, err)
	require.True(t, ok, "a repeated delete reports that the key does not exist")

	var large *storer.TooLargeError
	_, err = s.CompareAndSwap(ctx, "a/large", make([]byte, storer.MaxValueBytes+1), 0)
	require.ErrorAs(t, err, &large)
	ok, err = s.CompareAndSwap(ctx, "a/large", make([]byte, storer.MaxValueBytes), 0)
	require.NoError(t, err)
	require.True(t, ok)
}

func conformRace(ctx context.Context, t *testing.T, s storer.Store) {
	t.Helper()
	const writers, rounds = 8, 5
	var wins atomic.Int64
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for range rounds {
				v, err := s.Get(ctx, "race")
				if err != nil {
					return
				}
				if ok, err := s.CompareAndSwap(ctx, "race", append(v.Data, 'x'), v.Version); err == nil && ok {
					wins.Add(1)
				}
			}
		})
	}
	all.Wait()
	v, err := s.Get(ctx, "race")
	require.NoError(t, err)
	require.Positive(t, wins.Load())
	require.Len(t, v.Data, int(wins.Load()), "each successful swap must be in the value exactly once")
}

func conformWatch(ctx context.Context, t *testing.T, s storer.Store) {
	t.Helper()
	const long = 20 * timer.Second
	created := watch(ctx, s, "w", 0, long)
	ok, err := s.CompareAndSwap(ctx, "unrelated", []byte("u"), 0)
	require.NoError(t, err)
	require.True(t, ok)
	ok, err = s.CompareAndSwap(ctx, "w", []byte("1"), 0)
	require.NoError(t, err)
	require.True(t, ok)
	one := <-created
	require.NoError(t, one.err)
	require.Equal(t, "1", string(one.value.Data))

	same, err := s.Watch(ctx, "w", one.value.Version, 30)
	require.NoError(t, err)
	require.Equal(t, one.value, same, "an expired watch returns the current value")

	removed := watch(ctx, s, "w", one.value.Version, long)
	ok, err = s.Delete(ctx, "w", one.value.Version)
	require.NoError(t, err)
	require.True(t, ok)
	deletion := <-removed
	require.NoError(t, deletion.err)
	require.Zero(t, deletion.value.Version)

	short, cancel := context.WithCancel(ctx)
	stopped := watch(short, s, "w", 0, long)
	cancel()
	require.ErrorIs(t, (<-stopped).err, context.Canceled)
}

type watchResult struct {
	value storer.Value
	err   error
}

func watch(ctx context.Context, s storer.Store, key string, old storer.Version, wait timer.Millis) <-chan watchResult {
	c := make(chan watchResult, 1)
	go func() {
		v, err := s.Watch(ctx, key, old, wait)
		c <- watchResult{v, err}
	}()
	return c
}

func conformFaults(ctx context.Context, t *testing.T, s storer.Store, w faultSwitches) {
	t.Helper()
	var unavailable *storer.UnavailableError
	w.SetFaults(storer.Faults{LoseAnswers: 1})
	ok, err := s.CompareAndSwap(ctx, "lost", []byte("kept"), 0)
	require.False(t, ok)
	require.ErrorAs(t, err, &unavailable)
	require.Zero(t, w.Faults().LoseAnswers)
	v, err := s.Get(ctx, "lost")
	require.NoError(t, err)
	require.Equal(t, "kept", string(v.Data), "a write whose response was lost took effect")

	waiting := watch(ctx, s, "lost", v.Version, 20*timer.Second)
	w.SetFaults(storer.Faults{Outage: true})
	_, err = s.Get(ctx, "lost")
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, "get", unavailable.Call)
	require.ErrorAs(t, (<-waiting).err, &unavailable)
	_, err = s.CompareAndSwap(ctx, "lost", []byte("no"), v.Version)
	require.ErrorAs(t, err, &unavailable)
	w.SetFaults(storer.Faults{})
	same, err := s.Get(ctx, "lost")
	require.NoError(t, err)
	require.Equal(t, v, same, "a write during an outage has no effect")

	w.SetFaults(storer.Faults{Delay: 60 * timer.Second})
	short, cancel := context.WithTimeout(ctx, (20 * timer.Millis(1)).Duration())
	defer cancel()
	_, err = s.Get(short, "lost")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	w.SetFaults(storer.Faults{})
}

func conformHosts(ctx context.Context, t *testing.T, s storer.Store, w faultSwitches) {
	t.Helper()
	list := []storer.Host{{Name: "h1", Address: "127.0.0.1:8480"}, {Name: "h2", Address: "127.0.0.2:8480", Leaving: true}}
	w.SetHosts(list)
	got, err := s.Hosts(ctx)
	require.NoError(t, err)
	require.Equal(t, list, got)
	w.SetFaults(storer.Faults{HostLag: 3600 * timer.Second})
	w.SetHosts(nil)
	got, err = s.Hosts(ctx)
	require.NoError(t, err)
	require.Empty(t, got, "a list is not returned before its lag has elapsed")
	w.SetFaults(storer.Faults{})
}

func TestMemoryConforms(t *testing.T) {
	m := storer.NewMemory()
	conform(t, m, m)
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storer.NewMemory()
		m.SetFaults(storer.Faults{HostLag: 5 * timer.Second})
		first := []storer.Host{{Name: "h1"}}
		second := []storer.Host{{Name: "h1", Leaving: true}}
		m.SetHosts(first)
		advance(6 * timer.Second)
		m.SetHosts(second)
		advance(4 * timer.Second)
		got, err := m.Hosts(t.Context())
		require.NoError(t, err)
		require.Equal(t, first, got)
		advance(2 * timer.Second)
		got, err = m.Hosts(t.Context())
		require.NoError(t, err)
		require.Equal(t, second, got)
	})
}
