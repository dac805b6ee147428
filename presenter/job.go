package presenter

import (
	"io"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/valyala/fasthttp"
)

// Jobs handles operators' requests for the jobs of a workspace. It must be
// called only after the operators' token has been checked.
func (p *Presenter) Jobs(ctx *fasthttp.RequestCtx) {
	if p.options.Batches == nil {
		answerer.FailNotServed(ctx)
		return
	}
	workspace := string(ctx.QueryArgs().Peek("workspace"))
	if workspace == "" {
		receiver.FailAndClose(ctx, answerer.Invalid(answerer.CodeMissingField, "workspace", "the query needs a workspace"))
		return
	}
	if _, ok := p.options.Viewer.View().Record.Workspaces[workspace]; !ok {
		e := answerer.Invalid("unknown-workspace", "workspace", "the workspace is not known")
		e.Status = fasthttp.StatusNotFound
		receiver.FailAndClose(ctx, e)
		return
	}
	call := p.options.Guardian.BeginOperator(ctx.Conn(), p.options.UploadTimeout)
	id, verb := receiver.PathParts(ctx, administrator.JobsPath)
	if id != "" && verb == "output" && ctx.IsGet() {
		p.jobOutput(ctx, call, workspace, id)
		return
	}
	defer p.options.Guardian.End(call)
	p.routeJobs(ctx, call, workspace, id, verb)
}

// routeJobs handles the requests whose answer is not streamed.
func (p *Presenter) routeJobs(ctx *fasthttp.RequestCtx, call *guardian.Call, workspace, id, verb string) {
	switch {
	case id == "" && ctx.IsPost():
		p.submitJob(ctx, call, workspace)
	case id == "" && ctx.IsGet():
		page, ok := readPage(ctx)
		if !ok {
			return
		}
		l, err := p.options.Batches.List(call.Context, workspace, page)
		p.respond(ctx, err, func() any {
			return newList(append([]submitter.Job{}, l.Jobs...), l.More, func(j submitter.Job) string { return j.ID })
		})
	case id != "" && verb == "" && ctx.IsGet():
		j, err := p.options.Batches.Status(call.Context, workspace, id)
		p.respond(ctx, err, func() any { return j })
	case id != "" && verb == "cancel" && ctx.IsPost():
		j, err := p.options.Batches.Cancel(call.Context, workspace, id)
		p.respond(ctx, err, func() any { return j })
	default:
		answerer.FailPath(ctx)
	}
}

// submitJob submits a job whose items are the request's body.
func (p *Presenter) submitJob(ctx *fasthttp.RequestCtx, call *guardian.Call, workspace string) {
	deadline, ok := receiver.QueryMillis(ctx, "deadline", 0)
	if !ok {
		return
	}
	endpoint := string(ctx.QueryArgs().Peek("endpoint"))
	if endpoint == "" {
		endpoint = requester.PathChat
	}
	body := p.options.Receiver.OperatorUpload(ctx, p.options.MaxUpload)
	j, err := p.options.Batches.Submit(call.Context, submitter.SubmitRequest{
		Workspace:      workspace,
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Endpoint:       endpoint,
		Items:          body,
		Deadline:       deadline,
	})
	if err != nil {
		p.failUpload(ctx, body, err)
		return
	}
	answerer.JSON(ctx, fasthttp.StatusOK, j)
}

// jobOutput streams the results or the errors of a job. It ends call.
func (p *Presenter) jobOutput(ctx *fasthttp.RequestCtx, call *guardian.Call, workspace, id string) {
	kind := submitter.OutputDone
	switch string(ctx.QueryArgs().Peek("kind")) {
	case "", string(submitter.OutputDone):
	case "errors", string(submitter.OutputFailed):
		kind = submitter.OutputFailed
	default:
		defer p.options.Guardian.End(call)
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeInvalidField, "kind", "kind must be output or errors"))
		return
	}
	if _, err := p.options.Batches.Status(call.Context, workspace, id); err != nil {
		defer p.options.Guardian.End(call)
		answerer.Fail(ctx, batchError(err))
		return
	}
	ctx.SetContentType("application/x-ndjson")
	p.options.Guardian.Stream(ctx, call, func(w io.Writer) error {
		return p.options.Batches.Output(call.Context, workspace, id, kind, w)
	})
}
