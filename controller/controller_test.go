package controller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/controller"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// fleet is a set of hosts in one process, inside a synctest bubble.
type fleet struct {
	t     *testing.T
	net   *messenger.Memory
	store *storer.Memory
	hosts map[string]*controller.Controller
	runs  int
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, net: messenger.NewMemory(), store: storer.NewMemory(), hosts: make(map[string]*controller.Controller)}
	t.Cleanup(func() {
		for name := range f.hosts {
			f.kill(name)
		}
	})
	for _, n := range names {
		f.start(n)
	}
	return f
}

func (f *fleet) start(name string, seeds ...string) *controller.Controller {
	f.runs++
	m := registrar.Member{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, f.runs), PeerAddress: name, DataCentre: "dc-" + name}
	h := f.net.Host(name, messenger.Peer{Name: name, Incarnation: m.Incarnation})
	c, err := controller.New(controller.Options{
		Self: m, Seeds: seeds, Store: f.store, Caller: h, Registry: h, Clock: timer.System(),
	})
	require.NoError(f.t, err)
	c.Start()
	f.hosts[name] = c
	return c
}

func (f *fleet) kill(name string) {
	f.net.Remove(name)
	require.NoError(f.t, f.hosts[name].Close())
	delete(f.hosts, name)
}

// await waits, in virtual time, until every host satisfies ready.
func (f *fleet) await(limit time.Duration, ready func(coordinator.Snapshot) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	defer cancel()
	for name, c := range f.hosts {
		require.NoError(f.t, c.Await(ctx, ready), "host %s: %+v", name, c.View().Record)
	}
}

func members(n int) func(coordinator.Snapshot) bool {
	return func(s coordinator.Snapshot) bool { return len(s.Record.Members) == n && s.Member() }
}

func (f *fleet) change(host, id string, c registrar.Change) coordinator.ChangeResult {
	f.t.Helper()
	r, err := f.hosts[host].Change(f.t.Context(), id, c)
	require.NoError(f.t, err)
	return r
}

func workspace(name string) registrar.Change {
	return registrar.PutWorkspace{Workspace: registrar.Workspace{Name: name}, Create: true}
}

func TestFleetFormsAndAcceptsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		f.await(10*time.Second, members(5))
		require.LessOrEqual(t, f.hosts["a"].View().Record.Epoch, registrar.Epoch(4), "joins are batched")
		begin := time.Now()
		r := f.change("b", "w1", workspace("kitchen"))
		require.True(t, r.Accepted)
		require.Less(t, time.Since(begin), 2*time.Second)
		again := f.change("c", "w1", workspace("kitchen"))
		require.Equal(t, r.Version, again.Version, "the same change through another host")
		_, err := f.hosts["d"].Change(t.Context(), "w2", workspace("kitchen"))
		var refused *registrar.RefusedError
		require.ErrorAs(t, err, &refused)
	})
}

func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		time.Sleep(8 * time.Second)
		var objects []coordinator.Object
		for i := range 100 {
			o := coordinator.ServerObject(fmt.Sprint(i))
			if m, _ := f.hosts["a"].View().Owner(o); m.Name == "a" {
				objects = append(objects, o)
			}
		}
		begin := time.Now()
		require.NoError(t, f.hosts["a"].Drain(t.Context()))
		f.kill("a")
		for _, o := range objects {
			owned := func() bool {
				for _, h := range f.hosts {
					if h.View().Owns(o, h.Now()) {
						return true
					}
				}
				return false
			}
			for !owned() {
				require.Less(t, time.Since(begin), 2*time.Second)
				time.Sleep(10 * time.Millisecond)
			}
		}
		t.Logf("handed over %d objects in %v", len(objects), time.Since(begin))
	})
}

func TestSilentHostIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e", "f", "g", "h", "i")
		f.await(10*time.Second, members(9))
		time.Sleep(8 * time.Second)
		epoch := f.hosts["a"].View().Record.Epoch
		f.kill("i")
		f.kill("h")
		f.kill("g")
		begin := time.Now()
		f.await(20*time.Second, members(6))
		t.Logf("removed after %v", time.Since(begin))
		require.Equal(t, epoch+1, f.hosts["a"].View().Record.Epoch, "hosts lost together are removed in one epoch")
	})
}

func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		f.await(10*time.Second, members(5))
		f.store.SetFaults(storer.Faults{Outage: true})
		time.Sleep(time.Hour)
		for _, c := range f.hosts {
			require.True(t, c.View().Permitted(c.Now()))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.hosts["a"].Change(ctx, "x", workspace("x"))
		var unwritten *coordinator.UnwrittenError
		require.ErrorAs(t, err, &unwritten)
		// A host that starts during the outage fetches the record from its peers and
		// is permitted to act, though it isn't a member yet.
		f.kill("e")
		e := f.start("e", "a", "b")
		require.NoError(t, e.Await(t.Context(), func(s coordinator.Snapshot) bool { return s.Permitted(e.Now()) }))
		require.False(t, e.View().Member())
		f.store.SetFaults(storer.Faults{})
		f.await(15*time.Second, members(5))
	})
}

// A change made the record larger than a value of the store may be. It was tried again
// until its deadline.
func TestChangeThatDoesNotFitIntoTheStoreIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		time.Sleep(3 * time.Second)
		begin := time.Now()
		errs := make(map[string]error)
		var mu sync.Mutex
		var changes sync.WaitGroup
		for id, name := range map[string]string{"large": strings.Repeat("x", storer.MaxValueBytes), "small": "w1", "other": "w2"} {
			changes.Go(func() {
				_, err := f.hosts["a"].Change(t.Context(), id, workspace(name))
				mu.Lock()
				defer mu.Unlock()
				errs[id] = err
			})
		}
		changes.Wait()
		var refused *registrar.RefusedError
		require.ErrorAs(t, errs["large"], &refused)
		require.Equal(t, coordinator.CodeRecordTooLarge, refused.Code)
		require.NoError(t, errs["small"])
		require.NoError(t, errs["other"])
		require.Less(t, time.Since(begin), 5*time.Second)
	})
}

func TestPartitionedHostStopsActing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		f.store.SetFaults(storer.Faults{Outage: true})
		for _, o := range []string{"b", "c"} {
			f.net.Cut("a", o, true)
		}
		time.Sleep(6 * time.Second)
		require.False(t, f.hosts["a"].View().Permitted(f.hosts["a"].Now()))
		require.True(t, f.hosts["b"].View().Permitted(f.hosts["b"].Now()))
	})
}

func TestChangeWithLostStoreAnswerIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		time.Sleep(3 * time.Second)
		f.store.SetFaults(storer.Faults{LoseAnswers: 1})
		before := f.hosts["a"].View().Record.Version
		r := f.change("a", "w", workspace("w"))
		require.True(t, r.Accepted)
		require.Equal(t, before+1, r.Version, "written once")
	})
}

func TestFleetFormsAfterAllHostsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		for _, n := range []string{"a", "b", "c"} {
			f.kill(n)
		}
		for _, n := range []string{"a", "b", "c"} {
			f.start(n)
		}
		begin := time.Now()
		f.await(20*time.Second, members(3))
		t.Logf("after %v", time.Since(begin))
	})
}

func TestForcedRemovalAfterMajorityLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		f.await(10*time.Second, members(5))
		for _, n := range []string{"c", "d", "e"} {
			f.kill(n)
		}
		time.Sleep(30 * time.Second)
		require.Len(t, f.hosts["a"].View().Record.Members, 5, "a minority can't distinguish lost hosts from a network partition")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r, err := f.hosts["a"].Change(ctx, "w", workspace("w"))
		require.NoError(t, err)
		require.False(t, r.Accepted, "written, but not known to have reached the other hosts")
		r = f.change("b", "r", registrar.RemoveHosts{Names: []string{"c", "d", "e"}, Force: true})
		require.True(t, r.Accepted)
		require.True(t, f.change("a", "w", workspace("w")).Accepted, "the repeated change is accepted")
	})
}

func TestClosedHostIsNotPermittedToAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		a := f.hosts["a"]
		require.True(t, a.View().Permitted(a.Now()))
		f.kill("a")
		require.False(t, a.View().Permitted(a.Now()), "its address may be bound by another process now")
	})
}

func TestSubscribersAreNotifiedOfWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		f.change("a", "w", workspace("w"))
		f.change("a", "k", registrar.GiveKey{Key: registrar.Key{ID: "k", Workspace: "w"}})
		begin := time.Now()
		f.change("a", "wk", registrar.WithdrawKey{KeyID: "k"})
		f.await(5*time.Second, func(s coordinator.Snapshot) bool { _, ok := s.Record.Keys["k"]; return !ok })
		require.Less(t, time.Since(begin), 2*time.Second)
	})
}

// TestPeersSendOnlyADelta checks that a host that requests the record from a peer
// receives a delta if it holds an earlier version, and the whole record if it holds
// none.
func TestPeersSendOnlyADelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.await(10*time.Second, members(3))
		call := func(held registrar.Version) coordinator.RecordResponse {
			body, err := cbor.Marshal(coordinator.RecordRequest{Held: held})
			require.NoError(t, err)
			var report coordinator.RecordResponse
			client := f.net.Host("asker", messenger.Peer{})
			require.NoError(t, client.Call(t.Context(), "a", coordinator.MethodRecord, body, func(b []byte) error {
				return cbor.Unmarshal(b, &report)
			}))
			return report
		}
		before := f.hosts["a"].View().Record
		f.change("a", "w", workspace("w"))
		after := f.hosts["a"].View().Record
		report := call(before.Version)
		require.NotNil(t, report.Delta)
		got, err := before.WithDelta(*report.Delta)
		require.NoError(t, err)
		require.Equal(t, after.Version, got.Version)
		require.Contains(t, got.Workspaces, "w")
		require.NotEmpty(t, call(0).Encoded, "a host that holds no record gets the whole record")
	})
}
