package receiver

import (
	"errors"
	"os"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/valyala/fasthttp"
)

// ReadError names what is wrong with a request that could not be read. The
// library's own text is not shown: it may quote headers.
func (r *Receiver) ReadError(err error) answerer.Error {
	var small *fasthttp.ErrSmallBuffer
	var n interface{ Timeout() bool }
	switch {
	case errors.As(err, &small):
		e := answerer.Invalid(answerer.CodeHeadersTooLarge, "", "the request line and headers are longer than %d bytes", r.options.MaxHeader)
		e.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		return e
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errBodyTooLarge(int64(r.options.MaxBody))
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return errSlow()
	}
	return answerer.Invalid(answerer.CodeMalformed, "", "the request is not well-formed HTTP, or ended before its end")
}

func errSlow() answerer.Error {
	e := answerer.Invalid(answerer.CodeRequestTimeout, "", "the request did not arrive whole in time")
	e.Status = fasthttp.StatusRequestTimeout
	return e
}

func errBodyTooLarge(limit int64) answerer.Error {
	e := answerer.Invalid(answerer.CodeBodyTooLarge, "", "the body is longer than %d bytes", limit)
	e.Status = fasthttp.StatusRequestEntityTooLarge
	return e
}
