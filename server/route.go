package server

import (
	"strings"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/manager"
	"github.com/jackdawgate/jackdawgate/presenter"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// Paths of the callers' API, of the health and readiness checks and of the metrics.
const (
	pathModels  = "/v1/models"
	pathHosts   = "/v1/hosts"
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// route passes a request to the handler of its path.
func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case requester.PathChat, requester.PathCompletions, requester.PathEmbeddings:
		receiver.RequireMethod(ctx, fasthttp.MethodPost, s.handleModel)
	case pathHosts:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, s.handleHosts)
	case pathHealth:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, s.handleHealth)
	case pathReady:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, s.handleReady)
	case pathMetrics:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, s.handleMetrics)
	default:
		s.routeByPrefix(ctx, path)
	}
}

// routeByPrefix routes requests whose paths have variable parts.
func (s *Server) routeByPrefix(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case receiver.IsUnder(path, pathModels):
		receiver.RequireMethod(ctx, fasthttp.MethodGet, s.handleModels)
	case receiver.IsUnder(path, presenter.PathFiles):
		s.presenter.Files(ctx)
	case receiver.IsUnder(path, presenter.PathBatches):
		s.presenter.Batches(ctx)
	case strings.HasPrefix(path, manager.Root):
		s.manager.Handle(ctx, path)
	default:
		s.handlePlain(ctx, path)
	}
}

// isUpload reports whether a request uploads a file or the items of a job. Its
// body may then be as long as MaxUpload.
func isUpload(method, uri string) bool {
	path, _, _ := strings.Cut(uri, "?")
	return method == fasthttp.MethodPost && (path == presenter.PathFiles || path == administrator.JobsPath)
}
