package enroller_test

import (
	"context"
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

func pass(m timer.Millis) { timer.Sleep(context.Background(), m) }

// entry reads the entry, and false when there is none.
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

func start(l storer.Ledger) *enroller.Enroller {
	return enroller.New(enroller.Options{Ledger: l, Key: "hosts/a", TTL: 3000, Logger: zap.NewNop()}, cataloger.Member{Name: "a"})
}

func TestEntryLivesAsLongAsItsHost(t *testing.T) {
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

func TestEntryIsBackAfterItRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := storer.NewMemoryLedger(timer.System())
		e := start(l)
		defer e.Close()
		pass(1000)
		l.SetAway(true)
		pass(8000)
		l.SetAway(false)
		pass(2000)
		_, ok := entry(t, l)
		require.True(t, ok)
	})
}
