package gatekeeper

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// retryUnsure is when a caller may return to a host that does not know.
	retryUnsure timer.Millis = 250
	// retryUnpermitted is the same for a host without permission.
	retryUnpermitted timer.Millis = 150
	// defaultTimeout is for routes and callers that state none.
	defaultTimeout = 30 * timer.Second
)

// visit is one request of a caller.
type visit struct {
	gatekeeper *Gatekeeper
	writer     http.ResponseWriter
	request    *http.Request
	snapshot   cataloger.Snapshot
	began      timer.Millis
	id         string
	workspace  *cataloger.Workspace
	// route is nil for calls about existing jobs; job is nil for all others.
	route *cataloger.Route
	job   speller.JobCall
}

// refusal is an answer of this host's own.
type refusal struct {
	status int
	reason string
	retry  timer.Millis
}

func (v *visit) serve() {
	if f := v.admit(); f != nil {
		v.refuse(f)
		return
	}
	body, f := v.body()
	if f != nil {
		v.refuse(f)
		return
	}
	switch {
	case v.job != nil:
		v.serveJob()
	case v.route.Kind == cataloger.Batch:
		v.submit(body)
	default:
		v.relay(body)
	}
}

// admit checks route, key and permission.
func (v *visit) admit() *refusal {
	c := v.snapshot.Config
	if c == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration yet", retryUnsure}
	}
	if f := v.address(c); f != nil {
		return f
	}
	if c.Open() || (v.route != nil && v.route.Public) {
		return nil
	}
	w, ok := c.Holder(v.request.Header.Get(v.gatekeeper.options.Names.Key))
	if !ok {
		return v.unknown(http.StatusUnauthorized, "no workspace has this key")
	}
	v.workspace = w
	if v.gatekeeper.age(v.snapshot) > v.gatekeeper.options.Permission {
		return &refusal{http.StatusServiceUnavailable, "configuration not confirmed lately", retryUnpermitted}
	}
	return nil
}

// address finds out which route or job the request is for.
func (v *visit) address(c *cataloger.Config) *refusal {
	host, to := hostOf(v.request.Host), v.request.URL
	if call, ok := v.gatekeeper.options.Names.Job(v.request.Method, to.Path, to.RawQuery); ok {
		v.job = call
		if !c.HasHost(host) {
			return v.unknown(http.StatusNotFound, "no route has this host")
		}
		return nil
	}
	var ok bool
	if v.route, ok = c.Match(host, to.Path); !ok {
		return v.unknown(http.StatusNotFound, "no route matches")
	}
	return nil
}

// unknown refuses a request that the configuration does not allow; a host that
// may not have the newest one does not say so.
func (v *visit) unknown(status int, reason string) *refusal {
	if v.gatekeeper.age(v.snapshot) > v.gatekeeper.options.Fresh {
		return &refusal{http.StatusServiceUnavailable, reason + ", but the configuration may be old", retryUnsure}
	}
	return &refusal{status: status, reason: reason}
}

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// ended counts the request in the metrics.
func (v *visit) ended(outcome string) {
	v.gatekeeper.options.Measurer.Request(outcome, v.gatekeeper.options.Clock.Now()-v.began)
}

func (v *visit) refuse(f *refusal) {
	v.ended(strconv.Itoa(f.status))
	v.log("refused", zap.Int("status", f.status), zap.String("reason", f.reason), zap.Int64("retry-after-ms", int64(f.retry)))
	if f.retry > 0 {
		v.writer.Header().Set("Retry-After", strconv.FormatFloat(float64(f.retry)/float64(timer.Second), 'f', 3, 64))
	}
	v.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	v.writer.WriteHeader(f.status)
	_, _ = io.WriteString(v.writer, f.reason+"\n")
}

// log writes a line about this request, with what decided it and how old it was.
func (v *visit) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", v.id), zap.Int64("confirmed-ms-ago", int64(v.gatekeeper.age(v.snapshot))))
	if v.workspace != nil {
		fields = append(fields, zap.String("workspace", v.workspace.Name))
	}
	if v.route != nil {
		fields = append(fields, zap.String("route", v.route.Name))
	}
	if v.snapshot.Config != nil {
		fields = append(fields, zap.Int64("version", v.snapshot.Config.Version))
	}
	v.gatekeeper.options.Logger.Info(message, fields...)
}

// relay takes the request from the workspace's quota and runs it.
func (v *visit) relay(body []byte) {
	o := v.gatekeeper.options
	if v.workspace != nil {
		limit := LimitOf(v.workspace)
		if d := o.Rationer.Admit(v.workspace.Name, limit); !d.Admitted {
			v.log("over quota", zap.Float64("left", d.Level), zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
				zap.Int("silent-hosts", d.Silent), zap.Int("hosts", d.Hosts))
			v.refuse(&refusal{http.StatusTooManyRequests, "over the workspace's quota", d.RetryAfter})
			return
		}
	}
	outcome := o.Relay.Run(v.request.Context(), v.call(body), &sink{writer: v.writer, controller: http.NewResponseController(v.writer)})
	v.conclude(outcome)
}

func (v *visit) call(body []byte) relayer.Call {
	names := v.gatekeeper.options.Names
	h := v.request.Header.Clone()
	relayer.RemoveHopHeaders(h)
	prompt := promptOf(h.Get(names.Prompt))
	h.Del(names.Key)
	c := relayer.Call{
		ID: v.id, Method: v.request.Method, Target: v.request.RequestURI, Host: v.request.Host, Header: h, Body: body,
		Route: v.route, Service: v.route.Pick(rand.Float64()), Deadline: v.deadline(), Prompt: prompt,
	}
	c.Patience = c.Deadline - v.began
	c.Workspace = v.workspaceName()
	c.Fingerprint = suspector.Fingerprint(c.Workspace, c.Host+c.Target, body)
	return c
}

// deadline is when the caller stops waiting or the route's time is over.
func (v *visit) deadline() timer.Millis {
	wait := defaultTimeout
	if v.route.Timeout > 0 {
		wait = v.route.Timeout
	}
	if ms, err := strconv.ParseInt(v.request.Header.Get(v.gatekeeper.options.Names.Deadline), 10, 64); err == nil && ms > 0 {
		wait = min(wait, timer.Millis(ms))
	}
	return v.began + wait
}

// promptOf returns the parts of a prompt that calls share: all but the last.
func promptOf(parts string) string {
	for i := len(parts) - 1; i >= 0; i-- {
		if parts[i] == ',' {
			return parts[:i]
		}
	}
	return ""
}

// conclude answers what the relay left unanswered, and logs the outcome.
func (v *visit) conclude(outcome relayer.Outcome) {
	took := zap.Int64("took-ms", int64(v.gatekeeper.options.Clock.Now()-v.began))
	switch o := outcome.(type) {
	case relayer.Delivered:
		v.ended("delivered")
		v.log("delivered", took, zap.Int("status", o.Status), zap.String("server", o.Server), zap.Int("servers", o.Servers))
	case relayer.NotRun:
		if v.workspace != nil {
			v.gatekeeper.options.Rationer.Refund(v.workspace.Name)
		}
		v.refuse(&refusal{http.StatusServiceUnavailable, o.Reason, o.RetryAfter})
	case relayer.Unknown:
		status := http.StatusBadGateway
		if o.Late {
			status = http.StatusGatewayTimeout
		}
		v.refuse(&refusal{status: status, reason: o.Reason})
	case relayer.BrokenOff:
		v.ended("broken-off")
		v.log("broken off", took, zap.String("reason", o.Reason))
		panic(http.ErrAbortHandler)
	case relayer.Left:
		v.ended("left")
		v.log("caller left", took)
		panic(http.ErrAbortHandler)
	}
}

// sink passes an answer to the caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	stream     bool
}

// Head implements relayer.Sink.
func (s *sink) Head(status int, h http.Header, length int64) error {
	to := s.writer.Header()
	for name, values := range h {
		to[name] = values
	}
	s.stream = length < 0
	if !s.stream {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.writer.WriteHeader(status)
	if s.stream {
		return s.controller.Flush()
	}
	return nil
}

// Write implements relayer.Sink.
func (s *sink) Write(p []byte) error {
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	if s.stream {
		return s.controller.Flush()
	}
	return nil
}
