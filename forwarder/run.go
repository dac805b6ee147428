package forwarder

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Run runs call with request r and responds with the answer or an error. It
// ends call, for a stream after Run has returned.
func (f *Forwarder) Run(ctx *fasthttp.RequestCtx, call *guardian.Call, r requester.Request) {
	ctx.Response.Header.Set(answerer.HeaderRequestID, r.ID)
	if r.Stream {
		f.runStream(ctx, call, r)
		return
	}
	defer f.options.Guardian.End(call)
	start := time.Now()
	w := &bufferedAnswer{limit: f.options.MaxAnswer}
	outcome := f.callDoer(call.Context, r, w)
	f.recordEnd(r, call, outcome, start)
	if err := f.options.Guardian.Check(call); err != nil {
		call.Cancel(err)
	}
	if e, failed := f.failure(call, r, outcome, w.err); failed {
		answerer.Fail(ctx, e)
		return
	}
	ctx.SetStatusCode(w.status)
	copyHeaders(ctx, w.headers)
	ctx.Response.SetBodyRaw(w.body)
}

// callDoer runs a call. A panic of the Doer ends this call with an internal error, not the
// process, and the call is recorded like any other: a backend server may have run it.
func (f *Forwarder) callDoer(ctx context.Context, r requester.Request, s requester.Sink) (o requester.Outcome) {
	defer func() {
		if p := recover(); p != nil {
			answerer.LogPanic(f.options.Logger, p)
			o = requester.MaybeRun{Code: answerer.CodeInternal, Reason: "internal error"}
		}
	}()
	return f.options.Doer.Do(ctx, r, s)
}

// failure returns the error to respond with and true if the call has no
// complete answer or its caller may no longer receive it. bufferErr is the
// error of buffering the answer, if any.
func (f *Forwarder) failure(call *guardian.Call, r requester.Request, outcome requester.Outcome, bufferErr error) (answerer.Error, bool) {
	_, notRun := outcome.(requester.NotRun)
	if e, ended := guardian.ErrorForCause(context.Cause(call.Context), notRun); ended {
		return e, true
	}
	if bufferErr != nil {
		return answerer.Error{Status: fasthttp.StatusBadGateway, Kind: answerer.TypeServer, Code: answerer.CodeAnswerTooLarge, Message: bufferErr.Error(), NoRetry: true}, true
	}
	if _, ok := outcome.(requester.Answered); ok {
		return answerer.Error{}, false
	}
	return answerer.OutcomeError(r, outcome), true
}

// recordEnd logs the end of a call and passes its outcome to the metrics and
// the Recorder.
func (f *Forwarder) recordEnd(r requester.Request, call *guardian.Call, outcome requester.Outcome, start time.Time) {
	duration := time.Since(start)
	if f.options.Recorder != nil {
		f.options.Recorder.Record(context.WithoutCancel(call.Context), r, outcome)
	}
	name := requester.OutcomeName(outcome)
	code, server := outcomeDetails(outcome)
	f.metrics.recordCall(duration, name)
	f.options.Logger.Info("call ended",
		zap.String("request", r.ID),
		zap.String("workspace", r.Workspace),
		zap.String("model", r.Model),
		zap.String("service", r.Service),
		zap.String("outcome", name),
		zap.String("code", code),
		zap.String("server", server),
		zap.Int64("took-ms", duration.Milliseconds()))
}

// outcomeDetails returns the code of a call that was not answered, or the
// backend server of one that was.
func outcomeDetails(o requester.Outcome) (code, server string) {
	switch o := o.(type) {
	case requester.NotRun:
		return o.Code, ""
	case requester.MaybeRun:
		return o.Code, ""
	case requester.Answered:
		return "", o.Server
	}
	return "", ""
}

// ownHeaders are the lower-case names of headers that only hosts set. They are
// never copied from a backend server's answer, since the server can't determine
// their values.
var ownHeaders = map[string]bool{
	answerer.HeaderNotRun: true, answerer.HeaderRequestID: true, answerer.HeaderShouldRetry: true, "resumed-from": true,
}

// copyHeaders copies a backend server's headers to the response, except
// ownHeaders.
func copyHeaders(ctx *fasthttp.RequestCtx, headers []requester.Header) {
	for _, h := range headers {
		if !ownHeaders[strings.ToLower(h.Name)] {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
}

// errAnswerTooLarge ends a call whose answer is longer than MaxAnswer.
var errAnswerTooLarge = errors.New("the answer is longer than this host passes on")

// bufferedAnswer is a Sink that buffers an answer of at most limit bytes.
type bufferedAnswer struct {
	limit   int
	status  int
	headers []requester.Header
	body    []byte
	err     error
}

// Head implements requester.Sink.
func (w *bufferedAnswer) Head(status int, headers []requester.Header) error {
	w.status, w.headers = status, headers
	return nil
}

// Body implements requester.Sink.
func (w *bufferedAnswer) Body(piece []byte) error {
	if len(w.body)+len(piece) > w.limit {
		w.err = errAnswerTooLarge
		return w.err
	}
	w.body = append(w.body, piece...)
	return nil
}
