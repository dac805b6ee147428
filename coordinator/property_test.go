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

// TestMain fixes rapid's seed and keeps runs short, unless flags say otherwise:
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

// act does one random fault or operator's command.
func act(s *simulation, kind, host, other, amount, id int) {
	name, peer := s.names[host], s.names[other]
	h := s.hosts[name]
	switch kind {
	case 0:
		h.dead = true
	case 1:
		if h.dead {
			s.start(name)
		}
	case 2:
		s.cut[[2]string{name, peer}] = true
	case 3:
		s.cut[[2]string{name, peer}], s.cut[[2]string{peer, name}] = true, true
	case 4:
		clear(s.cut)
	case 5:
		h.frozen = s.now + int64(amount)*100*microsPerMilli
	case 6:
		s.storeOut = !s.storeOut
	case 7:
		s.loseAnswers = amount % 3
	case 8:
		if !h.dead {
			s.leave(h)
		}
	case 9:
		s.storeCut[name] = !s.storeCut[name]
	case 10:
		s.removeDead(h, fmt.Sprint("remove-", id), amount%2 == 0)
	default:
		s.change(h, fmt.Sprint("change-", id), putWorkspace(fmt.Sprint("workspace-", id%3)))
	}
}

// removeDead has an operator take out the members that are dead indeed.
func (s *simulation) removeDead(h *simulated, id string, force bool) {
	var names []string
	for _, m := range s.store.Members {
		if o := s.hosts[m.Name]; o.dead || o.member.Incarnation != m.Incarnation {
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

// schedule draws a simulation with its faults and runs it.
func schedule(rt *rapid.T) *simulation {
	names := []string{"a1", "a2", "b1", "b2", "c1"}[:rapid.IntRange(3, 5).Draw(rt, "hosts")]
	s := newSimulation(rapid.Uint64().Draw(rt, "seed"), names...)
	s.run(rapid.SampledFrom([]timer.Millis{1000, 12_000}).Draw(rt, "quiet"))
	s.loss = rapid.IntRange(0, 20).Draw(rt, "loss")
	s.repeat = rapid.IntRange(0, 10).Draw(rt, "repeat")
	r := s.random
	for i := range rapid.IntRange(5, 30).Draw(rt, "actions") {
		act(s, r.IntN(15), r.IntN(len(names)), r.IntN(len(names)), r.IntN(90), i)
		s.run(timer.Millis(r.IntN(4000)))
	}
	return s
}

// checkChanges notes an accepted change that is lost, or one applied twice.
func (s *simulation) checkChanges() {
	for id, f := range s.answers {
		if f.Err != nil || f.Result.Version == 0 {
			continue
		}
		a, ok := s.store.FindApplied(id)
		if !ok || a.Version != f.Result.Version {
			s.violated("operators: %s was written at %d, the store has %+v", id, f.Result.Version, a)
		}
	}
	seen := make(map[string]bool)
	for _, a := range s.store.Recent {
		if seen[a.ID] {
			s.violated("operators: %s was applied twice", a.ID)
		}
		seen[a.ID] = true
	}
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := schedule(rt)
		s.heal()
		s.run(40 * timer.Second)
		s.heal() // starts what was leaving
		s.run(40 * timer.Second)
		s.checkSettled()
		s.checkChanges()
		require.Empty(rt, s.violation, s.describe())
	})
}
