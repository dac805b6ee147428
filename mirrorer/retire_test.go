package mirrorer_test

import (
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// diskFleet is a group and the disks of a fleet, without network and time: every host plans
// in turn, and what it writes takes effect at once.
type diskFleet struct {
	t rapid.TB
	// up are the disks whose hosts are reachable, in their common order.
	up                         []string
	leaving, retiring, emptied map[string]bool
	// logs are the disks that have the whole log.
	logs  map[string]bool
	group cataloger.Group
	// learner is the disk to which the owner sends the log.
	learner string
	number  int
}

func newDiskFleet(t rapid.TB, owner string, holders, up []string) *diskFleet {
	f := &diskFleet{
		t: t, up: up, leaving: make(map[string]bool), retiring: make(map[string]bool), emptied: make(map[string]bool), logs: make(map[string]bool),
	}
	f.group = cataloger.Group{Epoch: 1, Owner: owner, Holders: holders, Revision: 1}
	for _, d := range holders {
		f.logs[d] = true
	}
	return f
}

const minHolders = 2

func (f *diskFleet) view(self string) mirrorer.View {
	v := mirrorer.View{
		Group: f.group, GroupNumber: f.number, Self: self, Reachable: f.up, Leaving: f.leaving, Retiring: f.retiring, Emptied: f.emptied,
		MinHolders: minHolders, WantedHolders: minHolders + 1, Stable: true, CaughtUp: make(map[string]bool), SilentFor: make(map[string]timer.Millis),
	}
	for _, d := range append([]string{f.group.Owner}, f.group.Holders...) {
		if !slices.Contains(f.up, d) {
			v.SilentFor[d] = 10 * timer.Second
		}
	}
	if self != f.group.Owner {
		return v
	}
	for _, d := range f.up {
		v.CaughtUp[d] = f.logs[d] && (f.group.Holds(d) || d == f.learner)
	}
	return v
}

// round lets each host plan once, and reports whether anything changed.
func (f *diskFleet) round() bool {
	changed := false
	for _, d := range f.up {
		switch s := mirrorer.Plan(f.view(d)).(type) {
		case mirrorer.NoStep:
		case mirrorer.AddLearner:
			require.True(f.t, f.logs[d], "an owner without the log")
			require.False(f.t, f.emptied[s.Disk], "a host that was reported as empty gets the log")
			changed = changed || f.learner != s.Disk
			f.learner, f.logs[s.Disk] = s.Disk, true
		case mirrorer.WriteManifest:
			changed = true
			f.adopt(s)
		}
	}
	return changed
}

func (f *diskFleet) adopt(w mirrorer.WriteManifest) {
	g := w.Group
	require.GreaterOrEqual(f.t, len(g.Holders), minHolders)
	require.Contains(f.t, g.Holders, g.Owner)
	for _, d := range g.Holders {
		require.True(f.t, f.logs[d] || f.group.Holds(d) || f.group.Revision == 0, "%s becomes a holder without the log: %s", d, w.Reason)
	}
	if f.group.Revision == 0 {
		for _, d := range g.Holders {
			f.logs[d] = true
		}
	}
	g.Revision = f.group.Revision + 1
	if g.Owner != f.group.Owner {
		f.learner = ""
	}
	for d := range f.logs {
		// Disks that are not named any more miss what is committed from now on.
		f.logs[d] = f.logs[d] && (g.Holds(d) || d == f.learner)
	}
	f.group = g
}

// settle lets hosts plan until nothing changes.
func (f *diskFleet) settle() {
	for range 60 {
		if !f.round() {
			return
		}
	}
	require.Fail(f.t, "the group does not settle", "%+v", f.group)
}

// requireServed requires that the owner can commit and serve.
func (f *diskFleet) requireServed() {
	require.Contains(f.t, f.up, f.group.Owner)
	require.True(f.t, f.logs[f.group.Owner])
	reachable := 0
	for _, d := range f.group.Holders {
		require.Contains(f.t, f.up, d, "an owner commits nothing while a holder is silent")
		require.True(f.t, f.logs[d])
		reachable++
	}
	require.GreaterOrEqual(f.t, reachable, minHolders)
}

// lose replaces the disk of a host, which is down or back.
func (f *diskFleet) lose(disk, next string) {
	delete(f.logs, disk)
	f.retiring[next] = f.retiring[disk]
	f.up = slices.Clone(f.up)
	f.up[slices.Index(f.up, disk)] = next
}

// The host that was to be removed, and could not be since only one disk would have been left,
// had the only logs after the other one had lost its disk. It did not take its groups over,
// and no batch job could be read any more.
func TestHostThatCannotBeRemovedTakesOverAfterTheOtherLostItsDisk(t *testing.T) {
	for number := range 4 {
		f := newDiskFleet(t, "a", []string{"a", "b"}, []string{"a", "b"})
		f.number = number
		f.retiring["b"] = true
		f.settle()
		f.requireServed()
		require.ElementsMatch(t, []string{"a", "b"}, f.group.Holders)
		f.lose("a", "a2")
		f.settle()
		f.requireServed()
		require.ElementsMatch(t, []string{"a2", "b"}, f.group.Holders)
	}
}

// The host that is to be removed loses its disk: no other disk is there, and its own new one
// was not taken as a holder, since it was to be removed.
func TestHostThatCannotBeRemovedIsAHolderAgainAfterItLostItsDisk(t *testing.T) {
	f := newDiskFleet(t, "a", []string{"a", "b"}, []string{"a", "b"})
	f.retiring["b"] = true
	f.lose("b", "b2")
	f.settle()
	f.requireServed()
	require.ElementsMatch(t, []string{"a", "b2"}, f.group.Holders)
}

// The only holder left is a host that is to be removed, though other hosts are there: they
// have no log yet.
func TestHostToBeRemovedWithTheLastLogTakesOverAndIsThenEmptied(t *testing.T) {
	f := newDiskFleet(t, "a", []string{"a", "r"}, []string{"a", "b", "r"})
	f.retiring["r"] = true
	f.lose("a", "a2")
	f.settle()
	f.requireServed()
	require.ElementsMatch(t, []string{"a2", "b"}, f.group.Holders)
}

func TestOwnerAloneAmongHostsToBeRemoved(t *testing.T) {
	f := newDiskFleet(t, "a", []string{"a", "r", "s"}, []string{"a", "r", "s"})
	f.retiring["r"], f.retiring["s"] = true, true
	f.settle()
	f.requireServed()
	require.ElementsMatch(t, []string{"a", "r"}, f.group.Holders, "one of them can be removed, the same one of all groups")
	f.lose("a", "a2")
	f.settle()
	f.requireServed()
}

func TestAllHostsAreToBeRemoved(t *testing.T) {
	f := newDiskFleet(t, "", nil, []string{"r", "s", "u"})
	f.group = cataloger.Group{}
	f.retiring["r"], f.retiring["s"], f.retiring["u"] = true, true, true
	f.settle()
	f.requireServed()
	require.ElementsMatch(t, []string{"r", "s"}, f.group.Holders)
}

// The owner stops, and the only other holder is to be removed: it takes the group over from
// it, rather than after a silence.
func TestStoppingOwnerHandsOverToAHostThatIsToBeRemoved(t *testing.T) {
	f := newDiskFleet(t, "a", []string{"a", "r"}, []string{"a", "b", "r"})
	f.retiring["r"], f.leaving["a"] = true, true
	f.round()
	require.Equal(t, "r", f.group.Owner)
}

// A request is withdrawn, and comes back, while the group moves.
func TestRequestThatIsWithdrawnWhileTheGroupMoves(t *testing.T) {
	for steps := range 6 {
		f := newDiskFleet(t, "r", []string{"r", "a"}, []string{"a", "b", "r"})
		f.retiring["r"] = true
		for range steps {
			f.round()
		}
		f.retiring["r"] = false
		f.settle()
		f.requireServed()
		require.Len(t, f.group.Holders, 3)
		f.retiring["r"] = true
		f.settle()
		f.requireServed()
		require.NotContains(t, f.group.Holders, "r")
	}
}

// Hosts are to be removed, stop, were reported as empty, lose their disks or are down in any
// combination. If a holder is there and enough disks are, the group is served in the end; it
// is on no disk that is to be removed if enough others are there, and on none of a host that
// was reported as empty; and it comes to rest.
func TestGroupIsServedWhateverIsToBeRemoved(t *testing.T) {
	disks := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		some := func(label string, least int) []string {
			out := rapid.SliceOfNDistinct(rapid.SampledFrom(disks), least, 5, rapid.ID).Draw(t, label)
			slices.Sort(out)
			return out
		}
		holders := some("holders", minHolders)
		f := newDiskFleet(t, rapid.SampledFrom(holders).Draw(t, "owner"), holders, some("up", 1))
		f.number = rapid.IntRange(0, 11).Draw(t, "number")
		for _, d := range some("retiring", 0) {
			f.retiring[d] = true
		}
		for _, d := range some("leaving", 0) {
			f.leaving[d] = rapid.Bool().Draw(t, "stops")
		}
		for _, d := range some("emptied", 0) {
			f.emptied[d] = f.retiring[d] && !f.group.Holds(d)
		}
		available, others, heirs := 0, 0, 0
		for _, d := range f.up {
			if f.leaving[d] || f.emptied[d] {
				continue
			}
			available++
			if !f.retiring[d] {
				others++
			}
			if f.group.Holds(d) {
				heirs++
			}
		}
		f.settle()
		for _, d := range f.group.Holders {
			require.False(t, f.emptied[d], "a host that was reported as empty")
		}
		if heirs == 0 || available < minHolders {
			return
		}
		f.requireServed()
		require.False(t, f.leaving[f.group.Owner], "%s stops", f.group.Owner)
		if others >= minHolders {
			for _, d := range f.group.Holders {
				require.False(t, f.retiring[d] && !f.leaving[d], "%s can be removed", d)
			}
		}
	})
}
