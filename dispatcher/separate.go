package dispatcher

import (
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/suspector"
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
// identifies the call that caused it. Fallback calls are isolated from the others of
// their host. The value of Options.Suspects may implement it.
type Isolator interface {
	// TryStart reports whether a call may run on server now. A suspect may run only if
	// no other suspect runs there. After true, End must be called.
	TryStart(server string, c suspector.Call) bool
	// End records that a call for which TryStart returned true has ended.
	End(server string, c suspector.Call)
	// RecordAnswer records that a call was answered.
	RecordAnswer(c suspector.Call)
}

// isolateSuspect returns a function to be called when the call has ended on its
// server, or the outcome of a call that may not run here now.
func (d *Dispatcher) isolateSuspect(r *runRequest) (func(), requester.Outcome) {
	s, ok := d.options.Suspects.(Isolator)
	c := suspectCall(&r.Request)
	if !ok || c.Fingerprint == 0 {
		return func() {}, nil
	}
	if s.TryStart(r.Server, c) {
		return func() { s.End(r.Server, c) }, nil
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
func (d *Dispatcher) recordAnswered(r *requester.Request, result exchanger.Result) {
	s, ok := d.options.Suspects.(Isolator)
	if _, whole := result.(exchanger.Complete); ok && whole && r.Fingerprint != 0 {
		s.RecordAnswer(suspectCall(r))
	}
}

// suspectCall returns the call as Suspects knows it. The parts of its prompt are the
// prefixes that other prompts may begin with too.
func suspectCall(r *requester.Request) suspector.Call {
	return suspector.Call{Fingerprint: r.Fingerprint, Parts: r.Prefix, Workspace: r.Workspace}
}
