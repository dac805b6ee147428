package mirrorer_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/stretchr/testify/require"
)

// An entry was proposed that no log reads again. It ended the process of the owner.
func TestTooLongProposalIsRefusedAndTheGroupIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		var long *mirrorer.TooLongError
		require.ErrorAs(t, propose(o, strings.Repeat("x", 9<<20)), &long)
		require.Same(t, o, f.owner())
		require.NoError(t, propose(o, "a"))
		require.Equal(t, []string{"a"}, o.machine.list())
	})
}

// The state of a group had become longer than an entry. It is kept, and the log is not
// compacted.
func TestCheckpointThatIsTooLongIsNotWritten(t *testing.T) {
	withSmallLogs(t, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			o := f.awaitOwner(3000)
			// The log has grown enough when it has seven texts, of which each entry of a
			// checkpoint takes two or three.
			for _, s := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				require.NoError(t, propose(o, strings.Repeat(s, 5<<20)))
			}
			sleep(1000)
			require.Same(t, o, f.owner())
			require.NoError(t, propose(o, "end"))
			require.Len(t, o.machine.list(), 8)
		})
	})
}

func TestEntriesOfAProposalFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		done := make(chan error)
		for _, s := range []string{"a", "b", "c"} {
			go func() { done <- o.replica.Propose(t.Context(), []byte(s+"1"), []byte(s+"2"), []byte(s+"3")) }()
		}
		for range 3 {
			require.NoError(t, <-done)
		}
		list := o.machine.list()
		require.Len(t, list, 9)
		for i := 0; i < len(list); i += 3 {
			require.Equal(t, []string{list[i][:1] + "1", list[i][:1] + "2", list[i][:1] + "3"}, list[i:i+3])
		}
	})
}

// An owner could not read its own log when it had to send it. Its session ended, and then
// its process, at the next disk.
func TestOwnerThatCannotReadItsLogEndsItsSessionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		o := f.awaitOwner(3000)
		for _, h := range f.hosts {
			if h != o {
				f.setCut(o, h, true)
			}
		}
		proposed := make(chan error)
		go func() { proposed <- propose(o, "unread") }()
		sleep(100)
		damage(t, o)
		for _, h := range f.hosts {
			f.setCut(o, h, false)
		}
		var uncertain *mirrorer.UncertainError
		require.ErrorAs(t, <-proposed, &uncertain)
		sleep(500)
		require.False(t, o.replica.Serving(t.Context()))
		f.kill(o)
		next := f.awaitOwner(8000)
		require.NoError(t, propose(next, "after"))
	})
}

// damage overwrites the last bytes of a host's log.
func damage(t *testing.T, h *host) {
	file, err := os.OpenFile(h.path, os.O_WRONLY, 0)
	require.NoError(t, err)
	info, err := file.Stat()
	require.NoError(t, err)
	_, err = file.WriteAt([]byte("damaged"), info.Size()-7)
	require.NoError(t, err)
	require.NoError(t, file.Close())
}
