package mirrorer_test

import (
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// taken returns how many transactions were asked for since the last time.
func (f *fleet) taken() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.commits
	f.commits = 0
	return n
}

// Pattern: the store is away while an owner is lost. Heirs try again and again.
func TestStoreThatIsAwayIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.awaitOwner(3000)
		for _, h := range f.hosts {
			f.setDeaf(h, true)
		}
		f.kill(first)
		f.taken()
		const away = 10 * timer.Second
		sleep(away)
		// Two heirs, about two calls a second each.
		require.LessOrEqual(t, f.taken(), 2*(2*int(away/timer.Second)+4))
		for _, h := range f.hosts {
			f.setDeaf(h, false)
		}
		f.awaitOwner(2000)
	})
}

// Pattern: all bulk hosts start at once and each takes itself for the one that
// creates a group, since it has heard of no other yet. Those who lose wait for
// what the store tells them, and do not ask again before.
func TestLosersOfARaceDoNotAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		// Three pairs that do not hear one another create the same group.
		for i, a := range f.hosts {
			for j, b := range f.hosts {
				if i/2 != j/2 {
					f.setCut(a, b, true)
				}
			}
		}
		sleep(5000)
		require.LessOrEqual(t, f.taken(), 10)
	})
}
