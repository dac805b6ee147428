package keeper_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// BenchmarkLedgerCall measures the arrival, progress and release of one call at a
// Scheduler whose slots are all in use and which has waiting calls of every
// workspace.
func BenchmarkLedgerCall(b *testing.B) {
	for _, workspaces := range []int{8, 220} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			limits := keeper.Limits{Slots: 64, BatchShare: 1, Queue: 2 * workspaces}
			s := keeper.NewScheduler(limits, keeper.DefaultPolicy())
			running := make([]keeper.CallID, 0, 64)
			arrive := func(i int) {
				r := keeper.Request{Workspace: fmt.Sprint(i % workspaces), Class: requester.Online, Tokens: 100, Weight: 1}
				_, effects := s.Enqueue(r, 0)
				running = granted(running, effects)
			}
			for i := range 64 + workspaces {
				arrive(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := running[0]
				running = running[1:]
				s.Progress(id, 120)
				running = granted(running, s.Release(id, 0))
				arrive(i)
			}
		})
	}
}

func granted(running []keeper.CallID, effects []keeper.Effect) []keeper.CallID {
	for _, e := range effects {
		if g, ok := e.(keeper.Granted); ok {
			running = append(running, g.Call)
		}
	}
	return running
}

// TestStatePerCall limits the memory of a Scheduler per waiting call.
func TestStatePerCall(t *testing.T) {
	const calls, workspaces = 4400, 220
	before := heap()
	s := keeper.NewScheduler(keeper.Limits{Slots: 64, BatchShare: 1, Queue: calls}, keeper.DefaultPolicy())
	for i := range calls {
		_, _ = s.Enqueue(keeper.Request{Workspace: fmt.Sprint(i % workspaces), Class: requester.Online, Tokens: 1}, 0)
	}
	perCall := float64(heap()-before) / calls
	t.Logf("%.0f bytes per call", perCall)
	require.Less(t, perCall, 1024.0)
	runtime.KeepAlive(s)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
