package gatekeeper

import (
	"net/http"
	"strconv"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// workspaceName returns the name of the request's workspace, or "" without one.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// submit submits the request's body as a batch job.
func (x *exchange) submit(body []byte) {
	x.answerJob("job submitted", x.gatekeeper.options.Jobs.Submit(x.request.Context(), Submission{
		ID: x.id, Workspace: x.workspaceName(), Route: x.route, Host: stripPort(x.request.Host), Body: body,
	}))
}

// serveJob answers a call about an existing job.
func (x *exchange) serveJob() {
	wait := x.request.Header.Get(x.gatekeeper.options.Names.Wait)
	x.answerJob("job called", x.gatekeeper.options.Jobs.Serve(x.request.Context(), x.workspaceName(), x.job, wait))
}

// answerJob passes a on to the caller and logs message if a is not a refusal.
func (x *exchange) answerJob(message string, a JobAnswer) {
	if a.Status/100 != 2 {
		x.refuse(&refusal{status: a.Status, reason: a.Reason, retryAfter: timer.Millis(a.RetryAfterMillis)})
		return
	}
	x.recordOutcome("delivered")
	x.log(message, zap.Int("status", a.Status), zap.String("path", x.request.URL.Path),
		zap.Int64("took-ms", int64(x.gatekeeper.options.Clock.Now()-x.started)))
	if a.ContentType != "" {
		x.writer.Header().Set("Content-Type", a.ContentType)
	}
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.writer.WriteHeader(a.Status)
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write(a.Body)
	}
}
