package enroller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/enroller"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// pass lets virtual time pass.
func pass(m timer.Millis) { timer.Sleep(context.Background(), m) }

// entry reads the entry from the store, and returns false if there is none.
func entry(t *testing.T, l storer.Ledger) (cataloger.Member, bool) {
	t.Helper()
	items, _, err := l.Range(t.Context(), "hosts/a")
	require.NoError(t, err)
	if len(items) == 0 {
		return cataloger.Member{}, false
	}
	var m cataloger.Member
	require.NoError(t, cbor.Unmarshal(items[0].Value, &m))
	return m, true
}

func start(l storer.Ledger) *enroller.Enroller { return startWithHosts(l, func() int { return 1 }) }

func startWithHosts(l storer.Ledger, hosts func() int) *enroller.Enroller {
	return enroller.New(enroller.Options{Ledger: l, Key: "hosts/a", TTL: 3000, Hosts: hosts, StoreUnavailable: func() bool { return false }, Logger: zap.NewNop()}, cataloger.Member{Name: "a"})
}

// countedLedger counts the renewals that a store receives.
type countedLedger struct {
	*storer.MemoryLedger
	renewals atomic.Int64
}

func (c *countedLedger) Renew(ctx context.Context, l storer.Lease) error {
	c.renewals.Add(1)
	return c.MemoryLedger.Renew(ctx, l)
}

// Thousands of hosts renew their leases at one store. A host that starts has no
// record of other hosts, so it begins with a short lease.
func TestLeaseGrowsWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &countedLedger{MemoryLedger: storer.NewMemoryLedger(timer.System())}
		var hosts atomic.Int64
		e := startWithHosts(l, func() int { return int(hosts.Load()) })
		defer e.Close()
		pass(10000)
		few := l.renewals.Swap(0)
		require.InDelta(t, 6.5, few, 1)
		hosts.Store(3600)
		pass(10000)
		l.renewals.Store(0)
		pass(120000)
		require.LessOrEqual(t, l.renewals.Load(), int64(4))
		_, ok := entry(t, l)
		require.True(t, ok, "the previous lease has expired")
		hosts.Store(9)
		pass(25000)
		l.renewals.Store(0)
		pass(10000)
		require.InDelta(t, 6.5, l.renewals.Load(), 1)
	})
}

func TestEntryExistsAsLongAsItsHostRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := storer.NewMemoryLedger(timer.System())
		e := start(l)
		pass(30000)
		m, ok := entry(t, l)
		require.True(t, ok)
		require.False(t, m.Leaving)
		m.Leaving = true
		e.Set(m)
		pass(100)
		m, _ = entry(t, l)
		require.True(t, m.Leaving)
		e.Close()
		_, ok = entry(t, l)
		require.False(t, ok)
	})
}

func TestEntryIsRenewedAfterItExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := storer.NewMemoryLedger(timer.System())
		e := start(l)
		defer e.Close()
		pass(1000)
		l.SetUnavailable(true)
		pass(8000)
		l.SetUnavailable(false)
		pass(2000)
		_, ok := entry(t, l)
		require.True(t, ok)
	})
}

// The store is unavailable, and all hosts of a fleet would retry their renewals.
func TestNoRenewalIsSentToUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &countedLedger{MemoryLedger: storer.NewMemoryLedger(timer.System())}
		var unavailable atomic.Bool
		e := enroller.New(enroller.Options{
			Ledger: l, Key: "hosts/a", TTL: 3000, Hosts: func() int { return 1 }, StoreUnavailable: unavailable.Load, Logger: zap.NewNop(),
		}, cataloger.Member{Name: "a"})
		defer e.Close()
		pass(5000)
		unavailable.Store(true)
		l.SetUnavailable(true)
		pass(1600)
		l.renewals.Store(0)
		pass(10000)
		require.Zero(t, l.renewals.Load())
		unavailable.Store(false)
		l.SetUnavailable(false)
		pass(500)
		_, ok := entry(t, l)
		require.True(t, ok, "the entry is renewed as soon as the store is available")
	})
}
