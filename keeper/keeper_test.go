package keeper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

var (
	batchRequest  = keeper.Request{ID: "b", Workspace: "a", Class: requester.Batch, Tokens: 10}
	onlineRequest = keeper.Request{ID: "o", Workspace: "a", Class: requester.Online, Tokens: 10}
)

func TestOnlineWaitsAtMostForTheCloseOfAnEvictedCall(t *testing.T) {
	const slots, closing = 4, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		k := keeper.New(keeper.Limits{Slots: slots, BatchShare: 1, Queue: 64}, keeper.DefaultPolicy(), timer.System())
		var batch sync.WaitGroup
		for range 2 * slots {
			batch.Go(func() { runBatch(t.Context(), k, closing) })
		}
		synctest.Wait()
		require.Equal(t, slots, k.Load().RunningBatch)

		begun := time.Now()
		first, err := k.Acquire(t.Context(), onlineRequest)
		require.NoError(t, err)
		require.Zero(t, time.Since(begun), "the first online call waited")
		second, err := k.Acquire(t.Context(), onlineRequest)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(begun), closing)

		first.Release()
		first.Release()
		second.Release()
		synctest.Wait()
		require.Equal(t, keeper.Load{RunningBatch: slots, WaitingBatch: slots - 2, Preemptible: 2*slots - 2}, k.Load())
		k.Close()
		batch.Wait()
		require.Equal(t, keeper.Load{Free: slots}, k.Load())
	})
}

// runBatch holds a slot until it is evicted and releases it after closing, the
// time that its stream takes to close.
func runBatch(ctx context.Context, k *keeper.Keeper, closing time.Duration) {
	s, err := k.Acquire(ctx, batchRequest)
	if err != nil {
		return
	}
	<-s.Evicted()
	time.Sleep(closing)
	s.Release()
}

func TestCancelledWaiterOccupiesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeper.New(keeper.Limits{Slots: 1, BatchShare: 1, Queue: 4}, keeper.DefaultPolicy(), timer.System())
		held, err := k.Acquire(t.Context(), onlineRequest)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = k.Acquire(ctx, onlineRequest)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, k.Load().WaitingOnline)
		held.Release()
		require.Equal(t, 1, k.Load().Free)
	})
}

func TestDrainRefusesWaitingAndNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeper.New(keeper.Limits{Slots: 1, BatchShare: 1, Queue: 4}, keeper.DefaultPolicy(), timer.System())
		held, err := k.Acquire(t.Context(), onlineRequest)
		require.NoError(t, err)
		waited := make(chan error, 1)
		go func() {
			_, err := k.Acquire(t.Context(), onlineRequest)
			waited <- err
		}()
		synctest.Wait()
		k.Drain()
		var draining *keeper.DrainingError
		require.ErrorAs(t, <-waited, &draining)
		_, err = k.Acquire(t.Context(), batchRequest)
		require.ErrorAs(t, err, &draining)
		require.Equal(t, 1, k.Load().RunningOnline, "Drain stopped a running call")
		held.Release()
	})
}

func TestLimitsOfPreset(t *testing.T) {
	s := registrar.BackendServer{Slots: 8}
	require.Equal(t, keeper.Limits{Slots: 8, BatchShare: 1, Queue: 3}, keeper.LimitsOf(s, registrar.Preset{}, 3))
	peak := registrar.Preset{Name: "peak", ReserveSlots: 2, BatchShare: 0.25}
	require.Equal(t, keeper.Limits{Slots: 8, ReserveSlots: 2, BatchShare: 0.25, Queue: 3}, keeper.LimitsOf(s, peak, 3))
}
