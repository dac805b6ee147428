package server

import (
	"net/url"
	"strings"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// handlePlain runs a call to a plain service, which the configured routes
// select by method and path.
func (s *Server) handlePlain(ctx *fasthttp.RequestCtx, path string) {
	route, ok := findRoute(s.options.Viewer.View().Record, string(ctx.Method()), path)
	if !ok {
		answerer.FailPath(ctx)
		return
	}
	a, ok := s.receiver.Admit(ctx, route.Public, s.options.CallTimeout)
	if !ok {
		return
	}
	body, ok := s.receiver.Body(ctx, a.Key, s.options.MaxBody)
	if !ok || !s.checkRate(ctx, a.Call) {
		s.guardian.End(a.Call)
		return
	}
	s.forwarder.Run(ctx, a.Call, s.newPlainRequest(ctx, a, route, path, body))
}

func (s *Server) newPlainRequest(ctx *fasthttp.RequestCtx, a receiver.Admission, route registrar.Route, path string, body []byte) requester.Request {
	r := s.newRequest(ctx, a, body)
	// The service receives the decoded path by which the route was selected,
	// escaped again. From the raw path, the service could derive a different path
	// than this host.
	u := url.URL{Path: path}
	r.Path = u.EscapedPath()
	r.Query = string(ctx.URI().QueryString())
	r.Service = route.Service
	r.Repeatable = route.Repeatable
	return r
}

// findRoute returns the route of a call. Of the routes that match, it is the
// one with the longest pattern; an exact match is always the longest.
func findRoute(r registrar.Record, method, path string) (registrar.Route, bool) {
	var best registrar.Route
	found := false
	for _, t := range r.Routes {
		if t.Method != method || !routeMatches(t.Path, path) {
			continue
		}
		if !found || len(t.Path) > len(best.Path) {
			best, found = t, true
		}
	}
	return best, found
}

// routeMatches reports whether pattern matches path: exactly, or as a prefix if
// pattern ends with a slash.
func routeMatches(pattern, path string) bool {
	return pattern == path || (strings.HasSuffix(pattern, "/") && strings.HasPrefix(path, pattern))
}
