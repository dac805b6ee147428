package answerer

import (
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// OutcomeError returns the error for call r, which ended with o and so was not
// answered. An outcome that is neither NotRun nor MaybeRun is an internal error.
func OutcomeError(r requester.Request, o requester.Outcome) Error {
	switch o := o.(type) {
	case requester.NotRun:
		return notRunError(o)
	case requester.MaybeRun:
		return Error{
			Status: maybeRunStatus(o.Code), Kind: TypeServer, Code: o.Code, Message: o.Reason,
			RetryAfter: o.RetryAfter, NoRetry: !r.Repeatable,
		}
	}
	return Internal()
}

func maybeRunStatus(code string) int {
	if code == "timeout" {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

func notRunError(o requester.NotRun) Error {
	e := Unavailable(o.Code, o.RetryAfter, "%s", o.Reason)
	switch o.Code {
	case "unknown-model":
		e.Status, e.Kind, e.Param = fasthttp.StatusNotFound, TypeInvalid, "model"
	case "unknown-service":
		e.NoRetry = true
	case "request-suspected":
		e.Status, e.Kind, e.NoRetry = fasthttp.StatusUnprocessableEntity, TypeInvalid, true
	case "timeout":
		e.Status = fasthttp.StatusGatewayTimeout
	}
	return e
}
