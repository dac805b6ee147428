package mirrorer_test

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/stretchr/testify/require"
)

func TestBarredDiskIsNotMadeAHolder(t *testing.T) {
	v := view("a", "a", []string{"a", "b"}, []string{"a", "b", "c", "d"})
	v.Barred = map[string]bool{"b": true, "c": true}
	require.Equal(t, mirrorer.AddLearner{Disk: "d"}, mirrorer.Plan(v), "a holder stays one")
	v.Barred["d"] = true
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
}

// A disk that is to become a holder is barred while it still lacks entries. What is committed
// afterwards does not reach it.
func TestBarredDiskReceivesNoFurtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(8000)
		lost := f.hosts[slices.IndexFunc(f.hosts, func(h *host) bool { return h != o })]
		f.kill(lost)
		sleep(3000)
		f.addHost()
		added := f.hosts[3]
		f.net.Cut(o.name, added.name, true)
		sleep(3000)
		require.Contains(t, o.replica.Recipients(t.Context()), added.disk)
		f.mu.Lock()
		f.barred = map[string]bool{added.disk: true, lost.disk: true}
		f.mu.Unlock()
		f.net.Cut(o.name, added.name, false)
		require.NoError(t, propose(o, "secret"))
		sleep(6000)
		g, _ := f.manifest(f.ledger)
		require.Len(t, g.Holders, 2)
		require.NotContains(t, o.replica.Recipients(t.Context()), added.disk)
		f.kill(added)
		log, err := mirrorer.OpenLog(added.path, "group-0")
		require.NoError(t, err)
		require.Zero(t, log.Last())
		require.NoError(t, log.Close())

		f.mu.Lock()
		f.barred = nil
		f.mu.Unlock()
		f.start(added)
		sleep(6000)
		g, _ = f.manifest(f.ledger)
		require.Len(t, g.Holders, 3)
	})
}
