// Package prefetcher reads a stream ahead while its reader is busy.
//
// Servers abort an answer that stays unread for some seconds, even if only the caller is slow.
// While the reader of a stream is blocked by something else, such as a caller who does not
// read, a goroutine reads the stream into a bounded buffer. Before that, and again once the
// buffer has been read to its end, reads go straight to the stream.
package prefetcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// MaxBuffered is the maximum number of bytes that are read ahead.
	MaxBuffered = 256 << 10
	// readSize is the size of the buffer for one read, in bytes.
	readSize = 4 << 10
	// growth is the number of bytes by which the buffer grows.
	growth = 32 << 10
)

// The states of a Prefetcher. The reader may use the source while it is ready, a goroutine
// may be started while it is busy, and the buffer is in use while it is ahead.
const (
	ready int32 = iota
	busy
	ahead
)

// Options configures a Prefetcher. All fields are required.
type Options struct {
	Source io.Reader
	// Interrupt makes a blocked read of Source fail. It may be called by any goroutine.
	Interrupt func()
	// Memory is the account from which the buffer is reserved. It must not be used by others.
	Memory *holder.Account
	// OnRead is called after each read of Source that returned bytes, by the goroutine that read.
	OnRead func()
	Clock  timer.Clock
}

// Prefetcher is an io.Reader of a stream. Its methods are for the goroutine that reads, with
// the exception of ReadAhead.
type Prefetcher struct {
	options Options
	ctx     context.Context
	state   atomic.Int32

	mu      sync.Mutex
	changed *sync.Cond
	// running is set while a goroutine reads the source, waiting while the reader waits for
	// it, and closed once Close has been called.
	running, waiting, closed bool
	// buffer holds what was read ahead, reserved is the number of bytes reserved for it. err is
	// the error that ended the source, at endedAt.
	buffer   []byte
	reserved int
	err      error
	endedAt  timer.Millis
}

// New returns a Prefetcher. What was read ahead is dropped once ctx ends.
func New(ctx context.Context, o Options) *Prefetcher {
	p := &Prefetcher{options: o, ctx: ctx}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// SetBusy records whether the reader is busy with something that may block, such as a write to
// its caller.
func (p *Prefetcher) SetBusy(is bool) {
	if is {
		p.state.CompareAndSwap(ready, busy)
		return
	}
	p.state.CompareAndSwap(busy, ready)
}

// ReadAhead starts to read the stream ahead, until the reader has caught up with it. It has no
// effect unless the reader is busy. It may be called by any goroutine.
func (p *Prefetcher) ReadAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || p.closed || p.err != nil {
		return
	}
	if p.state.CompareAndSwap(busy, ahead) || p.state.Load() == ahead {
		p.running = true
		go p.fillBuffer()
	}
}

// EndedAt returns when the end of the stream was read, on Options.Clock, or zero if it was not
// read ahead.
func (p *Prefetcher) EndedAt() timer.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !errors.Is(p.err, io.EOF) {
		return 0
	}
	return p.endedAt
}

// Buffering reports whether reads come from the buffer.
func (p *Prefetcher) Buffering() bool { return p.state.Load() == ahead }

// Read implements io.Reader.
func (p *Prefetcher) Read(b []byte) (int, error) {
	if p.state.Load() != ahead {
		return p.readSource(b)
	}
	n, direct, err := p.readBuffer(b)
	if direct {
		return p.readSource(b)
	}
	return n, err
}

// readBuffer reads from the buffer. direct is set if the buffer is empty and the source has to
// be read.
func (p *Prefetcher) readBuffer(b []byte) (n int, direct bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buffer) == 0 && p.running {
		p.waiting = true
		p.changed.Wait()
	}
	p.waiting = false
	if err := p.ctx.Err(); err != nil {
		return 0, false, err
	}
	if len(p.buffer) == 0 {
		if p.err == nil {
			p.state.Store(ready)
		}
		return 0, p.err == nil, p.err
	}
	n = copy(b, p.buffer)
	p.buffer = p.buffer[:copy(p.buffer, p.buffer[n:])]
	if len(p.buffer) == 0 {
		p.release()
	}
	p.changed.Broadcast()
	return n, false, nil
}

// readSource reads from the source and reports it to OnRead.
func (p *Prefetcher) readSource(b []byte) (int, error) {
	n, err := p.options.Source.Read(b)
	if n > 0 {
		p.options.OnRead()
	}
	return n, err
}

// fillBuffer reads the source into the buffer until the reader waits for it, the source ends,
// or there is no memory at all. While the buffer is full it waits.
func (p *Prefetcher) fillBuffer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b [readSize]byte
	for !p.closed && p.err == nil {
		if !p.grow() {
			if len(p.buffer) == 0 {
				break
			}
			p.changed.Wait()
			continue
		}
		p.mu.Unlock()
		n, err := p.readSource(b[:])
		p.mu.Lock()
		p.buffer = append(p.buffer, b[:n]...)
		if err != nil {
			p.err, p.endedAt = err, p.options.Clock.Now()
		}
		if p.waiting && n > 0 {
			break
		}
	}
	p.running = false
	p.changed.Broadcast()
}

// grow makes room for one read in the buffer and reports whether there is room. The caller
// holds p.mu.
func (p *Prefetcher) grow() bool {
	if len(p.buffer)+readSize <= p.reserved {
		return true
	}
	if p.reserved+growth > MaxBuffered || p.options.Memory.Reserve(growth) != nil {
		return false
	}
	p.reserved += growth
	p.buffer = append(make([]byte, 0, p.reserved), p.buffer...)
	return true
}

// release returns the memory of the buffer, which is empty. The caller holds p.mu.
func (p *Prefetcher) release() {
	p.options.Memory.Release()
	p.buffer, p.reserved = nil, 0
}

// Close stops reading ahead and interrupts a blocked read of the source. The source is no longer
// used once Close has returned.
func (p *Prefetcher) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	if p.running {
		p.options.Interrupt()
	}
	for p.running {
		p.changed.Wait()
	}
	p.release()
}
