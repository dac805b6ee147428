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

// batchEntry is a job as the API shows it.
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
		CompletionWindow: window(j), Status: status(j.State),
		OutputFileID: j.OutputFileID, ErrorFileID: j.ErrorFileID,
		CreatedAt: seconds(j.Created), InProgressAt: seconds(j.Started), ExpiresAt: seconds(j.Deadline),
		CancellingAt:  seconds(j.CancelRequested),
		RequestCounts: requestCounts{Total: j.Counts.Total, Completed: j.Counts.Done, Failed: j.Counts.Failed},
		Metadata:      j.Metadata,
	}
	switch j.State {
	case submitter.StateCompleted:
		e.CompletedAt = seconds(j.Ended)
	case submitter.StateCancelled:
		e.CancelledAt = seconds(j.Ended)
	case submitter.StateFailed:
		e.FailedAt = seconds(j.Ended)
		e.Errors = &batchErrors{Object: "list", Data: []answerer.ErrorFields{{Code: "job-failed", Message: j.Reason, Type: answerer.TypeServer}}}
	}
	return e
}

// status names a state as the API does.
func status(s submitter.State) string {
	switch s {
	case submitter.StateWaiting, submitter.StateRunning:
		return "in_progress"
	case submitter.StateCancelling, submitter.StateCancelled, submitter.StateCompleted, submitter.StateFailed:
		return string(s)
	}
	return "validating"
}

func window(j submitter.Job) string {
	if j.Deadline == 0 {
		return defaultWindow
	}
	return (j.Deadline - j.Created).Duration().Round(time.Second).String()
}

// defaultWindow is the completion window of the API; maxWindow bounds others.
const (
	defaultWindow = "24h"
	maxWindow     = 30 * 24 * time.Hour
)

// createBatch is the body that asks for a job.
type createBatch struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// Batches answers everything under /v1/batches.
func (p *Presenter) Batches(ctx *fasthttp.RequestCtx) {
	a, ok := p.admitBatches(ctx, p.options.CallTimeout)
	if !ok {
		return
	}
	defer p.options.Guardian.End(a.Call)
	o, workspace := a.Call, a.Call.Identity.Workspace
	id, verb := receiver.PathParts(ctx, PathBatches)
	switch {
	case id == "" && ctx.IsPost():
		p.createBatch(ctx, a)
	case id == "" && ctx.IsGet():
		p.listBatches(ctx, o)
	case id != "" && verb == "" && ctx.IsGet():
		j, err := p.options.Batches.Status(o.Context, workspace, id)
		p.answerBatch(ctx, err, func() any { return newBatchEntry(j) })
	case id != "" && verb == "cancel" && ctx.IsPost():
		j, err := p.options.Batches.Cancel(o.Context, workspace, id)
		p.answerBatch(ctx, err, func() any { return newBatchEntry(j) })
	default:
		answerer.FailPath(ctx)
	}
}

func (p *Presenter) createBatch(ctx *fasthttp.RequestCtx, a receiver.Admission) {
	body, ok := p.options.Receiver.Body(ctx, a.Key, p.options.MaxBody)
	if !ok {
		return
	}
	var c createBatch
	if e, ok := receiver.DecodeJSON(body, &c); !ok {
		answerer.Fail(ctx, e)
		return
	}
	wait, e, ok := c.check()
	if !ok {
		answerer.Fail(ctx, e)
		return
	}
	j, err := p.options.Batches.SubmitFromFile(a.Call.Context, submitter.FileSubmitRequest{
		Workspace:      a.Call.Identity.Workspace,
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Endpoint:       c.Endpoint,
		FileID:         c.InputFileID,
		Deadline:       timer.Wall() + wait,
		Metadata:       c.Metadata,
	})
	if err == nil {
		p.options.Logger.Info("job accepted", zap.String("job", j.ID), zap.String("workspace", j.Workspace))
	}
	p.answerBatch(ctx, err, func() any { return newBatchEntry(j) })
}

// check returns the completion window, or the first field at fault.
func (c createBatch) check() (timer.Millis, answerer.Error, bool) {
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

func (p *Presenter) listBatches(ctx *fasthttp.RequestCtx, o *guardian.Call) {
	page, ok := readPage(ctx)
	if !ok {
		return
	}
	l, err := p.options.Batches.List(o.Context, o.Identity.Workspace, page)
	p.answerBatch(ctx, err, func() any {
		entries := make([]batchEntry, len(l.Jobs))
		for i, j := range l.Jobs {
			entries[i] = newBatchEntry(j)
		}
		return newList(entries, l.More, func(b batchEntry) string { return b.ID })
	})
}

// answerBatch answers with err, or with what value makes.
func (p *Presenter) answerBatch(ctx *fasthttp.RequestCtx, err error, value func() any) {
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

// batchError names an error of package batcher.
func batchError(err error) answerer.Error {
	var line *submitter.BadLineError
	var conflict *submitter.ConflictError
	var refused *submitter.NotAcceptedError
	var missing *submitter.NotFoundError
	var away *submitter.UnavailableError
	switch {
	case errors.As(err, &line):
		return answerer.Invalid(answerer.CodeInvalidLine, line.Field, "%s", line.Error())
	case errors.As(err, &conflict):
		e := answerer.Invalid(answerer.CodeIdempotency, "", "%s", conflict.Error())
		e.Status, e.NoRetry = fasthttp.StatusConflict, true
		return e
	case errors.As(err, &refused):
		e := answerer.Unavailable(refused.Code, timer.Second, "not accepted, or not known to be; send it again with the same Idempotency-Key")
		// The job may have been accepted all the same.
		e.NotRun = false
		return e
	case errors.As(err, &missing):
		e := answerer.Invalid(answerer.CodeNotFound, "", "%s", missing.Error())
		e.Status = fasthttp.StatusNotFound
		return e
	case errors.As(err, &away):
		e := answerer.Unavailable(away.Code, timer.Second, "%s can't be read or changed now", away.ID)
		e.NotRun = false
		return e
	}
	return answerer.Internal()
}
