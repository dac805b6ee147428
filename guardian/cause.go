package guardian

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Causes with which open calls are cancelled.
var (
	ErrKeyWithdrawn       = errors.New("the key was withdrawn")
	ErrNotPermitted       = errors.New("the host lost its permission")
	ErrHostLeaving        = errors.New("the host is leaving")
	ErrCallerDisconnected = errors.New("the caller is gone")
)

// ErrorForCause returns the error response for a call that was cancelled with one of
// the causes of this package. ok is false for any other cause. notRun says that no
// backend server ran any part of the call.
func ErrorForCause(cause error, notRun bool) (e answerer.Error, ok bool) {
	switch {
	case errors.Is(cause, ErrKeyWithdrawn):
		e = answerer.Error{Status: 401, Kind: answerer.TypeAuthentication, Code: answerer.CodeKeyWithdrawn, Message: "the key was withdrawn", NoRetry: true}
	case errors.Is(cause, ErrNotPermitted):
		e = answerer.Unavailable(answerer.CodeNotPermitted, timer.Second, "this host can't confirm its configuration; ask another host")
	case errors.Is(cause, ErrHostLeaving):
		e = answerer.Unavailable(answerer.CodeHostLeaving, 1, "this host is leaving; ask another host")
	case errors.Is(cause, ErrCallerDisconnected):
		e = answerer.Error{Status: 499, Kind: answerer.TypeInvalid, Code: answerer.CodeCallerGone, Message: "the caller closed the connection"}
	default:
		return answerer.Error{}, false
	}
	e.NotRun = notRun
	return e, true
}
