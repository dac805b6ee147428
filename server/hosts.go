package server

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// hostsResponse is the JSON body of the response to /v1/hosts.
type hostsResponse struct {
	Hosts []hostEntry `json:"hosts"`
	// MaxAge is how long callers may cache the response.
	MaxAge timer.Millis `json:"keep-ms"`
}

type hostEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Weight is the host's share of calls, relative to the other hosts'
	// weights.
	Weight int `json:"weight"`
}

// Weights of hosts by their distance from the host that responds. The caller
// has chosen that host, so it is likely to be near the caller.
const (
	weightSameDataCentre = 8
	weightSameRegion     = 2
	weightOther          = 1
)

// handleHosts lists the hosts that callers should use, with their weights. It
// requires no key: callers of public routes have none, and a caller that can
// send this request already has the address of one host.
func (s *Server) handleHosts(ctx *fasthttp.RequestCtx) {
	view := s.options.Viewer.View()
	a := hostsResponse{Hosts: []hostEntry{}, MaxAge: s.options.HostsMaxAge}
	for _, m := range view.Record.Members {
		if m.CallerAddress == "" || s.isMemberDraining(m, view) {
			continue
		}
		a.Hosts = append(a.Hosts, hostEntry{Address: m.CallerAddress, DataCentre: m.DataCentre, Weight: weight(m, view.Self)})
	}
	slices.SortStableFunc(a.Hosts, func(x, y hostEntry) int { return y.Weight - x.Weight })
	seconds := int64(s.options.HostsMaxAge / timer.Second)
	ctx.Response.Header.Set("Cache-Control", fmt.Sprintf("max-age=%d", seconds))
	answerer.JSON(ctx, fasthttp.StatusOK, a)
}

func (s *Server) isMemberDraining(m registrar.Member, view coordinator.Snapshot) bool {
	if m.Name == view.Self.Name {
		return s.isDraining()
	}
	return view.MemberDraining(m.Name)
}

func weight(m, self registrar.Member) int {
	switch {
	case m.DataCentre == self.DataCentre:
		return weightSameDataCentre
	case m.Region == self.Region:
		return weightSameRegion
	}
	return weightOther
}

// handleHealth reports that the process is serving requests.
func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain")
	ctx.SetBodyString("ok\n")
}

// handleReady reports whether callers may be sent to this host. It fails while
// the host is draining or refuses calls.
func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if s.isDraining() {
		e, _ := guardian.ErrorForCause(guardian.ErrHostLeaving, true)
		answerer.Fail(ctx, e)
		return
	}
	if e, refused := s.receiver.Refusal(); refused {
		answerer.Fail(ctx, e)
		return
	}
	s.handleHealth(ctx)
}

func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	if s.options.Metrics == nil {
		answerer.FailNotServed(ctx)
		return
	}
	s.options.Metrics(ctx)
}

// modelEntry is a model in the JSON form of the OpenAI API.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels lists all models or, if the path has a name, returns that model.
func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	a, ok := s.receiver.Admit(ctx, false, s.options.CallTimeout)
	if !ok {
		return
	}
	defer s.guardian.End(a.Call)
	models := listModels(s.options.Viewer.View().Record)
	name := strings.TrimPrefix(strings.TrimPrefix(string(ctx.Path()), pathModels), "/")
	if name == "" {
		answerer.JSON(ctx, fasthttp.StatusOK, modelList{Object: "list", Data: models})
		return
	}
	for _, m := range models {
		if m.ID == name {
			answerer.JSON(ctx, fasthttp.StatusOK, m)
			return
		}
	}
	e := answerer.Invalid("unknown-model", "model", "no backend server has this model")
	e.Status = fasthttp.StatusNotFound
	answerer.Fail(ctx, e)
}

// listModels returns the models of all backend servers in r, each once and
// sorted by name.
func listModels(r registrar.Record) []modelEntry {
	seen := map[string]bool{}
	out := []modelEntry{}
	for _, b := range r.Servers {
		for _, m := range b.Models {
			if !seen[m] {
				seen[m] = true
				out = append(out, modelEntry{ID: m, Object: "model", OwnedBy: "jackdawgate"})
			}
		}
	}
	slices.SortFunc(out, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}
