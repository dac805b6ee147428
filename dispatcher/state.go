package dispatcher

import "github.com/jackdawgate/jackdawgate/requester"

// state is the state of a call: notRun, maybeRun or ended.
type state interface{ state() }

// notRun calls have had no byte sent to any backend server, or were refused by each
// server that received them.
type notRun struct{ last requester.NotRun }

// maybeRun calls have had at least one attempt that may have run and whose answer was
// not passed on completely.
type maybeRun struct{ last requester.MaybeRun }

// ended calls were answered or evicted.
type ended struct{ outcome requester.Outcome }

func (notRun) state()   {}
func (maybeRun) state() {}
func (ended) state()    {}

// nextState returns the state of a call in state s after an attempt ended with o. A
// call in state maybeRun never returns to notRun, whatever a later attempt reports.
func nextState(s state, o requester.Outcome) state {
	if a, ok := s.(ended); ok {
		return a
	}
	switch o := o.(type) {
	case requester.NotRun:
		if p, ok := s.(maybeRun); ok {
			p.last.RetryAfter = max(p.last.RetryAfter, o.RetryAfter)
			return p
		}
		return notRun{last: o}
	case requester.MaybeRun:
		return maybeRun{last: o}
	}
	return ended{outcome: o}
}

// outcomeOf returns the outcome of a call that ends in state s.
func outcomeOf(s state) requester.Outcome {
	switch s := s.(type) {
	case notRun:
		return s.last
	case maybeRun:
		return s.last
	case ended:
		return s.outcome
	}
	return requester.MaybeRun{Code: CodeInternal}
}

// Codes of outcomes. They are returned to callers.
const (
	CodeInternal        = "internal-error"
	CodeNotPermitted    = "host-not-permitted"
	CodeNoServer        = "no-backend-server"
	CodeUnknownModel    = "unknown-model"
	CodeUnknownService  = "unknown-service"
	CodeNotKeeper       = "keeper-changing"
	CodeServerFull      = "backend-servers-full"
	CodeServerLeaving   = "backend-server-leaving"
	CodeServerRefused   = "backend-server-refused"
	CodeServerLimited   = "backend-server-limited"
	CodeServerError     = "backend-server-error"
	CodeUnreachable     = "backend-server-unreachable"
	CodeHostUnreachable = "host-unreachable"
	CodeHostLost        = "host-lost"
	CodeTimeout         = "timeout"
	CodeCancelled       = "cancelled"
	CodeSuspect         = "request-suspected"
	CodeSuspectWaiting  = "request-kept-apart"
)
