package gatekeeper

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

const (
	// retrySoon is the retry-after of a host that has no configuration yet, or an old one:
	// within this time it reads it, if the store answers. It is also that of a request whose
	// body stalled, or found no memory.
	retrySoon timer.Millis = 250
	// defaultTimeout applies if neither the route nor the caller states one.
	defaultTimeout = 30 * timer.Second
)

// exchange handles one request of a caller.
type exchange struct {
	gatekeeper *Gatekeeper
	writer     http.ResponseWriter
	request    *http.Request
	snapshot   cataloger.Snapshot
	started    timer.Millis
	id         string
	// memory is what the request's body takes, nil until it is read. bodyRead is set when the
	// body has been read whole.
	memory   *holder.Account
	bodyRead bool
	caller   authorizer.Caller
	// workspace is nil for requests that are admitted without a key.
	workspace *cataloger.Workspace
	// owner is whom the job of the request belongs to; it is set for calls about jobs only.
	owner authorizer.Owner
	// route is nil for calls about existing jobs, and for submissions that no route matches.
	// job is nil for all but calls about existing jobs.
	route *cataloger.Route
	job   namer.JobCall
}

// refusal is an error answer of this host itself.
type refusal struct {
	status     int
	reason     string
	retryAfter timer.Millis
}

// serve answers the request.
func (x *exchange) serve() {
	if refusal := x.authorize(); refusal != nil {
		x.refuse(refusal)
		return
	}
	body, refusal := x.readBody()
	if refusal != nil && refusal.status == http.StatusRequestEntityTooLarge && x.isUnrouted() {
		refusal = x.refuseUnknown(http.StatusNotFound, ReasonNoRoute)
	}
	if refusal == nil && x.gatekeeper.admission.Err() != nil {
		refusal = x.refuseStopping()
	}
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	switch {
	case x.job != nil:
		x.serveJob()
	case x.isJobCall():
		x.submit(body)
	default:
		x.relay(body)
	}
}

// authorize checks route, key and permission. It returns nil if the request may
// proceed.
func (x *exchange) authorize() *refusal {
	c := x.snapshot.Config
	if c == nil {
		return &refusal{http.StatusServiceUnavailable, "no configuration yet", retrySoon}
	}
	x.caller = authorizer.Identify(c, x.request.Header.Get(x.gatekeeper.options.Names.Key))
	if refusal := x.resolve(c); refusal != nil {
		return refusal
	}
	switch {
	case x.isJobCall():
		return x.authorizeJob()
	case c.AllowsAnonymous(), x.route.Public:
		return nil
	}
	k, ok := x.caller.(authorizer.Keyholder)
	if !ok {
		return x.refuseUnknown(http.StatusUnauthorized, authorizer.ErrUnknownKey.Error())
	}
	return x.admit(k.Workspace)
}

// admit admits a request with a key of a workspace, unless the key may have been withdrawn since
// the configuration was confirmed.
func (x *exchange) admit(w *cataloger.Workspace) *refusal {
	x.workspace = w
	if x.gatekeeper.age(x.snapshot) > x.gatekeeper.options.MaxConfigAge {
		return &refusal{http.StatusServiceUnavailable, "configuration not confirmed lately", x.retryUnconfirmed()}
	}
	return nil
}

// retryUnconfirmed returns the retry-after of a request with a key on a host whose
// configuration has not been confirmed for so long that keys may have been withdrawn. If
// other hosts admit requests, its caller may go there at once. If none does, the store is
// away, nobody knows for how long: the caller has the best chance as late as it is willing to
// come.
func (x *exchange) retryUnconfirmed() timer.Millis {
	if x.gatekeeper.options.OthersReady() {
		return relayer.RetryElsewhere
	}
	return max(relayer.RetryElsewhere, postponer.CallerPatience(x.timeLeft()))
}

// resolve finds the route or job that the request addresses. A call about an existing job needs
// no route: the configuration may have removed or moved the job's since it was accepted.
func (x *exchange) resolve(c *cataloger.Config) *refusal {
	url := x.request.URL
	if call, ok := x.gatekeeper.options.Names.ParseJobCall(x.request.Method, url.Path, url.RawQuery); ok {
		x.job = call
		return nil
	}
	var ok bool
	if x.route, ok = c.Match(stripPort(x.request.Host), url.Path); ok {
		return nil
	}
	refusal := x.refuseUnknown(http.StatusNotFound, ReasonNoRoute)
	if refusal.status == http.StatusNotFound && x.mayRepeatSubmission() {
		return nil
	}
	return refusal
}

// refuseStopping refuses a request that came too late in a planned stop. The caller
// has addresses of other hosts.
func (x *exchange) refuseStopping() *refusal {
	x.writer.Header().Set("Connection", "close")
	return &refusal{http.StatusServiceUnavailable, relayer.ReasonStopping, relayer.RetryElsewhere}
}

// refuseUnknown refuses a request that the configuration does not allow. A host
// whose configuration may be stale answers that the caller should retry instead, since
// a newer one may allow the request.
func (x *exchange) refuseUnknown(status int, reason string) *refusal {
	if x.gatekeeper.age(x.snapshot) > x.gatekeeper.options.FreshConfigAge {
		return &refusal{http.StatusServiceUnavailable, reason + ", but the configuration may be old", retrySoon}
	}
	return &refusal{status: status, reason: reason}
}

// stripPort returns host without its port, if it has one.
func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// recordOutcome counts the request and its duration in the metrics.
func (x *exchange) recordOutcome(outcome string) {
	x.gatekeeper.options.Measurer.Request(outcome, x.gatekeeper.options.Clock.Now()-x.started)
}

// refuse answers with the status and reason of a refusal.
func (x *exchange) refuse(refusal *refusal) {
	x.recordOutcome(strconv.Itoa(refusal.status))
	x.log("refused", zap.Int("status", refusal.status), zap.String("reason", refusal.reason), zap.Int64("retry-after-ms", int64(refusal.retryAfter)))
	if refusal.retryAfter > 0 {
		x.writer.Header().Set("Retry-After", strconv.FormatFloat(float64(refusal.retryAfter)/float64(timer.Second), 'f', 3, 64))
	}
	x.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(refusal.reason)+1))
	unread := !x.bodyRead && x.request.ContentLength != 0
	if unread {
		x.endBody()
	}
	x.writer.WriteHeader(refusal.status)
	_, _ = io.WriteString(x.writer, refusal.reason+"\n")
	if unread {
		x.drainBody()
	}
}

// log writes a line about this request, with the configuration that the decision
// is based on and the age of its confirmation.
func (x *exchange) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", x.id), zap.Int64("confirmed-ms-ago", int64(x.gatekeeper.age(x.snapshot))))
	if x.workspace != nil {
		fields = append(fields, zap.String("workspace", x.workspace.Name))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name))
	}
	if x.snapshot.Config != nil {
		fields = append(fields, zap.Int64("version", x.snapshot.Config.Version))
	}
	x.gatekeeper.options.Logger.Info(message, fields...)
}

// relay charges the request to the workspace's quota and runs it at a backend
// server.
func (x *exchange) relay(body []byte) {
	o := x.gatekeeper.options
	// Requests without a workspace have no limit. They are counted for the shares of servers.
	var limit rationer.Limit
	if x.workspace != nil {
		limit = LimitOf(x.workspace)
	}
	if d := o.Rationer.Admit(x.workspaceName(), limit); !d.Admitted {
		x.log("over quota", zap.Float64("left", d.Level), zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
			zap.Int("silent-hosts", d.Silent), zap.Int("hosts", d.Hosts))
		x.refuse(&refusal{http.StatusTooManyRequests, "over the workspace's quota", x.postpone(d, limit)})
		return
	}
	outcome := o.Relay.Run(x.request.Context(), x.call(body), &sink{writer: x.writer, controller: http.NewResponseController(x.writer)})
	x.finish(outcome)
}

// minSpareShare is the share of a quota's rate that counts as left by other callers at least.
const minSpareShare = 0.05

// postpone returns when the caller of a request over the workspace's quota should come
// again: when there will be a token for it, after those for whom this host refused requests
// before. New callers take tokens too, so there are only those that they leave.
func (x *exchange) postpone(d rationer.Decision, l rationer.Limit) timer.Millis {
	spare := max(l.Rate-d.Taken, minSpareShare*l.Rate)
	return x.gatekeeper.quotas.Postpone(x.workspace.Name, postponer.Opening{First: d.RetryAfter, Rate: spare, Hosts: d.Hosts - d.Silent, Left: x.timeLeft()})
}

// target returns the path and query of a request as the caller sent them, without the scheme
// and host that a caller may put before them.
func target(q *http.Request) string {
	if strings.HasPrefix(q.RequestURI, "/") {
		return q.RequestURI
	}
	return q.URL.RequestURI()
}

// call returns the call that is relayed for the request. The key is not passed on.
func (x *exchange) call(body []byte) relayer.Call {
	names := x.gatekeeper.options.Names
	h := x.request.Header.Clone()
	transporter.RemoveHopHeaders(h)
	parts := names.SharedParts(strings.Join(h.Values(names.Prompt), ","))
	h.Del(names.Key)
	c := relayer.Call{
		ID: x.id, Method: x.request.Method, Target: target(x.request), Host: x.request.Host, Header: h, Body: body,
		Route: x.route, Service: x.route.Pick(rand.Float64()), Deadline: x.deadline(), Prompt: strings.Join(parts, ","),
	}
	c.Subject = localizer.Subject{Route: x.route, Workspace: x.workspace, Path: x.request.URL.Path}
	c.Rank = x.snapshot.Config.Rank(x.workspace, x.route)
	c.Workspace = x.workspaceName()
	c.Suspect = suspector.Call{
		Fingerprint: suspector.Fingerprint(c.Workspace, c.Host+c.Target, body), Parts: suspector.Parts(parts), Workspace: c.Workspace,
	}
	return c
}

// deadline returns when the request times out: by the route's or the caller's timeout,
// whichever is shorter.
func (x *exchange) deadline() timer.Millis {
	wait := defaultTimeout
	if x.route != nil && x.route.Timeout > 0 {
		wait = x.route.Timeout
	}
	if ms, err := strconv.ParseInt(x.request.Header.Get(x.gatekeeper.options.Names.Deadline), 10, 64); err == nil && ms > 0 {
		wait = min(wait, timer.Millis(ms))
	}
	return x.started + wait
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() timer.Millis {
	return x.deadline() - x.gatekeeper.options.Clock.Now()
}

// finish answers the caller unless the relay has done so, and logs the outcome. It
// aborts the connection if an answer was interrupted or the caller has disconnected.
func (x *exchange) finish(outcome relayer.Outcome) {
	took := zap.Int64("took-ms", int64(x.gatekeeper.options.Clock.Now()-x.started))
	switch o := outcome.(type) {
	case relayer.Delivered:
		x.recordOutcome("delivered")
		x.log("delivered", took, zap.Int("status", o.Status), zap.String("server", o.Server), zap.Int("servers", o.Servers))
	case relayer.NotRun:
		x.gatekeeper.options.Rationer.Refund(x.workspaceName())
		x.refuse(&refusal{http.StatusServiceUnavailable, o.Reason, o.RetryAfter})
	case relayer.Unknown:
		status := http.StatusBadGateway
		if o.Late {
			status = http.StatusGatewayTimeout
		}
		x.refuse(&refusal{status: status, reason: o.Reason})
	case relayer.Interrupted:
		x.recordOutcome("broken-off")
		x.log("broken off", took, zap.String("reason", o.Reason))
		panic(http.ErrAbortHandler)
	case relayer.CallerGone:
		x.recordOutcome("left")
		x.log("caller left", took)
		panic(http.ErrAbortHandler)
	}
}

// sink is the relayer.Sink that writes to the caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// stream is set for answers without a length, which are flushed after each
	// part.
	stream bool
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

// Abort implements relayer.Sink.
func (s *sink) Abort() { _ = s.controller.SetWriteDeadline(time.Unix(1, 0)) }

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
