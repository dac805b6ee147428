// Package holder holds answers until they are whole, in bounded memory.
//
// An answer that was passed on in part cannot be asked for again, so short answers
// are held first. A server whose answer never ends would fill the host's memory; so
// each answer is bounded, and so are all answers of a host together.
package holder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxBody bounds one answer, maxHeld all that are held, in bytes.
	maxBody  = 8 << 20
	maxTotal = 32 << 20
	// step is how much is read at once, in bytes.
	chunkSize = 32 << 10
)

// TooLongError says that an answer is longer than is held.
type TooLongError struct {
	// Bytes were read of it, Held are those of all answers.
	Bytes, InUse int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("answer of over %d bytes, while %d are held of all answers", e.Bytes, e.InUse)
}

// Holder is safe for concurrent use. The zero Holder is ready.
type Holder struct{ inUse atomic.Int64 }

// Body is an answer that is held until Release.
type Body struct {
	holder   *Holder
	buffer   bytes.Buffer
	reserved int64
}

// Read reads r to its end. After an error nothing is held.
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

// grow takes memory for another step.
func (b *Body) reserve() error {
	b.reserved += chunkSize
	held := b.holder.inUse.Add(chunkSize)
	if b.reserved > maxBody+chunkSize || held > maxTotal {
		return &TooLongError{Bytes: int64(b.buffer.Len()), InUse: held}
	}
	return nil
}

// Bytes are valid until Release.
func (b *Body) Bytes() []byte { return b.buffer.Bytes() }

// Release gives the memory back. It is called once.
func (b *Body) Release() { b.holder.inUse.Add(-b.reserved) }

// Held is how many bytes are held now, in whole steps.
func (h *Holder) InUse() int64 { return h.inUse.Load() }
