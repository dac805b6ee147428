package follower_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// decoder decodes the short values of these tests: "config" holds a version,
// "servers/ID" and "hosts/NAME" hold a state. That of a server is "SEQUENCE COLD-FOR" if it
// is cold. "evacuate/NAME" holds anything.
type decoder struct{}

func (decoder) Kind(key string) follower.Fact {
	switch {
	case key == "config":
		return follower.ConfigFact{}
	case strings.HasPrefix(key, "servers/"):
		return follower.ServerFact{Server: cataloger.Server{ID: strings.TrimPrefix(key, "servers/")}}
	case strings.HasPrefix(key, "hosts/"):
		return follower.MemberFact{Member: cataloger.Member{Name: strings.TrimPrefix(key, "hosts/")}}
	case strings.HasPrefix(key, "evacuate/"):
		return follower.EvacuateFact{DataCentre: strings.TrimPrefix(key, "evacuate/")}
	case strings.HasPrefix(key, "quarantine/"):
		return follower.QuarantineFact{Fingerprint: 7}
	}
	return follower.OtherFact{}
}

func (d decoder) Decode(i storer.Item) (follower.Fact, error) {
	_, name, _ := strings.Cut(i.Key, "/")
	if string(i.Value) == "?" {
		return nil, eris.New("unreadable")
	}
	switch d.Kind(i.Key).(type) {
	case follower.ConfigFact:
		n, err := strconv.ParseInt(string(i.Value), 10, 64)
		return follower.ConfigFact{Config: cataloger.NewConfig(cataloger.ConfigParts{Version: n})}, err
	case follower.ServerFact:
		var sequence int64
		var cold timer.Millis
		// Other states leave both zero.
		_, _ = fmt.Sscan(string(i.Value), &sequence, &cold)
		return follower.ServerFact{Server: cataloger.Server{ID: name, Draining: string(i.Value) == "draining"}, Sequence: sequence, ColdFor: cold}, nil
	case follower.EvacuateFact:
		return d.Kind(i.Key), nil
	case follower.MemberFact:
		return follower.MemberFact{Member: cataloger.Member{Name: name, Leaving: string(i.Value) == "leaving"}}, nil
	case follower.QuarantineFact:
		return follower.QuarantineFact{Fingerprint: 7, Quarantine: cataloger.Quarantine{Revision: uint64(i.Revision)}}, nil
	}
	return follower.OtherFact{}, nil
}

type fixture struct {
	t      *testing.T
	clock  timer.Clock
	ledger *storer.MemoryLedger
	f      *follower.Follower
}

func start(t *testing.T) *fixture {
	x := &fixture{t: t, clock: timer.System()}
	x.ledger = storer.NewMemoryLedger(x.clock)
	x.f = follower.New(follower.Options{Ledger: x.ledger, Decoder: decoder{}, Clock: x.clock, Logger: zap.NewNop()})
	t.Cleanup(x.f.Close)
	return x
}

func (x *fixture) set(key, value string, l storer.Lease) {
	_, err := x.ledger.Commit(context.Background(), storer.Transaction{Set: []storer.Item{{Key: key, Value: []byte(value), Lease: l}}})
	require.NoError(x.t, err)
}

// pass lets virtual time pass.
func pass(m timer.Millis) { timer.Sleep(context.Background(), m) }

func TestChangesAreReceivedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("config", "5", 0)
		x.set("servers/a", "ready", 0)
		pass(1000)
		require.EqualValues(t, 5, x.f.Snapshot().Config.Version)
		x.set("servers/a", "draining", 0)
		pass(1000)
		require.True(t, x.f.Snapshot().Servers["a"].Draining)
		require.Less(t, x.clock.Now()-x.f.Snapshot().ConfirmedAt, timer.Second)
	})
}

func TestEarlierConfigurationVersionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("config", "5", 0)
		pass(1000)
		x.set("config", "4", 0)
		pass(1000)
		require.EqualValues(t, 5, x.f.Snapshot().Config.Version)
	})
}

func TestAllKeysAreReadAfterStoreLosesHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("servers/a", "ready", 0)
		x.set("servers/b", "ready", 0)
		pass(1000)
		_, err := x.ledger.Commit(t.Context(), storer.Transaction{Delete: []string{"servers/a"}})
		require.NoError(t, err)
		x.set("servers/c", "ready", 0)
		x.ledger.Compact()
		pass(1500)
		s := x.f.Snapshot().Servers
		require.NotContains(t, s, "a")
		require.Contains(t, s, "b")
		require.Contains(t, s, "c")
	})
}

func TestUndecodableEntryRemovesItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("servers/a", "ready", 0)
		x.set("servers/b", "ready", 0)
		pass(1000)
		x.set("servers/a", "?", 0)
		pass(1000)
		require.NotContains(t, x.f.Snapshot().Servers, "a")
		require.Contains(t, x.f.Snapshot().Servers, "b")
	})
}

// The entry of a host and the record of a quarantined call turn unreadable. Hosts dropped
// the host and released the call.
func TestUndecodableEntriesOfHostsAndCallsKeepWhatWasKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		keys := []string{"hosts/h", "quarantine/7", "servers/a"}
		for _, k := range keys {
			x.set(k, "ready", 0)
		}
		pass(1000)
		for _, reload := range []bool{false, true} {
			for _, k := range keys {
				x.set(k, "?", 0)
			}
			if reload {
				x.ledger.Compact()
			}
			pass(1500)
			s := x.f.Snapshot()
			require.Contains(t, s.Members, "h")
			require.Contains(t, s.Quarantined, uint64(7))
			require.NotContains(t, s.Servers, "a")
		}
		_, err := x.ledger.Commit(t.Context(), storer.Transaction{Delete: keys})
		require.NoError(t, err)
		pass(1500)
		s := x.f.Snapshot()
		require.Empty(t, s.Members)
		require.Empty(t, s.Quarantined)
	})
}

// The entry of a server turns unreadable while the store was away, when missing entries are
// kept.
func TestUndecodableEntryRemovesItsServerAfterAnOutageToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("servers/a", "ready", 0)
		x.set("servers/b", "ready", 0)
		pass(1000)
		x.ledger.SetUnavailable(true)
		pass(5000)
		x.ledger.SetUnavailable(false)
		x.set("servers/a", "?", 0)
		pass(1200)
		require.NotContains(t, x.f.Snapshot().Servers, "a")
		require.Contains(t, x.f.Snapshot().Servers, "b")
	})
}

// expireLeases makes the store unavailable for six seconds, in which leases expire.
func (x *fixture) expireLeases() {
	x.ledger.SetUnavailable(true)
	pass(6000)
	x.ledger.SetUnavailable(false)
}

func TestEntriesExpiredDuringOutageAreKeptUntilRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		l, err := x.ledger.Grant(t.Context(), 3000)
		require.NoError(t, err)
		x.set("servers/a", "ready", l)
		x.set("servers/gone", "ready", l)
		x.set("hosts/h", "", l)
		pass(1000)
		x.expireLeases()
		pass(1000)
		require.Len(t, x.f.Snapshot().Servers, 2)
		require.Contains(t, x.f.Snapshot().Members, "h")
		x.set("servers/a", "ready", 0)
		pass(3000)
		require.Contains(t, x.f.Snapshot().Servers, "a")
		require.NotContains(t, x.f.Snapshot().Servers, "gone")
		require.NotContains(t, x.f.Snapshot().Members, "h")
	})
}

// Guards against servers and hosts that are kept as missing although they had said that they
// were about to go. All keys are read after an outage of the store.
func TestEntriesThatWereGoingAreNotKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		l, err := x.ledger.Grant(t.Context(), 3000)
		require.NoError(t, err)
		x.set("servers/going", "draining", l)
		x.set("servers/there", "ready", l)
		x.set("hosts/going", "leaving", l)
		x.set("hosts/there", "ready", l)
		pass(1000)
		x.ledger.SetUnavailable(true)
		pass(4000)
		x.ledger.Compact()
		x.ledger.SetUnavailable(false)
		pass(1500)
		s := x.f.Snapshot()
		require.Contains(t, s.Servers, "there")
		require.Contains(t, s.Members, "there")
		require.NotContains(t, s.Servers, "going")
		require.NotContains(t, s.Members, "going")
	})
}

// The store may lose its history of changes in the outage; the renewed entry is then
// seen only by a full read.
func TestRenewedEntrySeenByFullReadIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		l, err := x.ledger.Grant(t.Context(), 3000)
		require.NoError(t, err)
		x.set("servers/a", "ready", l)
		pass(1000)
		x.expireLeases()
		pass(1000)
		x.set("servers/a", "ready", 0)
		x.ledger.Compact()
		pass(4000)
		require.Contains(t, x.f.Snapshot().Servers, "a")
	})
}

func TestEntryDeletedWithoutOutageIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := start(t)
		x.set("servers/a", "ready", 0)
		pass(1000)
		_, err := x.ledger.Commit(t.Context(), storer.Transaction{Delete: []string{"servers/a"}})
		require.NoError(t, err)
		pass(1000)
		require.Empty(t, x.f.Snapshot().Servers)
	})
}

// cutLedger is a host's access to the store, which a test can cut.
type cutLedger struct {
	storer.Ledger
	on atomic.Bool
}

func (c *cutLedger) Watch(ctx context.Context, prefix string, after storer.Revision, wait timer.Millis) (storer.Changes, error) {
	if c.on.Load() {
		return storer.Changes{}, &storer.UnavailableError{Call: "watch"}
	}
	return c.Ledger.Watch(ctx, prefix, after, wait)
}

func TestRelayedConfirmationIsNeverFresherThanTheStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timer.System()
		ledger := storer.NewMemoryLedger(clock)
		net := messenger.NewMemory()
		var all []*follower.Follower
		var mu sync.Mutex
		var ledgers []*cutLedger
		for i := range 4 {
			name := "h" + strconv.Itoa(i)
			end := net.Host(name, messenger.Peer{Name: name})
			l := &cutLedger{Ledger: ledger}
			ledgers = append(ledgers, l)
			f := follower.New(follower.Options{
				Ledger: l, Decoder: decoder{}, Clock: clock, Logger: zap.NewNop(),
				Relay: &follower.Relay{Self: name, Caller: end, Candidates: func() []follower.Reader {
					mu.Lock()
					defer mu.Unlock()
					var out []follower.Reader
					for j, o := range all {
						n := "h" + strconv.Itoa(j)
						out = append(out, follower.Reader{Name: n, Address: n, Age: clock.Now() - o.Snapshot().ConfirmedAt})
					}
					return out
				}},
			})
			f.Serve(end)
			mu.Lock()
			all = append(all, f)
			mu.Unlock()
		}
		defer func() {
			for _, f := range all {
				f.Close()
			}
		}()
		set := func(version string) {
			_, err := ledger.Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: "config", Value: []byte(version)}}})
			require.NoError(t, err)
		}
		set("1")
		pass(3000)
		for v := 2; v < 30; v++ {
			ledgers[v%4].on.Store(v%3 == 0)
			ledger.SetUnavailable(v%7 == 0)
			if v%7 != 0 {
				set(strconv.Itoa(v))
			}
			changed := clock.Now()
			for range 30 {
				pass(100)
				for i, f := range all {
					s := f.Snapshot()
					if s.ConfirmedAt > changed && v%7 != 0 {
						require.EqualValues(t, v, s.Config.Version, "host %d confirmed after the change", i)
					}
				}
			}
		}
		ledger.SetUnavailable(false)
		pass(5000)
		for _, f := range all {
			require.EqualValues(t, 29, f.Snapshot().Config.Version)
			require.Less(t, clock.Now()-f.Snapshot().ConfirmedAt, 1500*timer.Millis(1))
		}
	})
}

func TestTwoHostsAreChosenToReadAndStaleOnesAreNot(t *testing.T) {
	list := []follower.Reader{
		{Name: "c", Bulk: true, Age: 200}, {Name: "a", Age: 100}, {Name: "b", Bulk: true, Age: 5000}, {Name: "d", Age: 300},
	}
	got := follower.ChooseReaders(list)
	require.Equal(t, "c", got[0].Name)
	require.Equal(t, "a", got[1].Name)
	require.Len(t, got, 2)
}
