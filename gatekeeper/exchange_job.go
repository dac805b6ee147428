package gatekeeper

import (
	"net/http"
	"strconv"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
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

// isJobCall reports whether the request is about a batch job, new or existing. One that matches no
// route can only repeat a submission.
func (x *exchange) isJobCall() bool {
	return x.job != nil || x.route == nil || x.route.Kind == cataloger.Batch
}

// isUnrouted reports whether the request matches no route, and may repeat a submission.
func (x *exchange) isUnrouted() bool { return x.job == nil && x.route == nil }

// mayRepeatSubmission reports whether the request, which matches no route, may repeat the
// submission of a job whose route was removed since.
func (x *exchange) mayRepeatSubmission() bool {
	_, err := authorizer.OwnerOfSubmission(x.caller)
	return err == nil && x.id != "" && x.request.Method == http.MethodPost
}

// authorizeJob determines whose job the request is about. It returns nil if the request may
// proceed. Whether the route is public plays no part: package authorizer says why.
func (x *exchange) authorizeJob() *refusal {
	determine := authorizer.OwnerForCall
	if x.job == nil {
		determine = authorizer.OwnerOfSubmission
	}
	var err error
	if x.owner, err = determine(x.caller); err != nil {
		return x.refuseUnknown(http.StatusUnauthorized, err.Error())
	}
	if k, ok := x.caller.(authorizer.Keyholder); ok {
		return x.admit(k.Workspace)
	}
	return nil
}

// submit submits the request's body as a batch job.
func (x *exchange) submit(body []byte) {
	x.answerJob("job submitted", x.gatekeeper.options.Jobs.Submit(x.request.Context(), Submission{
		ID: x.id, Owner: x.owner, Route: x.route, Host: stripPort(x.request.Host), Body: body,
	}))
}

// serveJob answers a call about an existing job.
func (x *exchange) serveJob() {
	wait := x.request.Header.Get(x.gatekeeper.options.Names.Wait)
	a := x.gatekeeper.options.Jobs.Serve(x.request.Context(), x.owner, x.job, wait)
	if a.NoSuchJob {
		if err := authorizer.IfAbsent(x.caller); err != nil {
			x.refuse(x.refuseUnknown(http.StatusUnauthorized, err.Error()))
			return
		}
	}
	x.answerJob("job called", a)
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
