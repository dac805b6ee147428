package server

import (
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/valyala/fasthttp"
)

// checkRate reports whether the limiter admits the call. Calls without a
// workspace have no limit. If it returns false, the error response has been
// written.
func (s *Server) checkRate(ctx *fasthttp.RequestCtx, call *guardian.Call) bool {
	if call.Identity.Workspace == "" {
		return true
	}
	switch d := s.options.Limiter.Admit(call.Context, call.Identity.Workspace).(type) {
	case Admitted:
		return true
	case Refused:
		e := answerer.Unavailable(answerer.CodeRateExceeded, max(d.RetryAfter, 1), "the workspace is above its rate")
		e.Status, e.Kind = fasthttp.StatusTooManyRequests, answerer.TypeRateLimit
		answerer.Fail(ctx, e)
	case Unknown:
		answerer.Fail(ctx, answerer.Unavailable(answerer.CodeLimitUnknown, max(d.RetryAfter, 1), "the workspace's rate can't be checked now: %s", d.Reason))
	}
	return false
}
