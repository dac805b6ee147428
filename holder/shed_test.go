package holder_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// testBudget returns a budget whose memory for bodies is 0.1875 of memoryMB, and the causes
// of its refusals.
func testBudget(memoryMB int, c timer.Clock) (*holder.Budget, func() map[holder.Cause]int) {
	var mu sync.Mutex
	causes := make(map[holder.Cause]int)
	r := holder.NewReporter(zap.NewNop(), func(c holder.Cause) {
		mu.Lock()
		defer mu.Unlock()
		causes[c]++
	})
	return holder.NewBudget(holder.Resources{MemoryMB: memoryMB}, c, r), func() map[holder.Cause]int {
		mu.Lock()
		defer mu.Unlock()
		return causes
	}
}

// upload is a body that is being read: first what has arrived, then a wait until it is
// interrupted.
type upload struct {
	*holder.Account
	interrupted chan struct{}
	ended       chan error
}

func address() string { return "192.0.2.1:1" }

// stall starts reading a body of which n bytes arrive and no more.
func stall(b *holder.Budget, n int) *upload {
	u := &upload{interrupted: make(chan struct{}), ended: make(chan error, 1)}
	u.Account = b.Bodies.OpenFor(address, func() { close(u.interrupted) })
	arrived := make(chan struct{})
	go func() {
		_, err := holder.ReadAll(u.Account, io.MultiReader(bytes.NewReader(make([]byte, n)), waiting{arrived, u.interrupted}), int64(n)+1)
		u.Release()
		u.ended <- err
	}()
	<-arrived
	return u
}

var errInterrupted = errors.New("interrupted")

// waiting is a reader that closes arrived and fails when it is interrupted.
type waiting struct{ arrived, interrupted chan struct{} }

func (w waiting) Read([]byte) (int, error) {
	close(w.arrived)
	<-w.interrupted
	return 0, errInterrupted
}

// Bodies that stop short of their end held all memory until their time was over, and other
// callers were refused for that long.
func TestStalledBodyGivesWay(t *testing.T) {
	clock := &harness.Clock{}
	// 3 MB are for bodies.
	b, causes := testBudget(16, clock)
	first := stall(b, 1<<20)
	clock.Time += 5 * timer.Second
	second := stall(b, 1<<20)
	clock.Time += 5 * timer.Second
	third := b.Bodies.OpenFor(address, func() { t.Error("a body that arrives was shed") })
	require.NoError(t, third.Reserve(3<<19))
	require.ErrorIs(t, <-first.ended, errInterrupted)
	require.True(t, first.Shed())
	require.False(t, second.Shed())
	require.True(t, third.Settle())
	require.Equal(t, map[holder.Cause]int{holder.MemoryShed: 1}, causes())
	third.Release()
	close(second.interrupted)
	require.ErrorIs(t, <-second.ended, errInterrupted)
	require.Zero(t, b.Bodies.InUse())
}

// Of bodies that have stalled for the same time, the one that holds the most goes first.
func TestLargestOfTheStalledBodiesGivesWay(t *testing.T) {
	clock := &harness.Clock{}
	b, _ := testBudget(16, clock)
	small, large := stall(b, 1<<19), stall(b, 1<<20)
	clock.Time += 5 * timer.Second
	require.NoError(t, b.Bodies.OpenFor(address, nil).Reserve(2<<20))
	require.ErrorIs(t, <-large.ended, errInterrupted)
	require.False(t, small.Shed())
	close(small.interrupted)
	require.ErrorIs(t, <-small.ended, errInterrupted)
}

// The body that asks for more is itself the largest, or all others have arrived: it is
// refused, and nothing is shed.
func TestBodyThatHoldsTheMostIsRefusedItself(t *testing.T) {
	b, causes := testBudget(16, &harness.Clock{})
	small := stall(b, 1<<19)
	settled := b.Bodies.OpenFor(address, func() { t.Error("a body that has arrived was shed") })
	require.NoError(t, settled.Reserve(1<<20))
	require.True(t, settled.Settle())
	large := b.Bodies.OpenFor(address, nil)
	require.NoError(t, large.Reserve(1<<20))
	require.Error(t, large.Reserve(1<<20))
	require.False(t, small.Shed())
	require.Equal(t, map[holder.Cause]int{holder.MemoryRefused: 1}, causes())
	close(small.interrupted)
	require.ErrorIs(t, <-small.ended, errInterrupted)
	large.Release()
	settled.Release()
	require.Zero(t, b.Bodies.InUse())
}

// A short request is read although larger ones have taken all memory.
func TestShortBodyNeedsNoFreeMemory(t *testing.T) {
	b, _ := testBudget(16, &harness.Clock{})
	all := b.Bodies.OpenFor(address, nil)
	require.NoError(t, all.Reserve(3<<20+8<<10))
	require.True(t, all.Settle())
	body, err := holder.ReadAll(b.Bodies.OpenFor(address, nil), bytes.NewReader(make([]byte, 4<<10)), -1)
	require.NoError(t, err)
	require.Len(t, body, 4<<10)
}

// A shed body that does not give its memory back must not hold up the one that needs it.
func TestBodyWaitsForMemoryOnlyForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := testBudget(16, timer.System())
		stuck := b.Bodies.OpenFor(address, func() {})
		require.NoError(t, stuck.Reserve(3<<20))
		time.Sleep(time.Minute)
		began := time.Now()
		require.Error(t, b.Bodies.OpenFor(address, nil).Reserve(1<<20))
		require.True(t, stuck.Shed())
		require.False(t, stuck.Settle(), "a shed body must not be served")
		require.Equal(t, 500*time.Millisecond, time.Since(began))
	})
}

// Many bodies arrive, stall and are shed at once: the memory stays within the limit, and all
// of it is given back.
func TestBodiesOfACrowdStayWithinTheMemory(t *testing.T) {
	b, _ := testBudget(16, timer.System())
	var running sync.WaitGroup
	for range 32 {
		running.Go(func() {
			for range 20 {
				interrupted := make(chan struct{})
				a := b.Bodies.OpenFor(address, func() { close(interrupted) })
				for range 24 {
					if a.Reserve(64<<10) != nil {
						break
					}
				}
				select {
				case <-interrupted:
				case <-time.After(time.Millisecond):
				}
				a.Settle()
				a.Release()
			}
		})
	}
	most := harness.MostInUse(&running, b.Bodies.InUse)
	require.LessOrEqual(t, most, int64(3<<20))
	require.Zero(t, b.Bodies.InUse())
}
