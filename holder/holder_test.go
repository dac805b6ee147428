package holder_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/stretchr/testify/require"
)

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestCompleteAnswersAreHeld(t *testing.T) {
	var h holder.Holder
	for _, n := range []int{0, 1, 32 << 10, 8 << 20} {
		want := strings.Repeat("x", n)
		b, err := h.Read(strings.NewReader(want))
		require.NoError(t, err)
		require.True(t, bytes.Equal([]byte(want), b.Bytes()))
		b.Release()
	}
	require.Zero(t, h.InUse())
}

func TestBrokenAnswerIsNotHeld(t *testing.T) {
	var h holder.Holder
	broken := errors.New("broken")
	_, err := h.Read(io.MultiReader(strings.NewReader("abc"), &failing{broken}))
	require.ErrorIs(t, err, broken)
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
			_, err := h.Read(endless{})
			var long *holder.TooLongError
			if !errors.As(err, &long) || long.InUse > most+64*32<<10 {
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
	var held []*holder.Body
	for {
		b, err := h.Read(strings.NewReader(strings.Repeat("x", 4<<20)))
		if err != nil {
			break
		}
		held = append(held, b)
	}
	require.Len(t, held, 7)
	held[0].Release()
	b, err := h.Read(strings.NewReader(strings.Repeat("x", 4<<20)))
	require.NoError(t, err)
	b.Release()
}
