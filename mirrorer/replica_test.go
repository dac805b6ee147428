package mirrorer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestOwnerCommitsOnAllHoldersAndAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.awaitOwner(3000)
		require.NoError(t, propose(first, "a"))
		require.NoError(t, propose(first, "b"))
		f.kill(first)
		next := f.awaitOwner(6000)
		require.NotEqual(t, first.name, next.name)
		require.Equal(t, []string{"a", "b"}, next.machine.list())
		require.NoError(t, propose(next, "c"))
		f.start(first)
		sleep(4000)
		g, _ := f.manifest(f.ledger)
		require.Len(t, g.Holders, 3)
	})
}

func TestLosingADiskLosesNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for round := range 4 {
			o := f.awaitOwner(8000)
			require.NoError(t, propose(o, fmt.Sprint(round)))
			f.kill(o)
			f.wipe(o)
			f.start(o)
			sleep(6000)
		}
		require.Equal(t, []string{"0", "1", "2", "3"}, f.awaitOwner(8000).machine.list())
	})
}

func TestPartitionedOwnerStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		require.NoError(t, propose(o, "before"))
		for _, h := range f.hosts {
			if h != o {
				f.setCut(o, h, true)
			}
		}
		f.setCutFromStore(o, true)
		require.Error(t, propose(o, "cut"))
		sleep(1500)
		require.False(t, o.replica.Serving(t.Context()))
		next := f.awaitOwner(6000)
		require.NotEqual(t, o.name, next.name)
		require.NoError(t, propose(next, "after"))
		f.setCutFromStore(o, false)
		for _, h := range f.hosts {
			if h != o {
				f.setCut(o, h, false)
			}
		}
		sleep(5000)
		last := f.awaitOwner(6000)
		got := last.machine.list()
		require.Contains(t, got, "before")
		require.Contains(t, got, "after")
		require.NotContains(t, got, "cut", "an entry that the cut-off owner appended must not reappear")
	})
}

// A new owner served the group before the lease of the owner that it replaced had ended. The
// replaced owner, which others still reached, reported jobs as unknown that the new one had
// accepted, and fewer results than had been read.
func TestNewOwnerServesOnlyAfterTheLeaseOfTheOwnerThatItReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		for range 5 {
			for _, h := range f.hosts {
				if h != o {
					f.setCut(o, h, true)
				}
			}
			f.requireOneServing(3000)
			for _, h := range f.hosts {
				if h != o {
					f.setCut(o, h, false)
				}
			}
			f.requireOneServing(3000)
			o = f.awaitOwner(3000)
		}
	})
}

// An owner whose process was killed and was back at once served again only after the lease
// that its former process might have granted to another owner, though it had served itself.
func TestRestartedOwnerServesAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		for range 3 {
			sleep(4000)
			f.restart(o)
			// One look at the store and two heartbeats, less than the lease of 900 ms.
			sleep(700)
			require.Same(t, o, f.owner(), "served 700 ms after the start")
		}
	})
}

func TestKillingAllProcessesLosesNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		require.NoError(t, propose(f.awaitOwner(3000), "kept"))
		for _, h := range f.hosts {
			f.kill(h)
		}
		for _, h := range f.hosts {
			f.start(h)
		}
		require.Equal(t, []string{"kept"}, f.awaitOwner(6000).machine.list())
	})
}

// A transaction whose answer was lost may have added a holder. Until its outcome is
// known, entries must be on that disk too before they are committed.
func TestHolderAddedWithoutAnAnswerHasAllCommittedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		var other *host
		for _, h := range f.hosts {
			if h != o {
				other = h
			}
		}
		f.kill(other)
		f.wipe(other)
		sleep(3000)
		f.ledger.LoseAnswers(1)
		f.start(other)
		for i := range 10 {
			if o := f.owner(); o != nil {
				_ = propose(o, fmt.Sprint(i))
			}
			sleep(100)
		}
		sleep(3000)
		require.NoError(t, propose(f.awaitOwner(3000), "last"))
		want := f.awaitOwner(3000).machine.list()
		for _, h := range f.hosts {
			if h != other {
				f.kill(h)
			}
		}
		sleep(2000)
		for _, h := range f.hosts {
			if h != other && h != o {
				f.start(h)
			}
		}
		require.Equal(t, want, f.awaitOwner(8000).machine.list())
	})
}

func TestLeavingHostHandsGroupOverWithoutInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		require.NoError(t, propose(o, "x"))
		f.setLeaving(o)
		sleep(400)
		next := f.awaitOwner(100)
		require.NotEqual(t, o.name, next.name)
		require.Equal(t, []string{"x"}, next.machine.list())
	})
}

// Found by the model (spec/mirror.pml): an owner that restarted while its first
// manifest was still in place ignored a transaction that its previous process had sent,
// and committed entries without the disk that this transaction added as a holder.
func TestRestartedOwnerAccountsForPendingTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		third := f.hosts[2]
		f.kill(third)
		sleep(4000)
		o := f.awaitOwner(5000)
		g, _ := f.manifest(f.ledger)
		require.Len(t, g.Holders, 2)
		require.EqualValues(t, 1, g.Epoch)
		f.ledger.DelayCommits(100)
		f.start(third)
		sleep(400)
		f.kill(third)
		f.kill(o)
		f.ledger.DelayCommits(0)
		f.start(o)
		o = f.awaitOwner(5000)
		require.NoError(t, propose(o, "committed"))
		f.ledger.ApplyDelayed()
		f.requireOnAllHolders("committed")
		f.start(third)
		sleep(5000)
		require.Equal(t, []string{"committed"}, f.awaitOwner(5000).machine.list())
	})
}

// Hosts are killed, wiped, and cut off from each other and from the store at random,
// with at most one disk lost at a time. Every later owner must apply all acknowledged
// entries, in the same order, and no entry twice. No two hosts serve at the same time.
func TestAcknowledgedEntriesSurviveRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	playSteps(t, 60, func(f *fleet) {
		f.injectFault(r)
		f.requireOneServing(timer.Millis(100 * r.IntN(20)))
	})
}

// playSteps proposes a text and then calls disturb, this many times. In the end all faults
// are healed, and the owner must have applied what was acknowledged.
func playSteps(t *testing.T, steps int, disturb func(*fleet)) {
	f := newFleet(t, 4)
	f.awaitOwner(5000)
	var acknowledged []string
	uncertain := make(map[string]bool)
	for step := range steps {
		if o := f.owner(); o != nil {
			f.proposeStep(o, fmt.Sprint(step), &acknowledged, uncertain)
		}
		disturb(f)
	}
	f.heal()
	o := f.awaitOwner(20000)
	checkApplied(t, o.machine.list(), acknowledged, uncertain)
	require.NoError(t, propose(o, "end"))
}

// injectFault starts or ends a fault. At most one host at a time is down or has
// recently lost its disk.
func (f *fleet) injectFault(r *rand.Rand) {
	present := f.present()
	h, o := present[r.IntN(len(present))], present[r.IntN(len(present))]
	switch r.IntN(9) {
	case 0:
		f.heal()
		f.kill(h)
		if r.IntN(2) == 0 {
			f.wipe(h)
		}
	case 1, 2:
		f.heal()
		sleep(6000)
	case 3:
		if h != o {
			f.setCut(h, o, true)
		}
	case 4:
		f.setCutFromStore(h, !h.cutFromStore)
	case 5:
		f.ledger.LoseAnswers(1)
	case 7:
		f.ledger.DelayCommits(1)
	case 8:
		f.ledger.ApplyDelayed()
	case 6:
		f.kill(h)
		f.start(h)
	}
}

// heal ends all faults and waits until all holders are in sync again.
func (f *fleet) heal() {
	f.ledger.LoseAnswers(0)
	f.ledger.DelayCommits(0)
	for i, h := range f.hosts {
		f.setCutFromStore(h, false)
		for _, o := range f.hosts[i+1:] {
			f.setCut(h, o, false)
		}
		if !h.running && !h.removed {
			f.start(h)
		}
	}
	sleep(8000)
}

// Hosts are to be removed, one or more at a time, and requests are withdrawn, among the faults
// above. Hosts that were emptied are removed with their disks, and others are added. No
// acknowledged entry is lost, and the group is served in the end.
func TestAcknowledgedEntriesSurviveRetirementsUnderFaults(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomRetirements(t, seed) })
		})
	}
}

func randomRetirements(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	playSteps(t, 80, func(f *fleet) {
		if r.IntN(2) == 0 {
			f.injectFault(r)
		} else {
			f.toggleRetirement(f.present()[r.IntN(len(f.present()))])
		}
		f.requireOneServing(timer.Millis(100 * r.IntN(20)))
		f.removeEmptied()
		if len(f.present()) < 3 {
			f.addHost()
		}
	})
}

// present returns the hosts that were not removed.
func (f *fleet) present() []*host {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h.removed })
}

// toggleRetirement requests that a host be removed, or withdraws the request.
func (f *fleet) toggleRetirement(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.retiring = !h.retiring
}

// proposeStep proposes a text at the owner and checks what the owner has applied.
func (f *fleet) proposeStep(o *host, text string, acknowledged *[]string, uncertain map[string]bool) {
	err := propose(o, text)
	var notOwner *mirrorer.NotOwnerError
	switch {
	case err == nil:
		*acknowledged = append(*acknowledged, text)
	case !errors.As(err, &notOwner):
		uncertain[text] = true
	}
	checkApplied(f.t, o.machine.list(), *acknowledged, uncertain)
}

func checkApplied(t *testing.T, applied, acknowledged []string, uncertain map[string]bool) {
	t.Helper()
	var certain []string
	seen := make(map[string]bool)
	for _, s := range applied {
		require.False(t, seen[s], "%s was applied twice", s)
		seen[s] = true
		if !uncertain[s] {
			certain = append(certain, s)
		}
	}
	require.Equal(t, acknowledged, certain)
}
