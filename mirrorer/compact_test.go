package mirrorer_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// smallLog makes replicas compact every few entries, in bytes.
const smallLog = 300

// withSmallLogs runs a test with replicas that compact all the time and send one
// entry with each message.
func withSmallLogs(t *testing.T, test func(t *testing.T)) {
	compactAfter, maxAppend = smallLog, 1
	defer func() { compactAfter, maxAppend = 0, 0 }()
	test(t)
}

// What holds under failures holds while logs are compacted.
func TestFailuresWhileLogsAreCompacted(t *testing.T) {
	for name, test := range map[string]func(t *testing.T){
		"owner-lost":     TestOwnerCommitsOnAllHoldersAndAnotherFollowsIt,
		"disks-lost":     TestNothingIsLostWithADisk,
		"owner-cut-off":  TestOwnerThatIsCutOffServesNoMore,
		"all-killed":     TestAllProcessesKilledAtOnceLoseNothing,
		"holder-added":   TestHolderAddedWithoutAnAnswerHasAllThatIsCommitted,
		"handed-over":    TestHostThatLeavesHandsTheGroupOverWithoutAPause,
		"owner-restarts": TestRestartedOwnerHeedsWhatTheProcessBeforeItSent,
		"random-faults":  TestAcknowledgedEntriesSurviveRandomFaults,
	} {
		t.Run(name, func(t *testing.T) { withSmallLogs(t, test) })
	}
}

// Pattern: a disk of some hundred megabytes takes the log of a group that is
// written for weeks.
func TestLogsOfAllHoldersStayShort(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			o := f.awaitOwner(3000)
			// The Machine keeps one of all entries.
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

// Pattern: a host comes back with a disk whose log ends before what the others
// have dropped, or with an empty one.
func TestDiskThatLacksDroppedEntriesBeginsAnew(t *testing.T) {
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
	// One holder alone cannot serve; with another one it does.
	f.start(f.hosts[2])
	require.Len(t, f.awaitOwner(8000).machine.list(), 41)
}

// Pattern: the owner dies while its checkpoint is on its way. What was dropped
// must not be needed: a holder may have a part of the checkpoint only.
func TestOwnerThatDiesWhileItsCheckpointIsOnItsWayLosesNothing(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		for wait := range 12 {
			t.Run(fmt.Sprint("after-", 4*wait, "-ms"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { dieWhileCompacting(t, wait) })
			})
		}
	})
}

func dieWhileCompacting(t *testing.T, wait int) {
	f := newFleet(t, 3)
	o := f.awaitOwner(3000)
	var want []string
	for n := range 8 {
		text := fmt.Sprint("n", n)
		require.NoError(t, propose(o, text))
		want = append(want, text)
	}
	// The log is just about as long as it may become.
	require.NoError(t, propose(o, "long-"+strings.Repeat("x", smallLog)))
	want = append(want, "long-"+strings.Repeat("x", smallLog))
	sleep(callDelay * timer.Millis(wait))
	f.kill(o)
	require.Equal(t, want, f.awaitOwner(8000).machine.list())
}
