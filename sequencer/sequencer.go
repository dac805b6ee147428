// Package sequencer checks that the events of a stream are those of one run.
//
// A run numbers its events consecutively, beginning with the number after the one that its
// request names, or with 1. Each event has a number and data. Anything else in such a stream,
// except comments, is not part of the answer: the text of an error, a piece of another answer,
// or an event that lost a part. A stream that contains it is broken.
//
// The rule holds for servers whose protocol numbers events: the streams that package relayer
// passes on and the items that package executor runs. The streams of the OpenAI-compatible API
// have no numbers; package exchanger checks those by their content.
package sequencer

import (
	"errors"
	"fmt"

	"github.com/jackdawgate/jackdawgate/splitter"
)

// UnnumberedError reports an event without a number.
type UnnumberedError struct {
	// Last is the number of the event before it, or the one that the run resumes after.
	Last int64
}

func (e *UnnumberedError) Error() string {
	return fmt.Sprintf("event without a number after %d", e.Last)
}

// GapError reports an event whose number does not follow.
type GapError struct{ Last, Got int64 }

func (e *GapError) Error() string { return fmt.Sprintf("event %d after event %d", e.Got, e.Last) }

// EmptyError reports an event that has a number but no data.
type EmptyError struct{ ID int64 }

func (e *EmptyError) Error() string { return fmt.Sprintf("event %d has no data", e.ID) }

// Check returns nil if e is the event after number last of a run, or consists of comments and
// reconnection times only. Otherwise it returns an *UnnumberedError, a *GapError or an
// *EmptyError.
func Check(e splitter.Event, last int64) error {
	switch {
	case e.Filler:
		return nil
	case !e.HasID:
		return &UnnumberedError{Last: last}
	case e.ID != last+1:
		return &GapError{Last: last, Got: e.ID}
	case !e.HasData:
		return &EmptyError{ID: e.ID}
	}
	return nil
}

// IsViolation reports whether err wraps an error of Check.
func IsViolation(err error) bool {
	var unnumbered *UnnumberedError
	var gap *GapError
	var empty *EmptyError
	return errors.As(err, &unnumbered) || errors.As(err, &gap) || errors.As(err, &empty)
}
