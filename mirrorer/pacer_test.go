package mirrorer_test

import (
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// takeCommits returns the number of attempted transactions since the last call.
func (f *fleet) takeCommits() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.commits
	f.commits = 0
	return n
}

// The store is unavailable when the owner is lost. The possible successors, which keep
// retrying, must not overload it.
func TestStoreThatIsAwayIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.awaitOwner(3000)
		for _, h := range f.hosts {
			f.setCutFromStore(h, true)
		}
		f.kill(first)
		f.takeCommits()
		const outage = 10 * timer.Second
		sleep(outage)
		// Two possible successors, about two transactions per second each.
		require.LessOrEqual(t, f.takeCommits(), 2*(2*int(outage/timer.Second)+4))
		for _, h := range f.hosts {
			f.setCutFromStore(h, false)
		}
		f.awaitOwner(2000)
	})
}

// When all bulk hosts start at once, each expects to be the one that creates a group,
// because it has received no digest yet. The losers must wait until they have
// read the winner's manifest before they try again.
func TestLosersOfCreationRaceWaitForTheManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		// Three pairs of hosts without connections to each other create the same group.
		for i, a := range f.hosts {
			for j, b := range f.hosts {
				if i/2 != j/2 {
					f.setCut(a, b, true)
				}
			}
		}
		sleep(5000)
		require.LessOrEqual(t, f.takeCommits(), 10)
	})
}
