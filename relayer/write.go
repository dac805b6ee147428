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
	// watchInterval is the interval at which the duration of a write is checked.
	watchInterval timer.Millis = 250
	// readAheadAfter is how long a write may take before the server's stream is read ahead. It
	// is well below the seconds after which servers abort an answer that stays unread.
	readAheadAfter timer.Millis = 100
	// defaultWriteTimeout is the default of Options.WriteTimeout.
	defaultWriteTimeout = 10 * timer.Second
	// maxPart is the maximum number of bytes that are written at once, so that a caller that
	// reads slowly is not taken for one that does not read.
	maxPart = 32 << 10
	// notWriting stands for no write in progress. It is negative, since the clock may start at
	// zero.
	notWriting = -1
)

// writeWatch writes to a caller and checks how long each write takes.
type writeWatch struct {
	run *run
	// ahead reads the server's stream; nil if the answer was read to its end.
	ahead *prefetcher.Prefetcher
	// began is when the write in progress began, in milliseconds of the clock, or notWriting.
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
	w.timer = time.AfterFunc(watchInterval.Duration(), w.check)
	return w
}

// write writes to the caller. now is the current time.
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

// writeParts writes p in parts of at most maxPart bytes, each of which counts as a write.
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

// check reads the server's stream ahead if the write in progress has taken readAheadAfter, and
// ends the call if it has taken Options.WriteTimeout.
func (w *writeWatch) check() {
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
	if took >= readAheadAfter && w.ahead != nil {
		w.ahead.ReadAhead()
	}
	w.timer.Reset(watchInterval.Duration())
}

// close stops the checks.
func (w *writeWatch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
}
