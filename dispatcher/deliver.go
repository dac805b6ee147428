package dispatcher

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// errServerError stops an attempt whose server answered with an error status that
// another server may not return.
var errServerError = errors.New("the backend server answered with a server error")

// delivery passes the answer of one call, which may be composed of several attempts,
// to the Sink of the caller. Its methods are called by one goroutine.
type delivery struct {
	sink           requester.Sink
	stream         bool
	bufferLimit    int
	withholdErrors bool

	// status, headers and buffered were received in this attempt and not yet passed
	// to the caller.
	status   int
	headers  []requester.Header
	buffered []byte
	// headSent reports whether the caller has received the head, streamBegun whether it
	// was that of a successful stream.
	headSent, streamBegun bool
	// deliveredTokens is the number of tokens passed to the caller.
	deliveredTokens int64
	// sinkErr is the error of the Sink.
	sinkErr error
	// withheldStatus is the status of a server error that was not passed on, zero for
	// none.
	withheldStatus int
}

// beginAttempt discards what an earlier attempt buffered. If withholdErrors is set,
// server errors are not passed to the caller, since the call can be retried.
func (v *delivery) beginAttempt(withholdErrors bool) {
	v.status, v.headers, v.buffered = 0, nil, v.buffered[:0]
	v.withholdErrors, v.withheldStatus = withholdErrors, 0
}

// Head implements exchanger.Sink.
func (v *delivery) Head(status int, headers []requester.Header) error {
	if status >= fasthttp.StatusInternalServerError && v.withholdErrors {
		v.withheldStatus = status
		return errServerError
	}
	if v.headSent && status != fasthttp.StatusOK {
		v.withheldStatus = status
		return errServerError
	}
	v.status, v.headers = status, headers
	return nil
}

// Body implements exchanger.Sink.
func (v *delivery) Body(piece []byte, tokens int64) error {
	if v.streaming() || len(v.buffered)+len(piece) > v.bufferLimit {
		if err := v.flush(); err != nil {
			return err
		}
		v.deliveredTokens += tokens
		return v.recordSinkErr(v.sink.Body(piece))
	}
	v.buffered = append(v.buffered, piece...)
	return nil
}

// streaming reports whether the pieces are whole events of a successful stream.
func (v *delivery) streaming() bool { return v.stream && v.status == fasthttp.StatusOK }

// flush passes on what is buffered.
func (v *delivery) flush() error {
	if !v.headSent {
		v.headSent, v.streamBegun = true, v.streaming()
		if err := v.recordSinkErr(v.sink.Head(v.status, v.headers)); err != nil {
			return err
		}
	}
	if len(v.buffered) == 0 {
		return nil
	}
	err := v.recordSinkErr(v.sink.Body(v.buffered))
	v.buffered = v.buffered[:0]
	return err
}

func (v *delivery) recordSinkErr(err error) error {
	if err != nil {
		v.sinkErr = err
	}
	return err
}

// canRetry reports whether the call may be attempted again: nothing of an answer was
// passed on, or a successful stream was begun, which another server may resume.
func (v *delivery) canRetry() bool { return v.sinkErr == nil && (!v.headSent || v.streamBegun) }
