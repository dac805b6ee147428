package relayer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/prefetcher"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// watchInterval is how often the writes to a caller are looked at.
	watchInterval = 250 * timer.Millis(1)
	// readOnAfter is how long a write may take before the server's stream is read on. It is
	// well below the seconds after which servers abort an answer that stays unread.
	readOnAfter = 100 * timer.Millis(1)
	// defaultWriteTimeout is how long a write may take until the call ends.
	defaultWriteTimeout = 10 * timer.Second
	// maxPart is how much is written at once, in bytes, so that progress is noticed.
	maxPart = 32 << 10
	// notWriting is no time of the clock, which may start at zero.
	notWriting = -1
)

// writeWatch writes to a caller and watches how long that takes.
type writeWatch struct {
	run *run
	// ahead reads the server's stream; nil if the answer was read to its end.
	ahead *prefetcher.Prefetcher
	// began is when the write that goes on began, or notWriting.
	began atomic.Int64

	mu     sync.Mutex
	timer  *time.Timer
	closed bool
}

// watchWrites returns a writeWatch for writes to the caller, which must be closed.
func (u *run) watchWrites(p *prefetcher.Prefetcher) *writeWatch {
	w := &writeWatch{run: u, ahead: p}
	w.began.Store(notWriting)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval.Duration(), w.look)
	return w
}

// write writes to the caller, from now on.
func (w *writeWatch) write(p []byte, now timer.Millis) error {
	if w.ahead != nil {
		w.ahead.SetBusy(true)
	}
	w.began.Store(int64(now))
	err := w.writeParts(p)
	w.began.Store(notWriting)
	if w.ahead != nil {
		w.ahead.SetBusy(false)
	}
	return err
}

func (w *writeWatch) writeParts(p []byte) error {
	for len(p) > maxPart {
		if err := w.run.sink.Write(p[:maxPart]); err != nil {
			return err
		}
		p = p[maxPart:]
		w.began.Store(int64(w.run.relayer.options.Clock.Now()))
	}
	return w.run.sink.Write(p)
}

// look reads the server's stream on if a write takes long, and ends the call if it takes too
// long.
func (w *writeWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	o := w.run.relayer.options
	took := timer.Millis(0)
	if began := timer.Millis(w.began.Load()); began != notWriting {
		took = o.Clock.Now() - began
	}
	if took >= o.WriteTimeout {
		o.Logger.Warn("caller does not read", zap.String("request", w.run.call.ID), zap.Int64("for-ms", int64(took)))
		w.run.sink.Abort()
		return
	}
	if took >= readOnAfter && w.ahead != nil {
		w.ahead.ReadAhead()
	}
	w.timer.Reset(watchInterval.Duration())
}

// close ends the watch.
func (w *writeWatch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
}
