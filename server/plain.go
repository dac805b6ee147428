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

// handlePlain answers a call to a plain service, by the configured routes.
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
	if !ok || !s.admitRate(ctx, a.Call) {
		s.guardian.End(a.Call)
		return
	}
	s.forwarder.Run(ctx, a.Call, s.plainRequest(ctx, a, route, path, body))
}

func (s *Server) plainRequest(ctx *fasthttp.RequestCtx, a receiver.Admission, route registrar.Route, path string, body []byte) requester.Request {
	r := s.request(ctx, a, body)
	// The path that the route was found by is the one that is sent: the raw
	// one could mean another to the service.
	u := url.URL{Path: path}
	r.Path = u.EscapedPath()
	r.Query = string(ctx.URI().QueryString())
	r.Service = route.Service
	r.Repeatable = route.Repeatable
	return r
}

// findRoute returns the route of a call: one whose path is the whole path, or
// else the longest that is a prefix.
func findRoute(r registrar.Record, method, path string) (registrar.Route, bool) {
	var best registrar.Route
	found := false
	for _, t := range r.Routes {
		if t.Method != method || !matches(t.Path, path) {
			continue
		}
		if !found || len(t.Path) > len(best.Path) {
			best, found = t, true
		}
	}
	return best, found
}

func matches(pattern, path string) bool {
	return pattern == path || (strings.HasSuffix(pattern, "/") && strings.HasPrefix(path, pattern))
}
