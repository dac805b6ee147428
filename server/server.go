// Package server implements the HTTP API of one host, for callers and
// operators.
//
// # Requests
//
// Package receiver authenticates requests and reads their bodies. Package
// guardian ends a call once it may no longer be answered. Package forwarder
// runs calls and forwards the answers, and package answerer formats errors.
// Package presenter handles requests for files and batch jobs, and package
// manager handles operators' requests.
//
// This package contains the listeners, the routing, the parsing of calls to
// models and plain services, and the list of hosts. It also shuts the API down:
// Close lets open calls end within a time limit and cancels the others.
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

// Server serves the API. Serve may be called for several listeners,
// concurrently.
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

// New returns a Server. The caller must call Close, which also ends the
// goroutine that supervises open calls.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{options: o}
	if err := s.buildComponents(); err != nil {
		return nil, err
	}
	s.http = s.newHTTPServer()
	return s, nil
}

// buildComponents creates the components that handle requests. If it succeeds,
// the guardian is running and must be closed.
func (s *Server) buildComponents() error {
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
		Memory: o.Budget.Bodies,
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

func (s *Server) newHTTPServer() *fasthttp.Server {
	o := s.options
	return &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		HeaderReceived:               s.headerReceived,
		ConnState:                    s.trackState,
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

// trackState tells the budget that a connection waits for a request or for the rest of one.
func (s *Server) trackState(c net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateActive || state == fasthttp.StateIdle {
		s.guardian.Connection(c).Wait()
	}
}

// writeBufferSize is the size of each connection's write buffer, in bytes.
const writeBufferSize = 2 << 10

// silentLogger discards the log messages of the HTTP library, since they may
// quote what a caller sent.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// headerReceived sets the read timeout of uploads, which is longer than that of
// other requests.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if isUpload(string(h.Method()), string(h.RequestURI())) {
		return fasthttp.RequestConfig{ReadTimeout: s.options.UploadTimeout.Duration()}
	}
	return fasthttp.RequestConfig{}
}

// Serve accepts connections from l until Close is called. It closes l.
func (s *Server) Serve(l net.Listener) error {
	l = s.wrapListener(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return eris.Wrap(s.http.Serve(l), "serve callers")
}

// Drain directs callers to other hosts: /v1/hosts omits this host, /readyz
// fails, and each response has the header that closes the connection. Calls are
// still served.
func (s *Server) Drain() {
	if !s.draining.Swap(true) {
		s.options.Logger.Info("draining")
	}
}

// isDraining reports whether this host is draining, because Drain was called or
// because its snapshot marks it as draining. A draining host is going to leave.
func (s *Server) isDraining() bool {
	return s.draining.Load() || s.options.Viewer.View().Draining
}

// Close shuts the server down. It drains, refuses further calls, which have not been run
// and could not be waited for, waits up to DrainTimeout for open calls to end, cancels the
// others with an error that directs callers to another host, waits up to closeTimeout until
// the connections are closed, and closes those that remain. Callers that use an earlier
// list of hosts must be served between Drain and Close.
func (s *Server) Close() error {
	s.Drain()
	s.receiver.StopAdmitting()
	s.guardian.Wait(s.options.DrainTimeout)
	s.guardian.CancelAll(guardian.ErrHostLeaving)
	s.guardian.Wait(closeTimeout)
	err := s.shutdownHTTP()
	if errors.Is(err, context.DeadlineExceeded) {
		// The remaining connections have an incomplete request, or a caller
		// that does not read its answer.
		err = s.guardian.CloseConns(closeTimeout)
	}
	s.guardian.Close()
	s.closeListeners()
	return eris.Wrap(err, "shut down")
}

// closeTimeout limits each step of Close that follows the drain timeout:
// sending errors to the cancelled calls, closing idle connections and closing
// the others.
const closeTimeout = 2 * timer.Second

// shutdownHTTP closes idle connections and waits up to closeTimeout until all
// connections are closed.
func (s *Server) shutdownHTTP() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		// The listener may already be closed.
		_ = l.Close()
	}
}

// handle routes a request and logs the error of its response, if any. A panic of a
// handler is logged instead and answered with an internal error.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if r := recover(); r != nil {
			answerer.LogPanic(s.options.Logger, r)
			ctx.Response.Reset()
			answerer.Fail(ctx, answerer.Internal())
			s.endPanickedCall(ctx)
		}
	}()
	if s.isDraining() {
		ctx.SetConnectionClose()
	}
	if ctx.Request.Header.ContentLength() == 0 {
		s.guardian.Connection(ctx.Conn()).Serve()
	}
	s.route(ctx)
	if ctx.Response.ConnectionClose() && ctx.RequestBodyStream() != nil {
		s.guardian.LingerOnClose(ctx.Conn())
	}
	s.logError(ctx)
}

// logError logs the response if it is an error. It logs neither the path nor
// any header, since these may contain keys.
func (s *Server) logError(ctx *fasthttp.RequestCtx) {
	code, failed := answerer.ErrorCode(ctx)
	if !failed {
		return
	}
	s.options.Logger.Info("answered with an error", codeField(code), zap.Int("status", ctx.Response.StatusCode()),
		zap.ByteString("request", ctx.Response.Header.Peek(answerer.HeaderRequestID)), callerField(ctx))
}

// endPanickedCall ends the call of a handler that panicked, so that Close does
// not wait for it.
func (s *Server) endPanickedCall(ctx *fasthttp.RequestCtx) {
	if call, ok := receiver.CallOf(ctx); ok {
		s.guardian.End(call)
	}
}
