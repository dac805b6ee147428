package mirrorer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// view returns the View of group 0 by the host with the disk self.
func view(self, owner string, holders, alive []string) mirrorer.View {
	v := mirrorer.View{
		Self: self, Reachable: alive, MinHolders: 2, WantedHolders: 3,
		SilentFor: make(map[string]timer.Millis), CaughtUp: make(map[string]bool),
		Leaving: make(map[string]bool), Retiring: make(map[string]bool),
	}
	if owner != "" {
		v.Group = cataloger.Group{Epoch: 7, Owner: owner, Holders: holders, Revision: 70}
	}
	for _, d := range []string{"a", "b", "c", "d"} {
		v.SilentFor[d] = 10 * timer.Second
	}
	for _, d := range alive {
		v.SilentFor[d] = 0
	}
	return v
}

func write(t *testing.T, s mirrorer.Step) cataloger.Group {
	t.Helper()
	w, ok := s.(mirrorer.WriteManifest)
	require.True(t, ok, "%#v", s)
	return w.Group
}

func TestFirstDiskCreatesTheGroupOnAllWantedDisks(t *testing.T) {
	g := write(t, mirrorer.Plan(view("a", "", nil, []string{"a", "b", "c"})))
	require.Equal(t, cataloger.Group{Epoch: 1, Owner: "a", Holders: []string{"a", "b", "c"}}, g)
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(view("b", "", nil, []string{"a", "b", "c"})))
}

func TestGroupIsNotCreatedOnFewerDisksThanMustHoldIt(t *testing.T) {
	v := view("a", "", nil, []string{"a"})
	v.Stable = true
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
}

func TestHolderTakesOverFromSilentOwner(t *testing.T) {
	g := write(t, mirrorer.Plan(view("b", "a", []string{"a", "b", "c"}, []string{"b", "c"})))
	require.Equal(t, cataloger.Group{Epoch: 8, Owner: "b", Holders: []string{"b", "c"}}, g)
}

// An owner that was cut off from all other hosts and its successor took the group over
// from each other several times per second, although neither could commit anything.
func TestHostThatCannotCommitDoesNotTakeOver(t *testing.T) {
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(view("a", "b", []string{"a", "b"}, []string{"a"})))
}

// A process that has just started has received no digest from other hosts yet. Such a
// process removed a healthy holder and kept one whose disk had been lost, and the group
// was never served again.
func TestNewProcessDoesNotReplaceSilentHosts(t *testing.T) {
	v := view("a", "a", []string{"a", "b", "c"}, []string{"a"})
	for d := range v.SilentFor {
		v.SilentFor[d] = 100
	}
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
	v = view("b", "a", []string{"a", "b", "c"}, []string{"b", "c"})
	v.SilentFor["a"] = 100
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
}

func TestSilentHolderIsKeptIfTooFewReachableOnesRemain(t *testing.T) {
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(view("a", "a", []string{"a", "b", "c"}, []string{"a"})))
	g := write(t, mirrorer.Plan(view("a", "a", []string{"a", "b", "c"}, []string{"a", "b"})))
	require.Equal(t, []string{"a", "b"}, g.Holders)
}

func TestSilentHolderIsReplacedByADiskThatHasCaughtUp(t *testing.T) {
	v := view("a", "a", []string{"a", "b"}, []string{"a", "c"})
	require.Equal(t, mirrorer.AddLearner{Disk: "c"}, mirrorer.Plan(v))
	v.CaughtUp["c"] = true
	require.Equal(t, []string{"a", "c"}, write(t, mirrorer.Plan(v)).Holders)
}

func TestLeavingOwnerHandsGroupOverToCaughtUpHolder(t *testing.T) {
	v := view("a", "a", []string{"a", "b", "c"}, []string{"a", "b", "c"})
	v.Leaving["a"] = true
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
	v.CaughtUp["c"] = true
	g := write(t, mirrorer.Plan(v))
	require.Equal(t, "c", g.Owner)
	require.Equal(t, []string{"a", "b", "c"}, g.Holders)
}

func TestRetiringHolderIsReplacedBeforeItIsRemoved(t *testing.T) {
	v := view("b", "b", []string{"a", "b"}, []string{"a", "b", "c"})
	v.GroupNumber = 1
	v.Leaving["a"], v.Retiring["a"] = true, true
	require.Equal(t, mirrorer.AddLearner{Disk: "c"}, mirrorer.Plan(v))
	v.CaughtUp["c"] = true
	v.Group.Holders = write(t, mirrorer.Plan(v)).Holders
	require.Contains(t, v.Group.Holders, "c")
	require.Equal(t, []string{"b", "c"}, write(t, mirrorer.Plan(v)).Holders)
}

func TestSecondSuccessorWaitsForTheFirst(t *testing.T) {
	v := view("c", "a", []string{"a", "b", "c"}, []string{"b", "c"})
	v.SilentFor["a"] = timer.Second
	require.IsType(t, mirrorer.NoStep{}, mirrorer.Plan(v))
	v.SilentFor["a"] = 3 * timer.Second
	require.Equal(t, "c", write(t, mirrorer.Plan(v)).Owner)
}

// Whatever View a host has, the manifests that it writes name enough holders, the owner
// among them, and only holders that have all committed entries.
func TestWrittenManifestsAlwaysHaveEnoughHolders(t *testing.T) {
	disks := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		some := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(disks), 0, 4, rapid.ID).Draw(t, label)
		}
		v := view("a", "", nil, append([]string{"a"}, without(some("alive"), "a")...))
		v.Stable = rapid.Bool().Draw(t, "settled")
		v.GroupNumber = rapid.IntRange(0, 11).Draw(t, "number")
		if holders := some("holders"); len(holders) >= 2 {
			v.Group = cataloger.Group{Epoch: 3, Owner: holders[0], Holders: holders, Revision: 9}
		}
		for _, d := range some("caught") {
			v.CaughtUp[d] = true
		}
		for _, d := range some("leaving") {
			v.Leaving[d] = true
			v.Retiring[d] = rapid.Bool().Draw(t, "emptied")
		}
		w, ok := mirrorer.Plan(v).(mirrorer.WriteManifest)
		if !ok {
			return
		}
		require.GreaterOrEqual(t, len(w.Group.Holders), v.MinHolders)
		require.Contains(t, w.Group.Holders, w.Group.Owner)
		require.Equal(t, v.Group.Epoch+1, w.Group.Epoch)
		if v.Group.Revision != 0 {
			require.True(t, v.Group.Holds(v.Self), "a host without the log writes its manifest")
			require.True(t, v.Group.Holds(w.Group.Owner), "an owner without the log")
		}
		for _, d := range w.Group.Holders {
			require.True(t, v.Group.Revision == 0 || v.Group.Holds(d) || v.CaughtUp[d], "%s has not caught up", d)
		}
	})
}

func without(list []string, d string) []string {
	var out []string
	for _, v := range list {
		if v != d {
			out = append(out, v)
		}
	}
	return out
}
