package receiver

import (
	"errors"
	"os"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// ReadError returns the error to respond with to a request that could not be
// read because of err. It leaves out the text of err, since this may quote
// headers.
func (r *Receiver) ReadError(err error) answerer.Error {
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	var interrupted *interruptedError
	var noMemory *holder.TooLongError
	switch {
	case errors.As(err, &interrupted), errors.As(err, &noMemory):
		return answerer.Unavailable(answerer.CodeOverBudget, retryOverBudget, "this host has no memory or connection for the request now")
	case errors.As(err, &tooSmall):
		e := answerer.Invalid(answerer.CodeHeadersTooLarge, "", "the request line and headers are longer than %d bytes", r.options.MaxHeader)
		e.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		return e
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errBodyTooLarge(int64(r.options.MaxBody))
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return errRequestTimeout()
	}
	return answerer.Invalid(answerer.CodeMalformed, "", "the request is not well-formed HTTP, or ended before its end")
}

// retryOverBudget is the retry-after of a request for which the budget had no room.
const retryOverBudget timer.Millis = 250

func errRequestTimeout() answerer.Error {
	e := answerer.Invalid(answerer.CodeRequestTimeout, "", "the request did not arrive whole in time")
	e.Status = fasthttp.StatusRequestTimeout
	return e
}

func errBodyTooLarge(limit int64) answerer.Error {
	e := answerer.Invalid(answerer.CodeBodyTooLarge, "", "the body is longer than %d bytes", limit)
	e.Status = fasthttp.StatusRequestEntityTooLarge
	return e
}
