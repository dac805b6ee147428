package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// coldLeft returns for how long server a stays cold.
func coldLeft(s cataloger.Snapshot, c timer.Clock) int {
	if cold := s.Servers["a"].Cold; cold.Contains(c.Now()) {
		return int(cold.Until - c.Now())
	}
	return 0
}

func (x *fixture) coldLeft() int {
	return coldLeft(x.f.Snapshot(), x.clock)
}

// A server is cold from the receipt of its entry on. The same entry says nothing new when it
// is read again: after the store lost its history, in an outage, with a new lease.
func TestColdPeriodIsNotBegunAnewByTheSameEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		pass(1000)
		x.set("servers/a", "4 9000", 0)
		pass(1000)
		require.InDelta(t, 8500, x.coldLeft(), 500)
		known := x.f.Snapshot().Servers["a"].Cold
		require.False(t, known.Again)
		x.set("servers/a", "4 9000", 0)
		pass(1000)
		require.Same(t, known, x.f.Snapshot().Servers["a"].Cold)
		x.ledger.Compact()
		x.set("config", "5", 0)
		x.ledger.Compact()
		pass(1500)
		require.Same(t, known, x.f.Snapshot().Servers["a"].Cold)
		x.set("servers/a", "5 2000", 0)
		pass(700)
		require.InDelta(t, 1700, x.coldLeft(), 400, "a later entry counts, also if it states less")
		require.Equal(t, known.From, x.f.Snapshot().Servers["a"].Cold.From, "it is the same period")
		pass(2000)
		require.Zero(t, x.coldLeft())
	})
}

// A server that was in use becomes cold again, and then warm by its own word.
func TestServerIsColdAgainByALaterEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("servers/a", "4 1", 0)
		pass(1500)
		x.set("servers/a", "5 9000", 0)
		pass(1000)
		require.True(t, x.f.Snapshot().Servers["a"].Cold.Again)
		require.Greater(t, x.coldLeft(), 7000)
		x.set("servers/a", "6 0", 0)
		pass(1000)
		require.Zero(t, x.coldLeft())
	})
}

// Guards against a server that is cold without end, and against a silent correction.
func TestOddColdPeriodIsBoundedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		clock := timer.System()
		l := storer.NewMemoryLedger(clock)
		f := follower.New(follower.Options{Ledger: l, Decoder: decoder{}, Clock: clock, Logger: zap.New(core)})
		defer f.Close()
		set := func(value string) int {
			_, err := l.Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: "servers/a", Value: []byte(value)}}})
			require.NoError(t, err)
			pass(1000)
			return coldLeft(f.Snapshot(), clock)
		}
		require.Zero(t, set("1 -5"))
		require.InDelta(t, 599500, set("2 900000000"), 500)
		require.Equal(t, 2, logs.FilterMessage("stated cold period of a server is out of range").Len())
	})
}

// Evacuations persist while the store is away, and a full read brings those that were made or
// cancelled meanwhile. An unknown data centre is only logged.
func TestEvacuationsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		l := storer.NewMemoryLedger(timer.System())
		store := &countedLedger{Ledger: l, requests: new(atomic.Int64)}
		f := follower.New(follower.Options{Ledger: store, Decoder: decoder{}, Clock: timer.System(), Logger: zap.New(core)})
		defer f.Close()
		commit := func(change storer.Transaction) {
			_, err := l.Commit(context.Background(), change)
			require.NoError(t, err)
		}
		evacuate := func(name string) {
			commit(storer.Transaction{Set: []storer.Item{{Key: "evacuate/" + name, Value: []byte("{}")}}})
		}
		evacuate("a")
		evacuate("nowhere")
		pass(1000)
		require.Equal(t, map[string]bool{"a": true, "nowhere": true}, f.Snapshot().Evacuated)
		require.Equal(t, 2, logs.FilterMessage("evacuated data centre is unknown").Len())
		store.unavailable.Store(true)
		pass(1000)
		evacuate("b")
		commit(storer.Transaction{Delete: []string{"evacuate/nowhere"}})
		pass(20000)
		require.Equal(t, map[string]bool{"a": true, "nowhere": true}, f.Snapshot().Evacuated, "the last known state holds")
		l.Compact()
		store.unavailable.Store(false)
		pass(3000)
		require.Equal(t, map[string]bool{"a": true, "b": true}, f.Snapshot().Evacuated)
		commit(storer.Transaction{Delete: []string{"evacuate/a"}})
		pass(1000)
		require.Equal(t, map[string]bool{"b": true}, f.Snapshot().Evacuated)
	})
}

// The store refuses half of the hosts. Each of them learns of an evacuation from the others
// within the time that operators require.
func TestEvacuationReachesHostsThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(24)
		defer r.close()
		pass(5000)
		r.setUnavailable(12)
		pass(3000)
		_, err := r.ledgers[23].Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: "evacuate/a", Value: []byte("{}")}}})
		require.NoError(t, err)
		pass(5000)
		for i, f := range r.followers {
			require.True(t, f.Snapshot().Evacuated["a"], "host %d", i)
		}
	})
}
