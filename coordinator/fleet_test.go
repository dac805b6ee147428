package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// TestManyHostsJoinAndLeaveInFewEpochs starts 60 hosts at once, kills ten of them at once,
// and changes the configuration. Joins and removals must be batched into a few changes of
// members rather than one for each host.
func TestManyHostsJoinAndLeaveInFewEpochs(t *testing.T) {
	const hosts, lost = 60, 10
	s := newSimulation(1)
	s.skipChecks = true
	for i := range hosts {
		s.names = append(s.names, fmt.Sprintf("%c%02d", 'a'+i%6, i))
	}
	for _, n := range s.names {
		s.start(n)
	}
	s.run(12 * timer.Second)
	require.Len(t, s.store.Members, hosts)
	t.Logf("%d hosts joined in %d epochs, %d writes", hosts, s.store.Epoch, s.writes)
	require.LessOrEqual(t, int(s.store.Epoch), 5)

	epoch := s.store.Epoch
	for _, n := range s.names[:lost] {
		s.hosts[n].killed = true
	}
	begin := s.now
	for len(s.store.Members) > hosts-lost && s.now < begin+15_000*microsPerMilli {
		s.run(100)
	}
	t.Logf("%d lost hosts removed in %d epochs after %d ms", lost, s.store.Epoch-epoch, (s.now-begin)/microsPerMilli)
	require.Len(t, s.store.Members, hosts-lost)
	require.Equal(t, epoch+1, s.store.Epoch)

	s.run(8 * timer.Second)
	s.checkSpread(t, hosts-lost)
}

// checkSpread checks that a change is accepted and held by all hosts within 5 s.
func (s *simulation) checkSpread(t *testing.T, hosts int) {
	begin := s.now
	s.change(s.hosts[s.names[len(s.names)-1]], "w", putWorkspace("w"))
	held := func() int {
		n := 0
		for _, name := range s.names {
			if h := s.hosts[name]; !h.killed && h.state.Record().Version == s.store.Version {
				n++
			}
		}
		return n
	}
	for s.answers["w"] == (coordinator.FinishChange{}) || held() < hosts {
		s.run(10)
		require.Less(t, s.now, begin+5_000*microsPerMilli)
	}
	t.Logf("accepted and held by %d hosts after %d ms", held(), (s.now-begin)/microsPerMilli)
	require.True(t, s.answers["w"].Result.Accepted)
}
