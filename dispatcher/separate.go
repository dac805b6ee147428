package dispatcher

import (
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// The intervals at which a waiting suspect checks whether it may run. Online calls
// check more often and therefore run before batch calls.
const (
	onlineSuspectPoll timer.Millis = 25
	batchSuspectPoll               = timer.Second
)

func suspectPoll(c requester.Class) timer.Millis {
	if c == requester.Batch {
		return batchSuspectPoll
	}
	return onlineSuspectPoll
}

// Isolator keeps suspects from running together: of the calls that were in flight
// when a server crashed, a server runs one at a time, so that a second crash
// identifies the call that caused it. Fallback calls are not isolated, and their
// answers are not recorded. The value of Options.Suspects may implement it.
type Isolator interface {
	// TryStart reports whether a call may run on server now. A suspect may run only if
	// no other suspect runs there. After true, End must be called.
	TryStart(server string, fingerprint uint64) bool
	// End records that a call for which TryStart returned true has ended.
	End(server string, fingerprint uint64)
	// RecordAnswer records that a call was answered.
	RecordAnswer(fingerprint uint64)
}

// isolateSuspect returns a function to be called when the call has ended on its
// server, or the outcome of a call that may not run here now.
func (d *Dispatcher) isolateSuspect(r *runRequest) (func(), requester.Outcome) {
	s, ok := d.options.Suspects.(Isolator)
	f := r.Request.Fingerprint
	if !ok || f == 0 {
		return func() {}, nil
	}
	if s.TryStart(r.Server, f) {
		return func() { s.End(r.Server, f) }, nil
	}
	if o, refused := d.refuseSuspect(&r.Request); refused {
		return nil, o
	}
	return nil, requester.NotRun{
		Code:       CodeSuspectWaiting,
		Reason:     "the backend server runs another call that may have crashed one",
		RetryAfter: minRetryAfter,
	}
}

// recordAnswered reports a completely answered call to the Isolator, which clears it.
func (d *Dispatcher) recordAnswered(fingerprint uint64, result exchanger.Result) {
	s, ok := d.options.Suspects.(Isolator)
	if _, whole := result.(exchanger.Complete); ok && whole && fingerprint != 0 {
		s.RecordAnswer(fingerprint)
	}
}
