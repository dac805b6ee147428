package coordinator_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid and limits the number of runs, unless flags set them:
// go test ./coordinator -rapid.checks=2000 -rapid.seed=7
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// act injects one random fault or sends an operator's command.
func act(s *simulation, kind, host, other, amount, id int) {
	name, peer := s.names[host], s.names[other]
	h := s.hosts[name]
	switch kind {
	case 0:
		h.killed = true
	case 1:
		if h.killed {
			s.start(name)
		}
	case 2:
		s.blocked[[2]string{name, peer}] = true
	case 3:
		s.blocked[[2]string{name, peer}], s.blocked[[2]string{peer, name}] = true, true
	case 4:
		clear(s.blocked)
	case 5:
		h.frozen = s.now + int64(amount)*100*microsPerMilli
	case 6:
		s.storeDown = !s.storeDown
	case 7:
		s.loseWriteResponses = amount % 3
	case 8:
		if !h.killed {
			s.leave(h)
		}
	case 9:
		s.storeBlocked[name] = !s.storeBlocked[name]
	case 10:
		s.removeKilled(h, fmt.Sprint("remove-", id), amount%2 == 0)
	default:
		s.change(h, fmt.Sprint("change-", id), putWorkspace(fmt.Sprint("workspace-", id%3)))
	}
}

// removeKilled sends an operator's change that removes the members whose process has
// ended.
func (s *simulation) removeKilled(h *process, id string, force bool) {
	var names []string
	for _, m := range s.store.Members {
		if o := s.hosts[m.Name]; o.killed || o.member.Incarnation != m.Incarnation {
			names = append(names, m.Name)
		}
	}
	if len(names) > 0 {
		s.change(h, id, registrar.RemoveHosts{Names: names, Force: force})
	}
}

func putWorkspace(name string) registrar.Change {
	return registrar.PutWorkspace{Workspace: registrar.Workspace{Name: name}}
}

// runRandomFaults draws a simulation and its faults, and runs it.
func runRandomFaults(rt *rapid.T) *simulation {
	names := []string{"a1", "a2", "b1", "b2", "c1"}[:rapid.IntRange(3, 5).Draw(rt, "hosts")]
	s := newSimulation(rapid.Uint64().Draw(rt, "seed"), names...)
	s.run(rapid.SampledFrom([]timer.Millis{1000, 12_000}).Draw(rt, "quiet"))
	s.lossPercent = rapid.IntRange(0, 20).Draw(rt, "loss")
	s.duplicatePercent = rapid.IntRange(0, 10).Draw(rt, "repeat")
	r := s.random
	for i := range rapid.IntRange(5, 30).Draw(rt, "actions") {
		act(s, r.IntN(15), r.IntN(len(names)), r.IntN(len(names)), r.IntN(90), i)
		s.run(timer.Millis(r.IntN(4000)))
	}
	return s
}

// checkChanges records a violation if a written change was lost or applied twice.
func (s *simulation) checkChanges() {
	for id, f := range s.answers {
		if f.Err != nil || f.Result.Version == 0 {
			continue
		}
		a, ok := s.store.FindApplied(id)
		if !ok || a.Version != f.Result.Version {
			s.recordViolation("operators: %s was written at %d, the store has %+v", id, f.Result.Version, a)
		}
	}
	seen := make(map[string]bool)
	for _, a := range s.store.Recent {
		if seen[a.ID] {
			s.recordViolation("operators: %s was applied twice", a.ID)
		}
		seen[a.ID] = true
	}
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := runRandomFaults(rt)
		s.heal()
		s.run(40 * timer.Second)
		s.heal() // restarts the hosts that were leaving
		s.run(40 * timer.Second)
		s.checkRecovered()
		s.checkChanges()
		require.Empty(rt, s.violation, s.describe())
	})
}
