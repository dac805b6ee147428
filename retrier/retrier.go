// Package retrier decides what happens after a call for a batch item has ended:
// the item is retried, and when; its answer is recorded; or it is recorded as
// failed.
//
// It is a pure state machine: the time and the random jitter come with the
// events. Invariants:
//
//   - An item never fails because its call was not run, unless a retry can't
//     succeed.
//   - Every call that ended in an error is counted. The item fails after
//     Limits.MaxAttempts such calls, or once Limits.MaxSuspects backend servers
//     have crashed while running it.
package retrier

import (
	"net/http"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Phase is the state of an item that has been read from the job's items.
type Phase uint8

// Phases of an item.
const (
	// Pending items wait to be started.
	Pending Phase = iota
	// Running items have been passed to the Doer.
	Running
	// Recording items have a result that has not been recorded yet.
	Recording
)

// Item is the state of one item from the time it is read until its result is
// recorded. It is a value type: Step returns the next state.
type Item struct {
	Index uint64
	Phase Phase
	// Attempts counts the calls that ended in an error, and Suspects those during
	// which the backend server crashed. refusals counts the calls in a row that
	// were not run.
	Attempts, Suspects int
	refusals           int
	// NotBefore is the earliest time at which the item may start.
	NotBefore timer.Millis
}

// Limits are the limits on the calls of one item. See the package comment.
type Limits struct{ MaxAttempts, MaxSuspects int }

// Event is an input of Step: Begun or Ended.
type Event interface{ event() }

// Started means that the item was passed to the Doer.
type Started struct{}

// Ended means that the call for the item ended with Outcome.
type Ended struct {
	Outcome requester.Outcome
	Now     timer.Millis
	// Jitter is a random number in [0, 1).
	Jitter float64
}

func (Started) event() {}
func (Ended) event()   {}

// Effect is what the caller of Step has to do: RetryLater, NoteSuspect,
// RecordDone or RecordFailed.
type Effect interface{ effect() }

type (
	// RetryLater leaves the item pending until Item.NotBefore.
	RetryLater struct{}
	// RecordSuspect also leaves the item pending until Item.NotBefore, and records
	// that a backend server crashed.
	RecordSuspect struct{}
	// RecordDone records the answer.
	RecordDone struct{}
	// RecordFailed records the reason for the failure, and the answer if
	// Answered is set.
	RecordFailed struct {
		Code, Message string
		Answered      bool
	}
)

func (RetryLater) effect()    {}
func (RecordSuspect) effect() {}
func (RecordDone) effect()    {}
func (RecordFailed) effect()  {}

// Backoff between attempts at an item.
const (
	itemBackoff    = 500 * timer.Millis(1)
	maxItemBackoff = 60 * timer.Second
)

// Codes of failed items.
const (
	codeServersCrashed    = "backend-servers-died"
	codeRejected          = "rejected"
	codeAttemptsExhausted = "attempts-exhausted"
)

// Codes of requester.NotRun that don't depend on the item. The item is retried
// after them even if RetryAfter is zero.
const (
	notRunTimeout = "timeout"
	// NotRunCancelled is the code of a call that was cancelled before it started.
	NotRunCancelled = "cancelled"
)

// backoff returns the wait before retry n: d, which doubles with n up to
// maxItemBackoff, scaled by a factor from 0.5 up to 1.5.
func backoff(n int, jitter float64) timer.Millis {
	d := maxItemBackoff
	if n < 8 {
		d = min(d, itemBackoff<<n)
	}
	return d/2 + timer.Millis(float64(d)*jitter)
}

// Step returns the state of the item after e, and what the caller has to do.
func (i Item) Step(l Limits, e Event) (Item, Effect) {
	switch e := e.(type) {
	case Started:
		i.Phase = Running
	case Ended:
		i.Phase = Pending
		return i.ended(l, e)
	}
	return i, RetryLater{}
}

func (i Item) ended(l Limits, e Ended) (Item, Effect) {
	switch o := e.Outcome.(type) {
	case requester.Evicted:
		i.NotBefore = e.Now
		return i, RetryLater{}
	case requester.NotRun:
		return i.notRun(l, e, o)
	case requester.MaybeRun:
		if o.ServerCrashed {
			return i.serverCrashed(l, e, o)
		}
		return i.countAttempt(l, e, max(o.RetryAfter, 0), RecordFailed{Code: codeAttemptsExhausted, Message: o.Code + ": " + o.Reason})
	case requester.Answered:
		return i.answered(l, e, o)
	}
	return i.countAttempt(l, e, 0, RecordFailed{Code: codeAttemptsExhausted, Message: "no outcome"})
}

// notRun never fails an item unless a retry can't succeed.
func (i Item) notRun(l Limits, e Ended, o requester.NotRun) (Item, Effect) {
	if o.RetryAfter == 0 && o.Code != notRunTimeout && o.Code != NotRunCancelled {
		return i.countAttempt(l, e, 0, RecordFailed{Code: o.Code, Message: o.Reason})
	}
	i.NotBefore = e.Now + max(o.RetryAfter, backoff(i.refusals, e.Jitter))
	i.refusals++
	return i, RetryLater{}
}

func (i Item) serverCrashed(l Limits, e Ended, o requester.MaybeRun) (Item, Effect) {
	i.Suspects++
	if i.Suspects >= l.MaxSuspects {
		return i.recording(RecordFailed{Code: codeServersCrashed, Message: o.Reason})
	}
	i.NotBefore = e.Now + max(o.RetryAfter, backoff(i.Suspects, e.Jitter))
	return i, RecordSuspect{}
}

// countAttempt counts a failed attempt and ends the item with failure after the
// last permitted one.
func (i Item) countAttempt(l Limits, e Ended, retryAfter timer.Millis, failure RecordFailed) (Item, Effect) {
	i.Attempts++
	i.refusals = 0
	if i.Attempts >= l.MaxAttempts {
		return i.recording(failure)
	}
	i.NotBefore = e.Now + max(retryAfter, backoff(i.Attempts, e.Jitter))
	return i, RetryLater{}
}

func (i Item) answered(l Limits, e Ended, o requester.Answered) (Item, Effect) {
	switch {
	case o.Status >= 200 && o.Status < 300:
		return i.recording(RecordDone{})
	case o.Status == http.StatusTooManyRequests || o.Status == http.StatusRequestTimeout || o.Status >= 500:
		return i.countAttempt(l, e, 0, RecordFailed{Code: codeAttemptsExhausted, Message: http.StatusText(o.Status), Answered: true})
	}
	return i.recording(RecordFailed{Code: codeRejected, Message: http.StatusText(o.Status), Answered: true})
}

func (i Item) recording(e Effect) (Item, Effect) {
	i.Phase = Recording
	return i, e
}

// TotalAttempts returns the number of attempts to show for the item, including the last
// one and those during which a backend server crashed.
func (i Item) TotalAttempts() int { return i.Attempts + i.Suspects }
