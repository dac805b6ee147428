package manager

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// matches reports whether token is the operators' token. It is false for every token if
// no hash is configured.
func (m *Manager) matches(token []byte) bool {
	hash := sha256.Sum256(token)
	return subtle.ConstantTimeCompare(m.options.TokenHash, hash[:]) == 1
}

// Handle serves a request for path, which begins with Root.
func (m *Manager) Handle(ctx *fasthttp.RequestCtx, path string) {
	token, ok := receiver.BearerToken(ctx)
	if !ok || !m.matches(token) {
		receiver.FailAndClose(ctx, answerer.Unauthorized(answerer.CodeAdminToken, "the operators' token is missing or wrong"))
		return
	}
	switch {
	case path == administrator.ChangesPath:
		receiver.RequireMethod(ctx, fasthttp.MethodPost, m.change)
	case path == administrator.RemovePath:
		receiver.RequireMethod(ctx, fasthttp.MethodPost, m.remove)
	case path == administrator.RecordPath:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, m.record)
	case path == administrator.StatusPath:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, m.status)
	case path == administrator.UsagePath, path == administrator.UsageRecordsPath:
		receiver.RequireMethod(ctx, fasthttp.MethodGet, m.usage)
	case receiver.IsUnder(path, administrator.JobsPath):
		m.options.Jobs(ctx)
	default:
		answerer.FailPath(ctx)
	}
}

// maxBody is the maximum size of a request body in bytes.
const maxBody = 1 << 20

// callTimeout is the timeout of an operators' call. A change that was written but is not
// known to be accepted by then is answered as written.
const callTimeout = 20 * timer.Second

func (m *Manager) change(ctx *fasthttp.RequestCtx) {
	var r administrator.ChangeRequest
	if !m.read(ctx, &r) {
		return
	}
	c := r.Change.Change()
	switch {
	case r.ID == "":
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeMissingField, "id", "field \"id\" is missing"))
		return
	case c == nil:
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeMissingField, "change", "field \"change\" has no change"))
		return
	}
	o := m.options.Guardian.BeginOperator(ctx.Conn(), callTimeout)
	defer m.options.Guardian.End(o)
	a, err := m.options.Changer.Change(o.Context, r.ID, c)
	m.answerChange(ctx, r.ID, a, err)
}

func (m *Manager) remove(ctx *fasthttp.RequestCtx) {
	var r administrator.RemoveRequest
	if !m.read(ctx, &r) {
		return
	}
	if r.ID == "" || r.Name == "" {
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeMissingField, "name", "fields \"id\" and \"name\" are needed"))
		return
	}
	o := m.options.Guardian.BeginOperator(ctx.Conn(), callTimeout)
	defer m.options.Guardian.End(o)
	a, err := m.options.Changer.Remove(o.Context, r)
	m.answerChange(ctx, r.ID, a, err)
}

// read decodes the request body into v. If it returns false, it has answered the request.
func (m *Manager) read(ctx *fasthttp.RequestCtx, v any) bool {
	if m.options.Changer == nil {
		answerer.FailNotServed(ctx)
		return false
	}
	body, ok := m.options.Receiver.Body(ctx, nil, maxBody)
	if !ok {
		return false
	}
	e, ok := receiver.DecodeJSON(body, v)
	if !ok {
		answerer.Fail(ctx, e)
	}
	return ok
}

func (m *Manager) answerChange(ctx *fasthttp.RequestCtx, id string, a administrator.ChangeResponse, err error) {
	var refused *registrar.RefusedError
	var conflict *registrar.ConflictError
	switch {
	case err == nil:
		m.options.Logger.Info("change", zap.String("id", id), zap.Uint64("version", uint64(a.Version)), zap.String("spread", string(a.State)))
		answerer.JSON(ctx, fasthttp.StatusOK, a)
	case errors.As(err, &refused):
		e := answerer.Invalid(refused.Code, "", "%s", refused.Error())
		e.Status = fasthttp.StatusConflict
		answerer.Fail(ctx, e)
	case errors.As(err, &conflict):
		e := answerer.Invalid("change-id-conflict", "id", "%s", conflict.Error())
		e.Status = fasthttp.StatusConflict
		answerer.Fail(ctx, e)
	default:
		m.options.Logger.Warn("change failed", zap.String("id", id), zap.Error(err))
		e := answerer.Unavailable(administrator.CodeChangeUnknown, timer.Second, "what became of the change is not known; send it again with the same id")
		e.NotRun = false
		answerer.Fail(ctx, e)
	}
}

func (m *Manager) record(ctx *fasthttp.RequestCtx) {
	answerer.JSON(ctx, fasthttp.StatusOK, m.options.Viewer.View().Record.WithoutHashes())
}

func (m *Manager) status(ctx *fasthttp.RequestCtx) {
	v := m.options.Viewer.View()
	st := administrator.Status{
		Host: v.Self.Name, Incarnation: v.Self.Incarnation, DataCentre: v.Self.DataCentre,
		Version: v.Record.Version, Epoch: v.Record.Epoch, Preset: v.Record.Preset,
		Member: v.Member(), Draining: m.options.Draining(),
		PermittedFor: max(0, v.PermittedUntil-m.options.Clock.Now()),
		Members:      []administrator.MemberStatus{},
		Servers:      []administrator.ServerStatus{},
	}
	for _, h := range v.Record.Members {
		st.Members = append(st.Members, administrator.MemberStatus{
			Name: h.Name, DataCentre: h.DataCentre, Incarnation: h.Incarnation, Caller: h.CallerAddress, Peer: h.PeerAddress,
		})
	}
	st.Servers = append(st.Servers, m.servers(v)...)
	answerer.JSON(ctx, fasthttp.StatusOK, st)
}

// servers returns the status of the backend servers as seen by this host.
func (m *Manager) servers(v coordinator.Snapshot) []administrator.ServerStatus {
	if m.options.Servers != nil {
		return m.options.Servers()
	}
	var out []administrator.ServerStatus
	for name, b := range v.Record.Servers {
		o, _ := v.Owner(coordinator.ServerObject(name))
		out = append(out, administrator.ServerStatus{Name: name, DataCentre: b.DataCentre, Keeper: o.Name, Leaving: b.Leaving})
	}
	return out
}

func (m *Manager) usage(ctx *fasthttp.RequestCtx) {
	if m.options.Usage == nil {
		answerer.FailNotServed(ctx)
		return
	}
	from, ok := receiver.QueryMillis(ctx, "from", 0)
	if !ok {
		return
	}
	until, ok := receiver.QueryMillis(ctx, "until", timer.Wall())
	if !ok {
		return
	}
	o := m.options.Guardian.BeginOperator(ctx.Conn(), m.options.UsageTimeout)
	if string(ctx.Path()) == administrator.UsageRecordsPath {
		ctx.SetContentType("application/x-ndjson")
		m.options.Guardian.Stream(ctx, o, func(w io.Writer) error { return m.options.Usage.WriteRecords(o.Context, w, from, until) })
		return
	}
	defer m.options.Guardian.End(o)
	m.report(ctx, o, from, until)
}

// report answers with a whole report of usage, or with the reason why there is none. A
// report is in memory in any case, so it isn't streamed.
func (m *Manager) report(ctx *fasthttp.RequestCtx, o *guardian.Call, from, until timer.Millis) {
	var report bytes.Buffer
	if err := m.options.Usage.WriteReport(o.Context, &report, from, until); err != nil {
		m.options.Logger.Warn("no usage report", zap.Error(err))
		e := answerer.Internal()
		e.Code, e.Message = administrator.CodeNoReport, err.Error()
		answerer.Fail(ctx, e)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(report.Bytes())
}
