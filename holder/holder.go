// Package holder bounds the memory that the answers of backend servers, and what others
// send to a host, occupy.
//
// Heads, whole answers that are held until they are complete, and unfinished events all
// need memory, and a faulty server may send bytes without end. Each call has an Account,
// whose first bytes are free, so that short answers are received whatever other servers do.
// What goes beyond that is reserved from the memory of all calls together (Holder).
//
// A Budget holds all that a process holds for others: the Holders of answers, outputs, messages
// and bodies, and the limits on connections. When the memory for bodies is used up, the body that
// has held the most for the longest without progress is shed (OpenFor); when the connections
// are, those that have waited longest are (Group).
package holder

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// defaultTotal is the memory for all answers together, maxBody bounds one answer, in
	// bytes. One answer takes no more than half of the memory for all.
	defaultTotal = 32 << 20
	maxBody      = 8 << 20
	// Allowance is how many bytes each call may occupy without reserving memory.
	Allowance = 32 << 10
	// chunkSize is the unit in which answers are held, in bytes.
	chunkSize = 32 << 10
	// minBuffer is the least size of a buffer of ReadAll, in bytes.
	minBuffer = 4 << 10
)

// TooLongError reports that an answer exceeds the memory for one answer, or what is
// left of the memory for all.
type TooLongError struct {
	// Bytes is how much memory the call would have used, InUse the memory that all calls
	// have reserved, in bytes.
	Bytes, InUse int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("answer of %d bytes exceeds the memory for answers, of which all calls use %d bytes", e.Bytes, e.InUse)
}

// Holder is the memory for the answers of all calls of a host. It is safe for concurrent
// use. The zero Holder has 32 MB.
type Holder struct {
	total int64
	inUse atomic.Int64
	// clock and reporter may be nil.
	clock    timer.Clock
	reporter *Reporter

	// mu guards what follows but waiting, and is taken only for accounts that can be shed.
	mu       sync.Mutex
	shedable map[*tracked]struct{}
	// returning is what shed accounts have not given back yet, in bytes.
	returning int64
	// freed, if not nil, is closed when memory is given back. waiting is set while it is not
	// nil.
	freed   chan struct{}
	waiting atomic.Bool
}

// New returns a Holder of total bytes, or of 32 MB if total is zero.
func New(total int64) *Holder { return &Holder{total: total} }

func (h *Holder) limit() int64 {
	if h.total == 0 {
		return defaultTotal
	}
	return h.total
}

// MaxBytes returns the length of the longest body that ReadAll returns.
func (h *Holder) MaxBytes() int64 { return h.limit() / 2 }

// InUse returns the reserved memory in bytes.
func (h *Holder) InUse() int64 { return h.inUse.Load() }

// add adds n bytes to the reserved memory unless that would exceed limit, and returns
// the reserved memory. A reservation that fails is never counted, not even for a moment, so
// that it makes no other one fail.
func (h *Holder) add(n, limit int64) (inUse int64, ok bool) {
	for {
		inUse = h.inUse.Load()
		if n > 0 && inUse+n > limit {
			return inUse, false
		}
		if h.inUse.CompareAndSwap(inUse, inUse+n) {
			return inUse + n, true
		}
	}
}

// Open returns an Account for one call.
func (h *Holder) Open() *Account { return &Account{holder: h, allowance: Allowance, limit: h.limit()} }

// Account is the memory that one call uses. It must be used by one goroutine at a time.
type Account struct {
	holder *Holder
	// allowance is what the call may use without reserving memory. used is what it uses,
	// reserved the part of it beyond allowance.
	allowance, used, reserved int64
	// limit is up to how much reserved memory of all calls together this one reserves more.
	limit int64
	// tracked is set for accounts that can be shed.
	tracked *tracked
}

// Fork returns another Account for the same call, for another goroutine. All that it uses is
// reserved from the memory of all calls, of which it leaves half to others.
func (a *Account) Fork() *Account { return &Account{holder: a.holder, limit: a.holder.limit() / 2} }

// Reserve adds n bytes to what the call uses. After an error nothing was added.
func (a *Account) Reserve(n int64) error {
	if a.tracked != nil {
		if !a.reserveTracked(n) {
			return &TooLongError{Bytes: a.tracked.held.Load() + n, InUse: a.holder.InUse()}
		}
		return nil
	}
	more := max(0, a.used+n-a.allowance) - a.reserved
	if more != 0 {
		if inUse, ok := a.holder.add(more, a.limit); !ok {
			return &TooLongError{Bytes: a.used + n, InUse: inUse}
		}
	}
	a.used += n
	a.reserved += more
	return nil
}

// Release returns the memory of the call.
func (a *Account) Release() {
	if a == nil {
		return
	}
	if a.tracked != nil {
		a.tracked.release(a.holder)
		a.used, a.reserved = 0, 0
		return
	}
	a.holder.inUse.Add(-a.reserved)
	a.used, a.reserved = 0, 0
}

// maxBody returns the length of the longest answer that is held whole.
func (a *Account) maxBody() int64 { return min(maxBody, a.holder.MaxBytes()) }

// chunks holds the chunks of answers that were released.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// Body is a whole answer.
type Body struct {
	chunks []*[chunkSize]byte
	length int
}

// Read reads r to its end, in memory of the account. The caller must Close the Body, also
// if the account is released.
func Read(a *Account, r io.Reader) (*Body, error) {
	b := &Body{}
	for {
		n, err := b.readChunk(a, r)
		b.length += n
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err == nil && int64(b.length) > a.maxBody():
			err = &TooLongError{Bytes: int64(b.length), InUse: a.holder.InUse()}
		}
		if err != nil {
			b.Close()
			return nil, err
		}
	}
}

// readChunk reads the next chunk. It returns io.EOF if r has ended.
func (b *Body) readChunk(a *Account, r io.Reader) (int, error) {
	if err := a.Reserve(chunkSize); err != nil {
		return 0, err
	}
	c := chunks.Get().(*[chunkSize]byte)
	b.chunks = append(b.chunks, c)
	return readFull(r, c[:])
}

// readFull fills p, or returns the error of r. Unlike io.ReadFull it returns io.EOF also after
// a part of p, so that io.ErrUnexpectedEOF always means that the answer was broken off.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var got int
		got, err = r.Read(p[n:])
		n += got
	}
	if n == len(p) {
		return n, nil
	}
	return n, err
}

// ReadAll reads r to its end into one slice, which takes memory of the account until its
// Release, and no more than half of the memory for all. length is how many bytes to expect,
// or -1; memory is taken as they come.
func ReadAll(a *Account, r io.Reader, length int64) ([]byte, error) {
	var out []byte
	// One byte more shows that r has ended.
	most := int(a.holder.MaxBytes()) + 1
	if length >= 0 {
		most = int(min(int64(most), length+1))
	}
	for {
		if len(out) == cap(out) {
			grown := min(max(minBuffer, 2*cap(out)), most)
			if grown == cap(out) {
				return nil, &TooLongError{Bytes: int64(grown), InUse: a.holder.InUse()}
			}
			if err := a.Reserve(int64(grown - cap(out))); err != nil {
				return nil, err
			}
			out = append(make([]byte, 0, grown), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		a.progress(n)
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		}
	}
}

// Len returns the length of the answer in bytes.
func (b *Body) Len() int { return b.length }

// Write calls write with the parts of the answer in order, until it fails.
func (b *Body) Write(write func(part []byte) error) error {
	left := b.length
	for _, c := range b.chunks {
		part := c[:min(left, chunkSize)]
		if len(part) == 0 {
			break
		}
		if err := write(part); err != nil {
			return err
		}
		left -= len(part)
	}
	return nil
}

// Close returns the chunks of the answer. It must be called once.
func (b *Body) Close() {
	for _, c := range b.chunks {
		chunks.Put(c)
	}
	b.chunks, b.length = nil, 0
}
