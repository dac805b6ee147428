// Package server is the callers' and the operators' HTTP API of one host.
//
// # Requests
//
// Package receiver takes a request in, package guardian ends its call when it
// may no longer be answered, package forwarder runs it and passes its answer on,
// package answerer shapes its errors. Packages presenter and manager answer for
// files and batch jobs and for operators. What remains here is the listeners,
// the routing, what a call to a model or a plain service asks for, and the list
// of hosts.
package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/forwarder"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/manager"
	"github.com/jackdawgate/jackdawgate/presenter"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Server serves the API. Serve may be called for several listeners.
type Server struct {
	options   Options
	guardian  *guardian.Guardian
	receiver  *receiver.Receiver
	presenter *presenter.Presenter
	manager   *manager.Manager
	http      *fasthttp.Server
	forwarder *forwarder.Forwarder

	draining atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
}

// New returns a Server. Its guard is at work until Close.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{options: o}
	if err := s.wire(); err != nil {
		return nil, err
	}
	s.http = s.newHTTP()
	return s, nil
}

// wire makes the parts that answer. The guard is at work once it has returned.
func (s *Server) wire() error {
	o := s.options
	keys := authenticator.New(o.Viewer)
	s.guardian = guardian.New(guardian.Options{
		Viewer: o.Viewer, Keys: keys, Clock: o.Clock, Logger: o.Logger, WriteTimeout: o.WriteTimeout,
	})
	var err error
	s.forwarder, err = forwarder.New(forwarder.Options{
		Doer: o.Doer, Guardian: s.guardian, Recorder: o.Recorder, Logger: o.Logger, Meter: o.Meter, MaxAnswer: o.MaxAnswer,
	})
	if err != nil {
		s.guardian.Close()
		return err
	}
	s.receiver = receiver.New(receiver.Options{
		Viewer: o.Viewer, Keys: keys, Guardian: s.guardian, Clock: o.Clock, MaxBody: o.MaxBody, MaxHeader: o.MaxHeader,
	})
	s.presenter = presenter.New(presenter.Options{
		Batches: o.Batches, Viewer: o.Viewer, Receiver: s.receiver, Guardian: s.guardian, Logger: o.Logger,
		MaxBody: o.MaxBody, MaxUpload: o.MaxUpload, CallTimeout: o.CallTimeout, UploadTimeout: o.UploadTimeout,
	})
	s.manager = manager.New(manager.Options{
		Viewer: o.Viewer, Receiver: s.receiver, Guardian: s.guardian, Clock: o.Clock, Logger: o.Logger,
		Changer: o.Changer, Servers: o.Servers, Usage: o.Usage, Jobs: s.presenter.Jobs, Draining: s.isDraining,
		TokenHash: o.AdminTokenHash, UsageTimeout: o.UploadTimeout,
	})
	return nil
}

func (s *Server) newHTTP() *fasthttp.Server {
	o := s.options
	return &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleBroken,
		HeaderReceived:               s.headerReceived,
		Name:                         "jackdawgate",
		Concurrency:                  o.MaxConnections,
		MaxConnsPerIP:                o.MaxConnectionsPerAddress,
		ReadBufferSize:               o.MaxHeader,
		WriteBufferSize:              writeBufferSize,
		ReadTimeout:                  o.ReadTimeout.Duration(),
		IdleTimeout:                  o.IdleTimeout.Duration(),
		MaxRequestBodySize:           o.MaxBody,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true,
		Logger:                       silentLogger{},
	}
}

// writeBufferSize is held by each connection, in bytes.
const writeBufferSize = 2 << 10

// silentLogger drops the library's own log lines: they may quote what a caller
// sent.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// headerReceived gives uploads more time than other requests.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if takesUpload(string(h.Method()), string(h.RequestURI())) {
		return fasthttp.RequestConfig{ReadTimeout: s.options.UploadTimeout.Duration()}
	}
	return fasthttp.RequestConfig{}
}

// Serve accepts connections from l until Close. It closes l.
func (s *Server) Serve(l net.Listener) error {
	l = s.wrap(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return eris.Wrap(s.http.Serve(l), "serve callers")
}

// Drain stops offering this host: /v1/hosts leaves it out, /readyz fails, and
// each answer asks its caller to close the connection. Calls are still served.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		s.options.Logger.Info("draining")
	}
}

// isDraining says whether this host is leaving, by Drain or by its snapshot.
func (s *Server) isDraining() bool {
	return s.draining.Load() || s.options.Viewer.View().Draining
}

// Close drains, lets open calls end for DrainTimeout, tells the rest to come
// back elsewhere, and waits until all connections are closed.
func (s *Server) Close() error {
	s.Drain()
	s.guardian.Wait(s.options.DrainTimeout)
	s.receiver.StopAdmitting()
	s.guardian.CancelAll(guardian.ErrHostLeaving)
	s.guardian.Wait(closeGrace)
	err := s.shutdown()
	if errors.Is(err, context.DeadlineExceeded) {
		// What is left are callers that send half a request or read nothing.
		err = s.guardian.CloseConns(closeGrace)
	}
	s.guardian.Close()
	s.closeListeners()
	return eris.Wrap(err, "shut down")
}

// closeGrace is how long answers may take that say "come back elsewhere".
const closeGrace = 2 * timer.Second

// shutdown waits until the connections are closed that have nothing to do.
func (s *Server) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace.Duration())
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		// It may be closed already.
		_ = l.Close()
	}
}

// handle answers one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if r := recover(); r != nil {
			answerer.LogPanic(s.options.Logger, r)
			ctx.Response.Reset()
			answerer.Fail(ctx, answerer.Internal())
			s.endAbandoned(ctx)
		}
	}()
	if s.isDraining() {
		ctx.SetConnectionClose()
	}
	s.route(ctx)
	s.logRefusal(ctx)
}

// logRefusal logs the answer when it is an error. It names neither path nor
// header: both may have keys in them.
func (s *Server) logRefusal(ctx *fasthttp.RequestCtx) {
	code, failed := answerer.ErrorCode(ctx)
	if !failed {
		return
	}
	s.options.Logger.Info("answered with an error", zapCode(code), zap.Int("status", ctx.Response.StatusCode()),
		zap.ByteString("request", ctx.Response.Header.Peek(answerer.HeaderRequestID)), zapRemote(ctx))
}

// endAbandoned ends the call of a handler that panicked, so that Close does not
// wait for it.
func (s *Server) endAbandoned(ctx *fasthttp.RequestCtx) {
	if o, ok := receiver.CallOf(ctx); ok {
		s.guardian.End(o)
	}
}
