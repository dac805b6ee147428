package holder_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/stretchr/testify/require"
)

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// content returns the whole of a Body.
func content(b *holder.Body) []byte {
	var out []byte
	_ = b.Write(func(p []byte) error {
		out = append(out, p...)
		return nil
	})
	return out
}

func TestCompleteAnswersAreHeld(t *testing.T) {
	var h holder.Holder
	for _, n := range []int{0, 1, 32<<10 - 1, 32 << 10, 32<<10 + 1, 8 << 20} {
		want := make([]byte, n)
		for i := range want {
			want[i] = byte(i / 7)
		}
		a := h.Open()
		b, err := holder.Read(a, iotest.OneByteReader(bytes.NewReader(want)))
		require.NoError(t, err)
		require.Equal(t, n, b.Len())
		require.True(t, bytes.Equal(want, content(b)))
		b.Close()
		a.Release()
	}
	require.Zero(t, h.InUse())
}

func TestBrokenAnswerIsNotHeld(t *testing.T) {
	var h holder.Holder
	for _, broken := range []error{errors.New("broken"), io.ErrUnexpectedEOF, fmt.Errorf("server: %w", io.ErrUnexpectedEOF)} {
		a := h.Open()
		_, err := holder.Read(a, io.MultiReader(strings.NewReader("abc"), &failing{broken}))
		require.ErrorIs(t, err, broken)
		a.Release()
	}
	require.Zero(t, h.InUse())
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// Many servers send endless bodies at the same time.
func TestEndlessAnswersAreBoundedInTotal(t *testing.T) {
	const most = 32 << 20
	var h holder.Holder
	var running sync.WaitGroup
	for range 64 {
		running.Go(func() {
			a := h.Open()
			defer a.Release()
			_, err := holder.Read(a, endless{})
			var long *holder.TooLongError
			if !errors.As(err, &long) || long.InUse > most {
				t.Errorf("%v", err)
			}
		})
	}
	running.Wait()
	require.Zero(t, h.InUse())
}

// An answer that exceeds the free memory is refused, and accepted once enough memory
// has been released.
func TestReleaseReturnsMemory(t *testing.T) {
	var h holder.Holder
	var held []*holder.Account
	for {
		a := h.Open()
		if _, err := holder.Read(a, strings.NewReader(strings.Repeat("x", 4<<20))); err != nil {
			a.Release()
			break
		}
		held = append(held, a)
	}
	require.Len(t, held, 8)
	held[0].Release()
	a := h.Open()
	_, err := holder.Read(a, strings.NewReader(strings.Repeat("x", 4<<20)))
	require.NoError(t, err)
}

// Faulty servers have taken all memory. A short answer of another one is received.
func TestShortAnswersAreReceivedWithoutFreeMemory(t *testing.T) {
	h := holder.New(1 << 20)
	require.NoError(t, h.Open().Reserve(1<<20+holder.Allowance))
	require.Error(t, h.Open().Reserve(holder.Allowance+1))
	a := h.Open()
	require.NoError(t, a.Reserve(4<<10))
	require.NoError(t, a.Reserve(28<<10))
	require.Error(t, a.Reserve(1))
	a.Release()
	require.EqualValues(t, 1<<20, h.InUse())
}

// A reservation that failed was counted for a moment, and made others fail that fit.
func TestReservationThatFailsMakesNoOtherFail(t *testing.T) {
	h := holder.New(1 << 20)
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 20_000 {
				if h.Open().Reserve(1<<20+holder.Allowance+1) == nil {
					t.Error("reserved more than the limit")
				}
			}
		})
	}
	for range 20_000 {
		a := h.Open()
		require.NoError(t, a.Reserve(1<<20))
		a.Release()
	}
	running.Wait()
	require.Zero(t, h.InUse())
}

// On a host with little memory one answer takes no more than half of it.
func TestOneAnswerDoesNotTakeAllMemory(t *testing.T) {
	h := holder.New(1 << 20)
	a := h.Open()
	_, err := holder.Read(a, endless{})
	var long *holder.TooLongError
	require.ErrorAs(t, err, &long)
	require.LessOrEqual(t, long.Bytes, int64(1<<19+32<<10))
	a.Release()
	require.Zero(t, h.InUse())
}

func TestReadAllIsBoundedByTheMemory(t *testing.T) {
	h := holder.New(1 << 20)
	for _, n := range []int{0, 1, 4 << 10, 100000, 1 << 19} {
		want := bytes.Repeat([]byte("xyz"), n/3+1)[:n]
		a := h.Open()
		got, err := holder.ReadAll(a, iotest.HalfReader(bytes.NewReader(want)), -1)
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, got))
		a.Release()
		got, err = holder.ReadAll(a, iotest.HalfReader(bytes.NewReader(want)), int64(n))
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, got))
		require.LessOrEqual(t, h.InUse(), int64(n+1))
		a.Release()
	}
	a := h.Open()
	_, err := holder.ReadAll(a, endless{}, -1)
	var long *holder.TooLongError
	require.ErrorAs(t, err, &long)
	a.Release()
	require.Zero(t, h.InUse())
}

// Guards against what is buffered for slow callers taking the memory for the answers to others.
func TestForkedAccountsLeaveHalfOfTheMemory(t *testing.T) {
	h := holder.New(100)
	fork := h.Open().Fork()
	require.NoError(t, fork.Reserve(50))
	require.Error(t, fork.Reserve(1))
	other := h.Open()
	require.NoError(t, other.Reserve(holder.Allowance+50))
	fork.Release()
	other.Release()
	require.Zero(t, h.InUse())
}
