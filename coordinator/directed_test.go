package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// removeIsolatedMembers lets c, which alone reaches the store, remove a and b and then
// change the configuration, while a and b confirm each other.
func removeIsolatedMembers(guard coordinator.Guard) *simulation {
	s := newSimulation(1, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	for _, n := range []string{"a", "b"} {
		s.blocked[[2]string{n, "c"}], s.blocked[[2]string{"c", n}] = true, true
		s.storeBlocked[n] = true
	}
	s.change(s.hosts["c"], "remove", registrar.RemoveHosts{Names: []string{"a", "b"}})
	s.run(9 * timer.Second)
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(9 * timer.Second)
	return s
}

func TestChangesMustBeAcceptedByFormerMembers(t *testing.T) {
	s := removeIsolatedMembers("")
	require.Empty(t, s.violation)
	require.False(t, s.answers["remove"].Result.Accepted)
	require.False(t, s.answers["withdraw"].Result.Accepted, "written, spread not known")
	require.True(t, s.hosts["a"].state.Snapshot().Permitted(s.clock(s.hosts["a"])), s.describe())
}

// lateJoin delivers a delayed join request of an ended incarnation of b when a later
// incarnation is a member. It returns the record's entry of b some time after, and the
// entry of the later incarnation.
func lateJoin(guard coordinator.Guard) (entry, later registrar.Member) {
	s := newSimulation(1, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	s.hosts["b"].killed = true
	ended := s.start("b").member
	s.hosts["b"].killed = true
	later = s.start("b").member
	s.run(15 * timer.Second)
	for _, n := range []string{"a", "c"} {
		h := s.hosts[n]
		s.event(h, func(now timer.Millis) coordinator.Event {
			q := coordinator.ReportRequest{Report: coordinator.Report{Name: "b", Incarnation: ended.Incarnation}, Joining: &ended}
			return coordinator.ReportRequested{At: now, Request: q}
		})
	}
	s.run(3 * timer.Second)
	entry, _ = s.store.Member("b")
	return entry, later
}

func TestLateJoinOfAnEndedIncarnation(t *testing.T) {
	entry, later := lateJoin("")
	require.Equal(t, later, entry)

	entry, later = lateJoin(coordinator.GuardVerifiedJoin)
	require.NotEqual(t, later, entry, "without the guard a dead process replaces the living one")
}

// isolate blocks all messages between a host and the other hosts and the store.
func (s *simulation) isolate(name string) {
	for _, n := range s.names {
		s.blocked[[2]string{name, n}], s.blocked[[2]string{n, name}] = true, true
	}
	s.storeBlocked[name] = true
}

// handOverChain moves objects from a to b, and on to c before b could act, while a is
// isolated and acts until its permission ends.
func handOverChain(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c", "d", "e")
	s.run(20 * timer.Second)
	s.guard = guard
	s.run(2 * timer.Second)
	s.isolate("a")
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
	require.Less(t, s.countOwned("c", "d", "e"), len(s.objects), "what a had waits for a's permission")
	s.run(6 * timer.Second)
	require.Empty(t, s.violation)
	require.Equal(t, len(s.objects), s.countOwned("c", "d", "e"))
}

// removeIsolatedHost removes a while it is isolated. Its last round had slow messages.
func removeIsolatedHost(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c", "d", "e")
	s.run(20 * timer.Second)
	s.guard, s.maxDelay = guard, 950
	s.run(5 * timer.Second)
	s.isolate("a")
	s.maxDelay = 10
	s.change(s.hosts["c"], "out-a", registrar.RemoveHosts{Names: []string{"a"}})
	s.run(12 * timer.Second)
	return s
}

// leaveUnconfirmed lets a leave without a response to the write of its departure.
func leaveUnconfirmed(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(20 * timer.Second)
	s.guard, s.loseWriteResponses = guard, 1
	s.leave(s.hosts["a"])
	for s.store.HasMember("a", s.hosts["a"].member.Incarnation) {
		s.run(1)
	}
	s.isolate("a")
	s.run(5 * timer.Second)
	return s
}

// restartAfterAcceptance lets b accept a version with c, restart, and then reach only a,
// which does not have that version.
func restartAfterAcceptance(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(15 * timer.Second)
	s.reuseIncarnation = guard == coordinator.GuardIncarnation
	s.isolate("a")
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(3 * timer.Second)
	s.isolate("c")
	s.blocked[[2]string{"a", "b"}], s.blocked[[2]string{"b", "a"}] = false, false
	s.hosts["b"].killed, s.storeBlocked["b"] = true, true
	s.start("b")
	s.run(12 * timer.Second)
	return s
}

// fetchOlderRecord delivers an older record to a than the one that it holds.
func fetchOlderRecord(guard coordinator.Guard, seed uint64) *simulation {
	s := newSimulation(seed, "a", "b", "c")
	s.run(15 * timer.Second)
	s.guard = guard
	old := s.hosts["a"].state.Record()
	s.change(s.hosts["c"], "withdraw", putWorkspace("w"))
	s.run(3 * timer.Second)
	s.event(s.hosts["a"], func(now timer.Millis) coordinator.Event {
		return coordinator.RecordFetched{At: now, Record: old}
	})
	return s
}

// TestDroppedGuardsAreDetected drops one guard at a time. The checker must find no
// violation with the guard and one without it.
func TestDroppedGuardsAreDetected(t *testing.T) {
	type scenario func(coordinator.Guard, uint64) *simulation
	isolatedMembers := func(g coordinator.Guard, _ uint64) *simulation { return removeIsolatedMembers(g) }
	for g, run := range map[coordinator.Guard]scenario{
		coordinator.GuardPermissionEnd: removeIsolatedHost, coordinator.GuardTimedFromSending: removeIsolatedHost,
		coordinator.GuardMajority: isolatedMembers, coordinator.GuardFormerMembers: isolatedMembers,
		coordinator.GuardHandOver: handOverChain, coordinator.GuardRetainedObjects: handOverChain,
		coordinator.GuardStopsFirst: leaveUnconfirmed, coordinator.GuardIncarnation: restartAfterAcceptance,
		coordinator.GuardNoRevert: fetchOlderRecord,
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

// countOwned counts the objects as whose owner one of the hosts may act.
func (s *simulation) countOwned(names ...string) int {
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

// TestRefusalWaitsForTheWriteItDependsOn queues two changes of which the second can't be
// applied after the first. While the write of the first may still fail, the second must
// not be refused.
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
		queue = append(queue, coordinator.ChangeRequested{
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
