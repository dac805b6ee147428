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

// Run runs a call and answers with its outcome. It ends o.
func (f *Forwarder) Run(ctx *fasthttp.RequestCtx, o *guardian.Call, r requester.Request) {
	ctx.Response.Header.Set(answerer.HeaderRequestID, r.ID)
	if r.Stream {
		f.runStream(ctx, o, r)
		return
	}
	defer f.options.Guardian.End(o)
	began := time.Now()
	w := &wholeAnswer{limit: f.options.MaxAnswer}
	outcome := f.options.Doer.Do(o.Context, r, w)
	f.ended(r, o, outcome, began)
	if err := f.options.Guardian.Check(o); err != nil {
		o.Cancel(err)
	}
	if e, failed := f.failure(o, r, outcome, w.err); failed {
		answerer.Fail(ctx, e)
		return
	}
	ctx.SetStatusCode(w.status)
	passHeaders(ctx, w.headers)
	ctx.Response.SetBodyRaw(w.body)
}

// failure is the error of a call that has no whole answer, or whose caller may
// no longer have it.
func (f *Forwarder) failure(o *guardian.Call, r requester.Request, outcome requester.Outcome, sinkErr error) (answerer.Error, bool) {
	_, notRun := outcome.(requester.NotRun)
	if e, ended := guardian.Explain(context.Cause(o.Context), notRun); ended {
		return e, true
	}
	if sinkErr != nil {
		return answerer.Error{Status: fasthttp.StatusBadGateway, Kind: answerer.TypeServer, Code: answerer.CodeAnswerTooLarge, Message: sinkErr.Error(), NoRetry: true}, true
	}
	if _, ok := outcome.(requester.Answered); ok {
		return answerer.Error{}, false
	}
	return answerer.OutcomeError(r, outcome), true
}

// ended logs, counts and records a call's end.
func (f *Forwarder) ended(r requester.Request, o *guardian.Call, outcome requester.Outcome, began time.Time) {
	took := time.Since(began)
	if f.options.Recorder != nil {
		f.options.Recorder.Record(context.WithoutCancel(o.Context), r, outcome)
	}
	name := requester.OutcomeName(outcome)
	code, server := describe(outcome)
	f.metrics.ended(took, name)
	f.options.Logger.Info("call ended",
		zap.String("request", r.ID),
		zap.String("workspace", r.Workspace),
		zap.String("model", r.Model),
		zap.String("service", r.Service),
		zap.String("outcome", name),
		zap.String("code", code),
		zap.String("server", server),
		zap.Int64("took-ms", took.Milliseconds()))
}

// describe returns the code of a call that was not answered, and the server of
// one that was.
func describe(o requester.Outcome) (code, server string) {
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

// ownHeaders are set by this host and not taken from backend servers: what
// they say is true only if it was said here.
var ownHeaders = map[string]bool{
	answerer.HeaderNotRun: true, answerer.HeaderRequestID: true, answerer.HeaderShouldRetry: true, "resumed-from": true,
}

// passHeaders puts a backend server's headers on the answer.
func passHeaders(ctx *fasthttp.RequestCtx, headers []requester.Header) {
	for _, h := range headers {
		if !ownHeaders[strings.ToLower(h.Name)] {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
}

// errAnswerTooLarge ends a call whose answer does not fit.
var errAnswerTooLarge = errors.New("the answer is longer than this host passes on")

// wholeAnswer is a Sink that keeps the answer until it is whole.
type wholeAnswer struct {
	limit   int
	status  int
	headers []requester.Header
	body    []byte
	err     error
}

// Head implements requester.Sink.
func (w *wholeAnswer) Head(status int, headers []requester.Header) error {
	w.status, w.headers = status, headers
	return nil
}

// Body implements requester.Sink.
func (w *wholeAnswer) Body(piece []byte) error {
	if len(w.body)+len(piece) > w.limit {
		w.err = errAnswerTooLarge
		return w.err
	}
	w.body = append(w.body, piece...)
	return nil
}
