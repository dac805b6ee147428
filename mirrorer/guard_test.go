package mirrorer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// appendMessage is what an owner sends to the other disks, as it is encoded.
type appendMessage struct {
	_              struct{} `cbor:",toarray"`
	Group          int
	Epoch          uint64
	Owner, To      string
	Base, Previous uint64
	PreviousTerm   mirrorer.Term
	Entries        []mirrorer.Entry
}

// appendAnswer is the answer to an appendMessage.
type appendAnswer struct {
	_       struct{} `cbor:",toarray"`
	Refused bool
	Epoch   uint64
	Matched bool
	Next    uint64
}

// sendAppend sends m to a host as another process would, and returns the answer.
func (f *fleet) sendAppend(h *host, m appendMessage) (out appendAnswer) {
	body, err := cbor.Marshal(m)
	require.NoError(f.t, err)
	end := f.net.Host("other", messenger.Peer{Name: "other"})
	require.NoError(f.t, end.Call(f.t.Context(), h.name, "mirrorer/append", body, func(frame []byte) error { return cbor.Unmarshal(frame, &out) }))
	return out
}

// Guards against a message of an earlier owner, or one for the disk that was at an address
// before: it would truncate entries that are committed.
func TestHolderRefusesEntriesThatAreNotForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.awaitOwner(5000)
		require.NoError(t, propose(first, "a"))
		sleep(6000)
		f.kill(first)
		sleep(6000)
		second := f.awaitOwner(6000)
		require.NoError(t, propose(second, "b"))
		h := f.hosts[slices.IndexFunc(f.hosts, func(h *host) bool { return h != first && h != second })]
		g, ok := f.manifest(&hostLedger{f, h})
		require.True(t, ok)
		require.True(t, g.Holds(h.disk))
		overwrite := appendMessage{Epoch: g.Epoch, Owner: first.disk, To: h.disk, Entries: []mirrorer.Entry{{Term: mirrorer.Term{Epoch: 1, Incarnation: "x"}, Data: []byte("late")}}}
		earlier, misaddressed := overwrite, overwrite
		earlier.Epoch--
		misaddressed.To = "disk-that-was-here"
		require.True(t, f.sendAppend(h, earlier).Refused, "an earlier epoch")
		require.True(t, f.sendAppend(h, misaddressed).Refused, "another disk")
		f.kill(second)
		f.start(first)
		require.Equal(t, []string{"a", "b"}, f.awaitOwner(12000).machine.list())
	})
}

// startWithPendingHolder returns a fleet whose owner has sent a transaction that makes third a
// holder, which the store delays. The owner and third can't reach each other any more.
func startWithPendingHolder(t *testing.T) (f *fleet, owner, third *host) {
	f = newFleet(t, 3)
	third = f.hosts[2]
	f.kill(third)
	sleep(4000)
	owner = f.awaitOwner(5000)
	g, ok := f.manifest(f.ledger)
	require.True(t, ok)
	require.Len(t, g.Holders, 2)
	f.ledger.DelayCommits(1000)
	f.start(third)
	sleep(400)
	f.setCut(owner, third, true)
	return f, owner, third
}

// requireHolder checks that the store names the disk of a host as a holder.
func (f *fleet) requireHolder(h *host) {
	f.t.Helper()
	g, ok := f.manifest(f.ledger)
	require.True(f.t, ok)
	require.True(f.t, g.Holds(h.disk), "%s is a holder", h.disk)
}

// Guards against an entry that is committed without the disk that a transaction adds, though
// the transaction may still be carried out: the disk would take over without the entry.
func TestDiskThatATransactionAddsIsRequiredBeforeItIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, third := startWithPendingHolder(t)
		err := propose(owner, "a")
		f.ledger.DelayCommits(0)
		f.ledger.ApplyDelayed()
		f.requireHolder(third)
		if err == nil {
			f.requireOnAllHolders("a")
		}
		require.Error(t, err, "the disk did not answer")
	})
}

// Guards against a process that serves although its predecessor may have sent such a
// transaction: it does not know which disks that adds.
func TestRestartedOwnerServesOnlyOnceEarlierTransactionsAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner, third := startWithPendingHolder(t)
		f.kill(owner)
		f.start(owner)
		for range 30 {
			sleep(100)
			require.Nil(t, f.owner(), "the store has carried out nothing")
		}
		f.ledger.DelayCommits(0)
		f.ledger.ApplyDelayed()
		f.requireHolder(third)
		f.setCut(owner, third, false)
		require.NoError(t, propose(f.awaitOwner(6000), "a"))
		f.requireOnAllHolders("a")
	})
}

// Guards against a transaction that is carried out after the host of the disk that it adds was
// reported as empty, and may have been removed: the group would be left with too few disks.
func TestDiskOfAHostReportedAsEmptyIsNotMadeAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, third := startWithPendingHolder(t)
		f.ledger.DelayCommits(0)
		_, err := f.ledger.Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: statusKey(third.name), Value: []byte("empty")}}})
		require.NoError(t, err)
		f.ledger.ApplyDelayed()
		g, ok := f.manifest(f.ledger)
		require.True(t, ok)
		require.False(t, g.Holds(third.disk))
	})
}

// Guards against a session that serves before it has applied all that was committed. The other
// disk has an entry that the owner lacks, and so asks for all entries of that session again: it
// acknowledges them from the first one on, one with each message. That takes longer than the
// lease of the owner before.
func TestNewOwnerServesOnlyOnceItsFirstEntryIsOnAllDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		maxAppend = 1
		defer func() { maxAppend = 0 }()
		f := newFleet(t, 3)
		first := f.awaitOwner(5000)
		sleep(6000)
		var want []string
		for i := range int(2 * mirrorer.ServingLease / callDelay) {
			want = append(want, fmt.Sprint(i))
			require.NoError(t, propose(first, want[i]))
		}
		others := slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h == first })
		second, third := others[0], others[1]
		f.setCutFromStore(third, true)
		f.setCut(first, second, true)
		require.Error(t, propose(first, "not committed"), "a holder does not answer")
		f.kill(first)
		for until := f.clock.Now() + 12*timer.Second; !second.replica.Serving(t.Context()); sleep(1) {
			require.Less(t, f.clock.Now(), until, "nobody serves the group")
		}
		require.Equal(t, want, second.machine.list())
	})
}
