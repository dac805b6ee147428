package dispatcher

import (
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/resumer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// assemblingSink passes an answer on as it arrives. For a batch call that is made as
// a stream, it assembles the complete answer first.
type assemblingSink struct {
	sink exchanger.Sink
	// assembler is nil if the answer is passed on as it arrives.
	assembler *resumer.Assembler
	// resumedTokens is the number of tokens after which the stream resumes.
	resumedTokens int64
	headers       []requester.Header
	// passThrough is set if the server did not answer with a successful stream.
	passThrough bool
}

// prepareAnswer returns the sink for the answer of a call and the request to send. A
// batch call whose answer can be resumed after an eviction is sent as a stream.
func (d *Dispatcher) prepareAnswer(r *runRequest, s exchanger.Sink) (*assemblingSink, *runRequest) {
	a := &assemblingSink{sink: s}
	if r.Request.Class != requester.Batch {
		return a, r
	}
	body, ok := resumer.StreamBody(r.Request)
	if !ok {
		return a, r
	}
	x, err := resumer.NewAssembler(r.Request.Resume)
	if err != nil {
		d.options.Logger.Warn("resume state is invalid; the call starts over", zap.String("request", r.Request.ID), zap.Error(err))
		x, _ = resumer.NewAssembler(nil)
	}
	a.assembler, a.resumedTokens = x, x.Tokens()
	streamed := *r
	streamed.Request.Body, streamed.Request.Stream, streamed.ResumeFrom = body, true, a.resumedTokens
	return a, &streamed
}

// Head implements exchanger.Sink.
func (a *assemblingSink) Head(status int, headers []requester.Header) error {
	if a.assembler == nil || status != fasthttp.StatusOK {
		a.passThrough = true
		return a.sink.Head(status, headers)
	}
	a.headers = headers
	return nil
}

// Body implements exchanger.Sink.
func (a *assemblingSink) Body(piece []byte, tokens int64) error {
	if a.assembler == nil || a.passThrough {
		return a.sink.Body(piece, tokens)
	}
	return a.assembler.Write(piece, tokens)
}

// tokens returns the number of tokens that are retained if the call is evicted.
func (a *assemblingSink) tokens() int64 {
	if a.assembler == nil {
		return 0
	}
	return a.assembler.Tokens()
}

// cannotResume reports whether the server is unable to resume the stream where it
// stopped.
func (a *assemblingSink) cannotResume(result exchanger.Result) bool {
	b, broken := result.(exchanger.Broken)
	return broken && b.Code == exchanger.CodeMalformed && a.resumedTokens > 0 && a.tokens() == a.resumedTokens
}

// resumeState returns the state from which the next attempt resumes, nil if it starts
// over.
func (a *assemblingSink) resumeState(result exchanger.Result) []byte {
	if a.assembler == nil || a.cannotResume(result) {
		return nil
	}
	return a.assembler.State()
}

// complete passes the assembled answer on if the stream was complete, and returns the
// result of the call.
func (a *assemblingSink) complete(result exchanger.Result) exchanger.Result {
	w, whole := result.(exchanger.Complete)
	if !whole || a.assembler == nil || a.passThrough {
		return result
	}
	answer, err := a.assembler.Answer()
	if err != nil {
		return exchanger.Broken{Code: exchanger.CodeMalformed, Err: err}
	}
	if err := a.sink.Head(w.Status, wholeHeaders(a.headers)); err != nil {
		return exchanger.Stopped{Err: err, Sent: true}
	}
	if err := a.sink.Body(answer, 0); err != nil {
		return exchanger.Stopped{Err: err, Sent: true}
	}
	return result
}

// wholeHeaders converts the headers of a stream to those of its assembled answer.
func wholeHeaders(headers []requester.Header) []requester.Header {
	out := make([]requester.Header, 0, len(headers))
	for _, h := range headers {
		if h.Name == "Content-Type" {
			h.Value = "application/json"
		}
		if h.Name != exchanger.HeaderResumedFrom {
			out = append(out, h)
		}
	}
	return out
}
