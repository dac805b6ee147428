// Package holder buffers answers until they are complete, in bounded memory.
//
// A call whose answer was passed on in part cannot be retried, so short answers are
// buffered completely first. A server whose answer never ends could exhaust the
// host's memory, so the size of each answer and the total size of all buffered
// answers are bounded.
package holder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxBody bounds one answer, maxTotal all buffered answers together, in bytes.
	maxBody  = 8 << 20
	maxTotal = 32 << 20
	// chunkSize is the unit in which memory is reserved and answers are read, in
	// bytes.
	chunkSize = 32 << 10
)

// TooLongError reports that an answer exceeds the memory for one answer, or what is
// left of the memory for all.
type TooLongError struct {
	// Bytes is how much of the answer was read, InUse the memory reserved for all
	// answers.
	Bytes, InUse int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("answer longer than %d bytes exceeds buffer memory, with %d bytes in use by all answers", e.Bytes, e.InUse)
}

// Holder buffers answers. It is safe for concurrent use. The zero Holder is ready to
// use.
type Holder struct{ inUse atomic.Int64 }

// Body is a buffered answer, which occupies memory until Release.
type Body struct {
	holder   *Holder
	buffer   bytes.Buffer
	reserved int64
}

// Read reads r to its end. If it fails, no memory remains reserved.
func (h *Holder) Read(r io.Reader) (*Body, error) {
	b := &Body{holder: h}
	for {
		if err := b.reserve(); err != nil {
			b.Release()
			return nil, err
		}
		_, err := io.CopyN(&b.buffer, r, chunkSize)
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.Release()
			return nil, err
		}
	}
}

// reserve reserves memory for another chunk. The caller must Release b if it fails.
func (b *Body) reserve() error {
	b.reserved += chunkSize
	held := b.holder.inUse.Add(chunkSize)
	if b.reserved > maxBody+chunkSize || held > maxTotal {
		return &TooLongError{Bytes: int64(b.buffer.Len()), InUse: held}
	}
	return nil
}

// Bytes returns the answer. It is valid until Release.
func (b *Body) Bytes() []byte { return b.buffer.Bytes() }

// Release returns the memory. It must be called once.
func (b *Body) Release() { b.holder.inUse.Add(-b.reserved) }

// InUse returns the reserved memory in bytes, a multiple of the chunk size.
func (h *Holder) InUse() int64 { return h.inUse.Load() }
