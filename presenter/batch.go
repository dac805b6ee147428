package presenter

import (
	"errors"
	"time"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// batchEntry is a job in the JSON form of the OpenAI API. Times are in Unix
// seconds.
type batchEntry struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	FailedAt         int64             `json:"failed_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Errors           *batchErrors      `json:"errors,omitempty"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int64 `json:"total"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
}

type batchErrors struct {
	Object string                 `json:"object"`
	Data   []answerer.ErrorFields `json:"data"`
}

func newBatchEntry(j submitter.Job) batchEntry {
	e := batchEntry{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.InputFileID,
		CompletionWindow: completionWindow(j), Status: batchStatus(j.State),
		OutputFileID: j.OutputFileID, ErrorFileID: j.ErrorFileID,
		CreatedAt: unixSeconds(j.Created), InProgressAt: unixSeconds(j.Started), ExpiresAt: unixSeconds(j.Deadline),
		CancellingAt:  unixSeconds(j.CancelRequested),
		RequestCounts: requestCounts{Total: j.Counts.Total, Completed: j.Counts.Done, Failed: j.Counts.Failed},
		Metadata:      j.Metadata,
	}
	switch j.State {
	case submitter.StateCompleted:
		e.CompletedAt = unixSeconds(j.Ended)
	case submitter.StateCancelled:
		e.CancelledAt = unixSeconds(j.Ended)
	case submitter.StateFailed:
		e.FailedAt = unixSeconds(j.Ended)
		e.Errors = &batchErrors{Object: "list", Data: []answerer.ErrorFields{{Code: "job-failed", Message: j.Reason, Type: answerer.TypeServer}}}
	}
	return e
}

// batchStatus returns the API's name of a job's state.
func batchStatus(s submitter.State) string {
	switch s {
	case submitter.StateWaiting, submitter.StateRunning:
		return "in_progress"
	case submitter.StateCancelling, submitter.StateCancelled, submitter.StateCompleted, submitter.StateFailed:
		return string(s)
	}
	return "validating"
}

// completionWindow returns the time from a job's creation to its deadline as a
// duration such as 24h0m0s.
func completionWindow(j submitter.Job) string {
	if j.Deadline == 0 {
		return defaultWindow
	}
	return (j.Deadline - j.Created).Duration().Round(time.Second).String()
}

// defaultWindow is the completion window of a job that sets none, and the only
// one of the OpenAI API. maxWindow is the longest that a caller may set.
const (
	defaultWindow = "24h"
	maxWindow     = 30 * 24 * time.Hour
)

// createBatchBody is the body of a request that creates a job.
type createBatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// Batches handles all requests under /v1/batches.
func (p *Presenter) Batches(ctx *fasthttp.RequestCtx) {
	a, ok := p.admit(ctx, p.options.CallTimeout)
	if !ok {
		return
	}
	defer p.options.Guardian.End(a.Call)
	call, workspace := a.Call, a.Call.Identity.Workspace
	id, verb := receiver.PathParts(ctx, PathBatches)
	switch {
	case id == "" && ctx.IsPost():
		p.createBatch(ctx, a)
	case id == "" && ctx.IsGet():
		p.listBatches(ctx, call)
	case id != "" && verb == "" && ctx.IsGet():
		j, err := p.options.Batches.Status(call.Context, workspace, id)
		p.respond(ctx, err, func() any { return newBatchEntry(j) })
	case id != "" && verb == "cancel" && ctx.IsPost():
		j, err := p.options.Batches.Cancel(call.Context, workspace, id)
		p.respond(ctx, err, func() any { return newBatchEntry(j) })
	default:
		answerer.FailPath(ctx)
	}
}

func (p *Presenter) createBatch(ctx *fasthttp.RequestCtx, a receiver.Admission) {
	body, ok := p.options.Receiver.Body(ctx, a.Key, p.options.MaxBody)
	if !ok {
		return
	}
	var c createBatchBody
	if e, ok := receiver.DecodeJSON(body, &c); !ok {
		answerer.Fail(ctx, e)
		return
	}
	window, e, ok := c.validate()
	if !ok {
		answerer.Fail(ctx, e)
		return
	}
	j, err := p.options.Batches.SubmitFromFile(a.Call.Context, submitter.FileSubmitRequest{
		Workspace:      a.Call.Identity.Workspace,
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Endpoint:       c.Endpoint,
		FileID:         c.InputFileID,
		Deadline:       timer.Wall() + window,
		Metadata:       c.Metadata,
	})
	if err == nil {
		p.options.Logger.Info("job accepted", zap.String("job", j.ID), zap.String("workspace", j.Workspace))
	}
	p.respond(ctx, err, func() any { return newBatchEntry(j) })
}

// validate returns the completion window or, with false, an error for the first
// invalid field.
func (c createBatchBody) validate() (timer.Millis, answerer.Error, bool) {
	switch {
	case c.InputFileID == "":
		return 0, answerer.Invalid(answerer.CodeMissingField, "input_file_id", "field \"input_file_id\" is missing"), false
	case c.Endpoint == "":
		return 0, answerer.Invalid(answerer.CodeMissingField, "endpoint", "field \"endpoint\" is missing"), false
	case c.Endpoint != requester.PathChat && c.Endpoint != requester.PathCompletions && c.Endpoint != requester.PathEmbeddings:
		return 0, answerer.Invalid(answerer.CodeInvalidField, "endpoint", "endpoint must be %s, %s or %s", requester.PathChat, requester.PathCompletions, requester.PathEmbeddings), false
	}
	if c.CompletionWindow == "" {
		c.CompletionWindow = defaultWindow
	}
	d, err := time.ParseDuration(c.CompletionWindow)
	if err != nil || d <= 0 || d > maxWindow {
		return 0, answerer.Invalid(answerer.CodeInvalidField, "completion_window", "completion_window must be a duration such as 24h, at most %s", maxWindow), false
	}
	return timer.FromDuration(d), answerer.Error{}, true
}

func (p *Presenter) listBatches(ctx *fasthttp.RequestCtx, call *guardian.Call) {
	page, ok := readPage(ctx)
	if !ok {
		return
	}
	l, err := p.options.Batches.List(call.Context, call.Identity.Workspace, page)
	p.respond(ctx, err, func() any {
		entries := make([]batchEntry, len(l.Jobs))
		for i, j := range l.Jobs {
			entries[i] = newBatchEntry(j)
		}
		return newList(entries, l.More, func(b batchEntry) string { return b.ID })
	})
}

// respond responds with err or, if it is nil, with the result of value.
func (p *Presenter) respond(ctx *fasthttp.RequestCtx, err error, value func() any) {
	if err != nil {
		e := batchError(err)
		if e.Code == answerer.CodeInternal {
			p.options.Logger.Error("batch call failed", zap.Error(err))
		}
		answerer.Fail(ctx, e)
		return
	}
	answerer.JSON(ctx, fasthttp.StatusOK, value())
}

// batchError returns the response to an error of submitter.API. An error of
// unknown type is an internal error.
func batchError(err error) answerer.Error {
	var badLine *submitter.BadLineError
	var conflict *submitter.ConflictError
	var notAccepted *submitter.NotAcceptedError
	var notFound *submitter.NotFoundError
	var unavailable *submitter.UnavailableError
	switch {
	case errors.As(err, &badLine):
		return answerer.Invalid(answerer.CodeInvalidLine, badLine.Field, "%s", badLine.Error())
	case errors.As(err, &conflict):
		e := answerer.Invalid(answerer.CodeIdempotency, "", "%s", conflict.Error())
		e.Status, e.NoRetry = fasthttp.StatusConflict, true
		return e
	case errors.As(err, &notAccepted):
		e := answerer.Unavailable(notAccepted.Code, timer.Second, "not accepted, or not known to be; send it again with the same Idempotency-Key")
		// The job may nevertheless have been accepted.
		e.NotRun = false
		return e
	case errors.As(err, &notFound):
		e := answerer.Invalid(answerer.CodeNotFound, "", "%s", notFound.Error())
		e.Status = fasthttp.StatusNotFound
		return e
	case errors.As(err, &unavailable):
		e := answerer.Unavailable(unavailable.Code, timer.Second, "%s can't be read or changed now", unavailable.ID)
		e.NotRun = false
		return e
	}
	return answerer.Internal()
}
