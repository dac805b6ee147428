package storer_test

import (
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// A late write is not answered, and is carried out if its condition holds then.
func TestLateWritesAreCarriedOutLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, late := storer.NewMemoryLedger(timer.System()), true
		l := storer.NewLateLedger(m, func(storer.Write) (timer.Millis, bool) { return 3000, late })
		set := func(value string, at storer.Revision) storer.Transaction {
			return storer.Transaction{
				Conditions: []storer.Condition{{Key: "k", Revision: at}}, Set: []storer.Item{{Key: "k", Value: []byte(value)}},
			}
		}
		var unknown *storer.UnknownOutcomeError
		_, err := l.Commit(t.Context(), set("1", 0))
		require.ErrorAs(t, err, &unknown)
		_, err = l.Grant(t.Context(), 9000)
		require.ErrorAs(t, err, &unknown)
		pass := func(m timer.Millis) { timer.Sleep(t.Context(), m) }
		pass(2900)
		items, _, err := l.Range(t.Context(), "k")
		require.NoError(t, err)
		require.Empty(t, items)
		l.Wait()
		items, _, err = l.Range(t.Context(), "k")
		require.NoError(t, err)
		require.Len(t, items, 1)

		_, err = l.Commit(t.Context(), set("2", items[0].Revision))
		require.ErrorAs(t, err, &unknown)
		late = false
		_, err = l.Commit(t.Context(), set("3", items[0].Revision))
		require.NoError(t, err)
		l.Wait()
		items, _, err = l.Range(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "3", string(items[0].Value))
	})
}
