package mirrorer_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// smallLog is a compaction threshold, in bytes, that makes replicas compact every few
// entries.
const smallLog = 300

// withSmallLogs runs a test with replicas that compact every few entries and send
// one entry per message.
func withSmallLogs(t *testing.T, test func(t *testing.T)) {
	compactAfter, maxAppend = smallLog, 1
	defer func() { compactAfter, maxAppend = 0, 0 }()
	test(t)
}

// The guarantees under failures also hold while logs are being compacted.
func TestFailuresWhileLogsAreCompacted(t *testing.T) {
	for name, test := range map[string]func(t *testing.T){
		"owner-lost":     TestOwnerCommitsOnAllHoldersAndAnotherTakesOver,
		"disks-lost":     TestLosingADiskLosesNoEntry,
		"owner-cut-off":  TestPartitionedOwnerStopsServing,
		"all-killed":     TestKillingAllProcessesLosesNoEntry,
		"holder-added":   TestHolderAddedWithoutAnAnswerHasAllCommittedEntries,
		"handed-over":    TestLeavingHostHandsGroupOverWithoutInterruption,
		"owner-restarts": TestRestartedOwnerAccountsForPendingTransactions,
		"random-faults":  TestAcknowledgedEntriesSurviveRandomFaults,
	} {
		t.Run(name, func(t *testing.T) { withSmallLogs(t, test) })
	}
}

// A group that is written to for weeks must not fill a disk of a few hundred
// megabytes with its log.
func TestLogsOfAllHoldersStayShort(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			o := f.awaitOwner(3000)
			// Each proposal replaces the Machine's complete state by a single entry.
			for n := range 500 {
				require.NoError(t, propose(o, fmt.Sprintf("=0:true:#%d-%s", n, strings.Repeat("x", 20))))
			}
			sleep(2000)
			want := o.machine.list()
			for _, h := range f.hosts {
				f.kill(h)
				l := open(t, h.path)
				require.Less(t, l.Bytes(), int64(4*smallLog), h.name)
				require.Greater(t, l.Base(), uint64(400), h.name)
				require.NoError(t, l.Close())
			}
			for _, h := range f.hosts {
				f.start(h)
			}
			require.Equal(t, want, f.awaitOwner(8000).machine.list())
		})
	})
}

// A host returns with an empty disk, or with a log that ends before the entries that
// the other holders have removed. It must become a holder again.
func TestDiskThatLacksTrimmedEntriesRestartsItsLog(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		for _, empty := range []bool{false, true} {
			t.Run(fmt.Sprint("empty-", empty), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { joinLate(t, empty) })
			})
		}
	})
}

func joinLate(t *testing.T, empty bool) {
	f := newFleet(t, 3)
	o := f.awaitOwner(3000)
	require.NoError(t, propose(o, "early"))
	late := f.hosts[0]
	if late == o {
		late = f.hosts[1]
	}
	f.kill(late)
	sleep(3000)
	for n := range 40 {
		require.NoError(t, propose(f.awaitOwner(3000), fmt.Sprint("n", n)))
	}
	if empty {
		f.wipe(late)
	}
	f.start(late)
	sleep(6000)
	g, _ := f.manifest(f.ledger)
	require.True(t, g.Holds(late.disk))
	f.requireOnAllHolders("early", "n0", "n39")
	for _, h := range f.hosts {
		if h != late {
			f.kill(h)
		}
	}
	// One holder alone cannot serve; two can.
	f.start(f.hosts[2])
	require.Len(t, f.awaitOwner(8000).machine.list(), 41)
}

// The owner crashes while its checkpoint is being replicated, so a holder may have
// only a part of the checkpoint. The entries before it must still be available then.
func TestOwnerCrashDuringCheckpointLosesNothing(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		for wait := range 12 {
			t.Run(fmt.Sprint("after-", 4*wait, "-ms"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { crashWhileCompacting(t, wait) })
			})
		}
	})
}

func crashWhileCompacting(t *testing.T, wait int) {
	f := newFleet(t, 3)
	o := f.awaitOwner(3000)
	var want []string
	for n := range 8 {
		text := fmt.Sprint("n", n)
		require.NoError(t, propose(o, text))
		want = append(want, text)
	}
	// The log is about to exceed its compaction threshold.
	require.NoError(t, propose(o, "long-"+strings.Repeat("x", smallLog)))
	want = append(want, "long-"+strings.Repeat("x", smallLog))
	sleep(callDelay * timer.Millis(wait))
	f.kill(o)
	require.Equal(t, want, f.awaitOwner(8000).machine.list())
}
