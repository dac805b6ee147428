package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// removeCutMembers has c, which alone reaches the store, take a and b out and
// then change the configuration, while a and b confirm each other.
func removeCutMembers(guard coordinator.Guard) *simulation {
	s := newSimulation(1, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	for _, n := range []string{"a", "b"} {
		s.cut[[2]string{n, "c"}], s.cut[[2]string{"c", n}] = true, true
		s.storeCut[n] = true
	}
	s.change(s.hosts["c"], "remove", registrar.RemoveHosts{Names: []string{"a", "b"}})
	s.run(9 * timer.Second)
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(9 * timer.Second)
	return s
}

func TestMembersBeforeMustAccept(t *testing.T) {
	s := removeCutMembers("")
	require.Empty(t, s.violation)
	require.False(t, s.answers["remove"].Result.Accepted)
	require.False(t, s.answers["withdraw"].Result.Accepted, "written, spread not known")
	require.True(t, s.hosts["a"].state.Snapshot().Permitted(s.clock(s.hosts["a"])), s.describe())
}

// lateJoin has a question of an ended incarnation of b arrive when a later one
// is a member, and returns b's entry in the record some time after.
func lateJoin(guard coordinator.Guard) (entry, alive registrar.Member) {
	s := newSimulation(1, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	s.hosts["b"].dead = true
	ended := s.start("b").member
	s.hosts["b"].dead = true
	alive = s.start("b").member
	s.run(15 * timer.Second)
	for _, n := range []string{"a", "c"} {
		h := s.hosts[n]
		s.event(h, func(now timer.Millis) coordinator.Event {
			q := coordinator.Question{Report: coordinator.Report{Name: "b", Incarnation: ended.Incarnation}, Joining: &ended}
			return coordinator.Questioned{At: now, Question: q}
		})
	}
	s.run(3 * timer.Second)
	entry, _ = s.store.Member("b")
	return entry, alive
}

func TestLateJoinOfAnEndedIncarnation(t *testing.T) {
	entry, alive := lateJoin("")
	require.Equal(t, alive, entry)

	entry, alive = lateJoin(coordinator.GuardVerifiedJoin)
	require.NotEqual(t, alive, entry, "without the guard a dead process replaces the living one")
}

// cutOff cuts all calls between a host and the others, and the store.
func (s *simulation) cutOff(name string) {
	for _, n := range s.names {
		s.cut[[2]string{name, n}], s.cut[[2]string{n, name}] = true, true
	}
	s.storeCut[name] = true
}

// handOverChain moves objects from a to b and on to c before b could act, while
// a is cut off and goes on acting until its permission ends.
func handOverChain(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c", "d", "e")
	s.run(20 * timer.Second)
	s.guard = guard
	s.run(2 * timer.Second)
	s.cutOff("a")
	s.change(s.hosts["c"], "out-a", registrar.RemoveHosts{Names: []string{"a"}})
	s.run(1 * timer.Second)
	s.leave(s.hosts["b"])
	s.run(1 * timer.Second)
	return s
}

func TestHandOverChain(t *testing.T) {
	s := handOverChain("", 3)
	require.True(t, s.answers["out-a"].Result.Accepted)
	require.True(t, s.hosts["b"].left)
	require.Empty(t, s.violation)
	require.Less(t, s.owned("c", "d", "e"), len(s.objects), "what a had waits for a's permission")
	s.run(6 * timer.Second)
	require.Empty(t, s.violation)
	require.Equal(t, len(s.objects), s.owned("c", "d", "e"))
}

// removeCutHost takes a out while it is cut off, with slow messages.
func removeCutHost(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c", "d", "e")
	s.run(20 * timer.Second)
	s.guard, s.delay = guard, 950
	s.run(5 * timer.Second)
	s.cutOff("a")
	s.delay = 10
	s.change(s.hosts["c"], "out-a", registrar.RemoveHosts{Names: []string{"a"}})
	s.run(12 * timer.Second)
	return s
}

// leaveUnknowing has a leave and not learn that its departure was written.
func leaveUnknowing(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(20 * timer.Second)
	s.guard, s.loseAnswers = guard, 1
	s.leave(s.hosts["a"])
	for s.store.HasMember("a", s.hosts["a"].member.Incarnation) {
		s.run(1)
	}
	s.cutOff("a")
	s.run(5 * timer.Second)
	return s
}

// forget has b accept a version with c, restart, and meet a, which missed it.
func forget(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(15 * timer.Second)
	s.reuse = guard == coordinator.GuardIncarnation
	s.cutOff("a")
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(3 * timer.Second)
	s.cutOff("c")
	s.cut[[2]string{"a", "b"}], s.cut[[2]string{"b", "a"}] = false, false
	s.hosts["b"].dead, s.storeCut["b"] = true, true
	s.start("b")
	s.run(12 * timer.Second)
	return s
}

// revert has a, which holds a newer record, be given an older one.
func revert(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	old := s.hosts["a"].state.Record()
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(3 * timer.Second)
	s.event(s.hosts["a"], func(now timer.Millis) coordinator.Event {
		return coordinator.Fetched{At: now, Record: old}
	})
	return s
}

// TestDroppedGuardsAreNoticed drops one guard at a time: the checker must find
// nothing with the guard and a violation without it.
func TestDroppedGuardsAreNoticed(t *testing.T) {
	type scenario func(coordinator.Guard, uint64) *simulation
	cutMembers := func(g coordinator.Guard, _ uint64) *simulation { return removeCutMembers(g) }
	for g, run := range map[coordinator.Guard]scenario{
		coordinator.GuardPermissionEnd: removeCutHost, coordinator.GuardTimedFromSending: removeCutHost,
		coordinator.GuardMajority: cutMembers, coordinator.GuardFormerMembers: cutMembers,
		coordinator.GuardHandOver: handOverChain, coordinator.GuardKept: handOverChain,
		coordinator.GuardStopsFirst: leaveUnknowing, coordinator.GuardIncarnation: forget,
		coordinator.GuardNoRevert: revert,
	} {
		t.Run(string(g), func(t *testing.T) {
			const seeds = 20
			for seed := range uint64(seeds) {
				require.Empty(t, run("", seed).violation, "with all guards, seed %d", seed)
				if v := run(g, seed).violation; v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}

// owned counts the objects that one of the hosts may decide for.
func (s *simulation) owned(names ...string) int {
	count := 0
	for _, o := range s.objects {
		for _, n := range names {
			if s.hosts[n].state.Snapshot().Owns(o, s.clock(s.hosts[n])) {
				count++
			}
		}
	}
	return count
}

// TestRefusalWaitsForTheWriteItDependsOn has one write carry a change that makes
// another one not fit. The write may fail, so the other is not refused yet.
func TestRefusalWaitsForTheWriteItDependsOn(t *testing.T) {
	s := newSimulation(1, "a", "b", "c")
	s.run(10 * timer.Second)
	s.change(s.hosts["a"], "w", putWorkspace("w"))
	s.run(1 * timer.Second)
	s.change(s.hosts["a"], "k", command{"k", true}.change())
	s.run(1 * timer.Second)
	h := s.hosts["a"]
	state, now := h.state, s.clock(h)
	var queue []coordinator.Event
	for i, c := range []registrar.Change{putWorkspace("v"), command{"k", false}.change(), command{"k", false}.change()} {
		queue = append(queue, coordinator.ChangeWanted{
			At: now, Token: coordinator.Token(1000 + i), ID: fmt.Sprint(i), Change: c, Deadline: now + timer.Second,
		})
	}
	writes := 0
	for len(queue) > 0 && writes < 2 {
		e := queue[0]
		queue = queue[1:]
		var effects []coordinator.Effect
		state, effects = coordinator.Step(state, e)
		for _, e := range effects {
			switch e := e.(type) {
			case coordinator.ReadStore:
				queue = append(queue, coordinator.StoreRead{At: now, Read: e.Read, Record: s.store, StoreVersion: s.storeVersion})
			case coordinator.WriteStore:
				writes++
				queue = append(queue, coordinator.StoreWritten{At: now, Write: e.Write, Outcome: coordinator.WriteConflict})
			case coordinator.FinishChange:
				require.Fail(t, "answered before the write it depends on", "%+v", e)
			}
		}
	}
	require.Equal(t, 2, writes)
}
