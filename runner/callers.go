package runner

import (
	"context"
	"crypto/tls"
	"encoding/hex"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/rotisserie/eris"
)

// makeServer makes the server for callers and operators.
func (h *Host) makeServer() error {
	c := h.settings.Callers
	token, err := hex.DecodeString(h.settings.Admin.TokenHash)
	if err != nil {
		return eris.Wrap(err, "operators' token")
	}
	callerTLS, err := h.callerTLS()
	if err != nil {
		return err
	}
	h.server, err = server.New(server.Options{
		Viewer: h.controller, Doer: h.dispatcher, Limiter: admitter{h.limiter}, Batches: h.batcher,
		Changer: changer{h.controller}, Servers: h.dispatcher.Servers, Metrics: h.meters.serve,
		Recorder: h.usage(), Usage: h.usage(),
		Clock: h.clock, Logger: h.logger, Meter: h.meters.meter, AdminTokenHash: token,
		TLS: callerTLS, Budget: h.budget,
		MaxBody: c.BodyBytes, MaxUpload: int64(c.FileBytes), MaxHeader: c.HeaderBytes, MaxConnections: c.Connections,
		ReadTimeout: c.ReadTimeout, IdleTimeout: c.IdleTimeout, CallTimeout: c.Timeout,
		DrainTimeout: c.DrainFor, HostsMaxAge: c.HostsFor,
	})
	return eris.Wrap(err, "server")
}

// callerTLS returns the TLS configuration for callers, or nil if they use plain
// HTTP.
func (h *Host) callerTLS() (*tls.Config, error) {
	t := h.settings.TLS
	if t.CallerCertificate == "" {
		return nil, nil
	}
	c, err := certifier.New(certifier.Files{Certificate: t.CallerCertificate, Key: t.CallerKey})
	if err != nil {
		return nil, eris.Wrap(err, "callers' certificate")
	}
	return c.ServerConfig(), nil
}

// admitter adapts the limiter to server.Limiter.
type admitter struct{ limiter *limiter.Limiter }

// Admit implements server.Limiter.
func (a admitter) Admit(ctx context.Context, workspace string) server.Decision {
	switch d := a.limiter.Admit(ctx, workspace).(type) {
	case limiter.Admitted:
		return server.Admitted{}
	case limiter.Refused:
		return server.Refused{RetryAfter: d.RetryAfter}
	case limiter.Unknown:
		return server.Unknown{Reason: string(d.Reason), RetryAfter: d.RetryAfter}
	}
	return server.Unknown{Reason: "no-decision"}
}

// changer applies the changes that operators request, by way of the controller.
type changer struct {
	controller interface {
		Change(ctx context.Context, id string, c registrar.Change) (coordinator.ChangeResult, error)
		View() coordinator.Snapshot
	}
}

// Change implements manager.Changer. The answer is marked as repeated if the
// record already contained the change with this id.
func (c changer) Change(ctx context.Context, id string, change registrar.Change) (administrator.ChangeResponse, error) {
	_, repeated := c.controller.View().Record.FindApplied(id)
	r, err := c.controller.Change(ctx, id, change)
	if err != nil {
		return administrator.ChangeResponse{}, err
	}
	a := administrator.ChangeResponse{ID: id, Version: r.Version, State: administrator.ChangeWritten, Repeated: repeated}
	if r.Accepted {
		a.State = administrator.ChangeAccepted
	}
	return a, nil
}

// Remove implements manager.Changer. It refuses to remove a member whose
// incarnation is not the requested one.
func (c changer) Remove(ctx context.Context, q administrator.RemoveRequest) (administrator.ChangeResponse, error) {
	m, ok := c.controller.View().Record.Member(q.Name)
	if ok && q.Incarnation != "" && m.Incarnation != q.Incarnation {
		return administrator.ChangeResponse{}, &registrar.RefusedError{Code: "other-incarnation", Name: q.Name}
	}
	return c.Change(ctx, q.ID, registrar.RemoveHosts{Names: []string{q.Name}, Force: q.Force})
}
