package prefetcher_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/prefetcher"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// stream is a stream whose server writes to an unbuffered pipe.
type stream struct {
	*prefetcher.Prefetcher
	memory *holder.Holder
	server *io.PipeWriter
	// sent is the number of bytes that were read from the server.
	sent atomic.Int64
}

func newStream(t *testing.T, memory int64) *stream {
	s := &stream{memory: holder.New(memory)}
	source, server := io.Pipe()
	s.server = server
	s.Prefetcher = prefetcher.New(t.Context(), prefetcher.Options{
		Source: source, Interrupt: func() { _ = source.Close() }, Memory: s.memory.Open().Fork(), OnRead: func() {}, Clock: timer.System(),
	})
	return s
}

// send writes to the stream in small parts and ends it.
func (s *stream) send(data []byte, end error) {
	for part := range chunked(data) {
		n, err := s.server.Write(part)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	_ = s.server.CloseWithError(end)
}

func chunked(data []byte) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			n := min(1000, len(data))
			if !yield(data[:n]) {
				return
			}
			data = data[n:]
		}
	}
}

func random(length int) []byte {
	out := make([]byte, length)
	for i := range out {
		out[i] = byte(rand.IntN(256))
	}
	return out
}

// Guards against a server that aborts since only the caller does not read, and against a
// buffer without bounds: the stream is read on while there is room, then waits.
func TestStreamIsReadOnWithinTheBoundWhileItsReaderIsBusy(t *testing.T) {
	s := newStream(t, 0)
	data := random(2 * prefetcher.MaxBuffered)
	go s.send(data, io.EOF)
	s.SetBusy(true)
	s.ReadAhead()
	require.Eventually(t, func() bool { return s.sent.Load() > prefetcher.MaxBuffered-8192 }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.LessOrEqual(t, s.sent.Load(), int64(prefetcher.MaxBuffered))
	require.EqualValues(t, prefetcher.MaxBuffered, s.memory.InUse())
	s.SetBusy(false)
	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.Equal(t, data, got)
	s.Close()
	require.Zero(t, s.memory.InUse())
}

// Guards against bytes that are lost, doubled or out of order when reading changes between
// the stream and the buffer, and against an end that hides how the stream ended.
func TestBytesStayInOrderHoweverReadingChanges(t *testing.T) {
	errBroken := errors.New("broken")
	for _, end := range []error{io.EOF, errBroken} {
		s := newStream(t, 0)
		data := random(300000)
		go s.send(data, end)
		stop := make(chan struct{})
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					s.ReadAhead()
				}
			}
		}()
		var got bytes.Buffer
		var err error
		for err == nil {
			b := make([]byte, 1+rand.IntN(3000))
			var n int
			n, err = s.Read(b)
			got.Write(b[:n])
			s.SetBusy(true)
			if rand.IntN(4) == 0 {
				time.Sleep(time.Duration(rand.IntN(200)) * time.Microsecond)
			}
			s.SetBusy(false)
		}
		require.ErrorIs(t, err, end)
		require.True(t, bytes.Equal(data, got.Bytes()))
		close(stop)
		<-stopped
		s.Close()
		require.Zero(t, s.memory.InUse())
	}
}

// Guards against a reader that waits for ever for a buffer that finds no memory.
func TestStreamIsReadDirectlyWithoutMemory(t *testing.T) {
	s := newStream(t, 1)
	go s.send([]byte("all of it"), io.EOF)
	s.SetBusy(true)
	s.ReadAhead()
	s.SetBusy(false)
	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(got))
	s.Close()
}

// Guards against a call whose time is over and that goes on with what was read ahead, and
// against a goroutine that stays.
func TestWhatWasReadAheadIsDroppedWhenTheCallEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	source, server := io.Pipe()
	p := prefetcher.New(ctx, prefetcher.Options{
		Source: source, Interrupt: func() { _ = source.Close() }, Memory: holder.New(0).Open().Fork(), OnRead: func() {}, Clock: timer.System(),
	})
	p.SetBusy(true)
	p.ReadAhead()
	_, err := server.Write([]byte("part"))
	require.NoError(t, err)
	cancel()
	p.SetBusy(false)
	_, err = p.Read(make([]byte, 10))
	require.ErrorIs(t, err, context.Canceled)
	p.Close()
}

// BenchmarkRead compares reads of a stream with and without a Prefetcher that has nothing to
// do.
func BenchmarkRead(b *testing.B) {
	event := bytes.Repeat([]byte("x"), 100)
	for _, with := range []bool{false, true} {
		b.Run(map[bool]string{false: "direct", true: "prefetcher"}[with], func(b *testing.B) {
			source := &repeated{event}
			p := prefetcher.New(b.Context(), prefetcher.Options{Source: source, Memory: holder.New(0).Open().Fork(), OnRead: func() {}})
			buffer := make([]byte, 4096)
			for b.Loop() {
				if !with {
					_, _ = source.Read(buffer)
					continue
				}
				_, _ = p.Read(buffer)
				p.SetBusy(true)
				p.SetBusy(false)
			}
		})
	}
}

type repeated struct{ part []byte }

func (r *repeated) Read(p []byte) (int, error) { return copy(p, r.part), nil }
