package emulator

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Headers of an Engine.
const (
	// HeaderEpoch carries the fencing number of an order.
	HeaderEpoch = "Jackdawgate-Epoch"
	// HeaderRequestID identifies a call; the response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumedFrom is the number of tokens before the start of the answer,
	// zero if it is not resumed.
	HeaderResumedFrom = "Resumed-From"
	// HeaderExecution is the number of the call's execution that produced the
	// response, counted from 1.
	HeaderExecution = "Execution"
	// HeaderIdempotencyKey identifies a call in the counts of executions.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Engine emulates a model engine with continuous batching that serves the OpenAI
// HTTP API, or a plain service.
//
// In addition to /v1/chat/completions, /v1/completions, /v1/embeddings,
// /v1/models and /health, it serves POST /cancel {"id"}, GET /load,
// GET /cache-events?after=N and POST /orders. The request field resume_from is
// the index of the token at which the answer starts. For tests it serves GET and
// POST /faults, which changes the fields that are present in the JSON object,
// GET /received and GET /executions; these paths also respond while the engine
// is frozen.
type Engine struct {
	options  EngineOptions
	server   *fasthttp.Server
	requests *requestLog
	batch    *batch
	ctx      context.Context
	cancel   context.CancelFunc
	// goroutines counts the batch loop, Serve and the answers being streamed.
	goroutines sync.WaitGroup

	mu       sync.Mutex
	listener *faultListener
	faults   EngineFaults
	// unfrozen is closed while Freeze is off.
	unfrozen chan struct{}
	models   loadedModels
	orders   []Order
}

// NewEngine returns an engine and starts its batch loop, which runs until Close.
func NewEngine(o EngineOptions) *Engine {
	o = o.withDefaults()
	e := &Engine{options: o, requests: newRequestLog(o.ReceivedLimit), unfrozen: make(chan struct{}), models: newLoadedModels(o.Models)}
	close(e.unfrozen)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.batch = newBatch(o, e.whenUnfrozen)
	e.server = newServer(e.handle)
	e.setFaults(o.Faults)
	e.goroutines.Go(func() { e.batch.run(e.ctx) })
	return e
}

// Serve serves HTTP on l until Close. It must not be called more than once.
func (e *Engine) Serve(l net.Listener) error {
	g := newFaultListener(l, e.takeRequestCut)
	e.mu.Lock()
	if e.ctx.Err() != nil {
		e.mu.Unlock()
		return l.Close()
	}
	e.listener = g
	g.setSilenceNext(e.faults.SilenceNext)
	e.goroutines.Add(1)
	e.mu.Unlock()
	defer e.goroutines.Done()
	return eris.Wrap(e.server.Serve(g), "serve engine")
}

// Close aborts all calls and waits until they have ended.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.cancel()
	g := e.listener
	e.mu.Unlock()
	var err error
	if g != nil {
		err = g.Close()
		g.closeConns()
		_ = e.server.Shutdown()
	}
	e.goroutines.Wait()
	return eris.Wrap(err, "close engine")
}

// controlPaths are the paths that tests control the engine with. Requests for
// them are not recorded and not subject to faults.
var controlPaths = []string{"/faults", "/received", "/executions"}

// enginePaths are the paths that are not passed to a plain service or a model.
// Requests for them are not subject to cuts, delays and crashes.
var enginePaths = append([]string{"/health", "/load", "/cache-events", "/orders", "/cancel", "/v1/models"}, controlPaths...)

// isEngineRequest reports whether header is that of a request for one of
// enginePaths, or is malformed.
func isEngineRequest(header []byte) bool {
	line, _, _ := bytes.Cut(header, []byte("\r\n"))
	fields := strings.Fields(string(line))
	if len(fields) < 2 {
		return true
	}
	path, _, _ := strings.Cut(fields[1], "?")
	return contains(enginePaths, path)
}

func contains(paths []string, path string) bool {
	for _, p := range paths {
		if p == path {
			return true
		}
	}
	return false
}

func (e *Engine) handle(q *fasthttp.RequestCtx) {
	path := string(q.Path())
	if contains(controlPaths, path) {
		e.handleControl(q, path)
		return
	}
	e.requests.recordRequest(q)
	if id := q.Request.Header.Peek(HeaderRequestID); len(id) > 0 {
		q.Response.Header.SetBytesV(HeaderRequestID, id)
	}
	ctx, stop := callContext(e.ctx, q)
	if !e.applyArrivalFaults(ctx, q, path) {
		stop()
		cutCall(q)
		return
	}
	switch {
	case path == "/health":
		stop()
		q.SetBodyString(`{"status":"ok"}`)
	case contains(enginePaths, path):
		defer stop()
		e.handleEnginePath(ctx, q, path)
	case e.options.Plain:
		defer stop()
		e.handlePlain(ctx, q)
	default:
		e.handleModel(ctx, stop, q, path)
	}
}

// applyArrivalFaults waits while the engine is frozen and then injects the faults
// that take effect when a call arrives. It returns false if the connection of the
// call must be closed.
func (e *Engine) applyArrivalFaults(ctx context.Context, q *fasthttp.RequestCtx, path string) bool {
	select {
	case <-e.whenUnfrozen():
	case <-ctx.Done():
		return false
	}
	if contains(enginePaths, path) {
		return true
	}
	if e.hasCrashMarker(q.PostBody()) {
		e.crash()
		return false
	}
	return sleep(ctx, e.Faults().Delay.Duration())
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return timer.SleepDuration(ctx, d)
}

func (e *Engine) handleControl(q *fasthttp.RequestCtx, path string) {
	switch path {
	case "/received":
		respondJSON(q, e.Received())
	case "/executions":
		respondJSON(q, e.Executions())
	case "/faults":
		f := e.Faults()
		if q.IsPost() {
			if !decodeBody(q, &f) {
				return
			}
			e.SetFaults(f)
		}
		respondJSON(q, e.Faults())
	}
}

func (e *Engine) handleEnginePath(ctx context.Context, q *fasthttp.RequestCtx, path string) {
	switch path {
	case "/load":
		respondJSON(q, e.loadReport())
	case "/cache-events":
		e.handleCacheEvents(q)
	case "/orders":
		e.handleOrder(ctx, q)
	case "/cancel":
		e.handleCancel(q)
	case "/v1/models":
		e.handleModels(q)
	}
}

// handlePlain answers a call of a plain service with the request's body.
func (e *Engine) handlePlain(ctx context.Context, q *fasthttp.RequestCtx) {
	call := callID(q)
	n := e.requests.recordStart(call)
	if !sleep(ctx, e.options.PlainTime.Duration()) {
		cutCall(q)
		return
	}
	e.requests.recordFinish(call)
	if e.applyResponseCut(q) {
		return
	}
	q.Response.Header.Set(HeaderExecution, itoa(n))
	q.Response.Header.SetContentTypeBytes(q.Request.Header.ContentType())
	// The request's body is kept until the response has been written, so it is not copied.
	q.Response.SetBodyRaw(q.PostBody())
}

// applyResponseCut injects the cuts that take effect after a call has run. It
// returns true if no response must be written.
func (e *Engine) applyResponseCut(q *fasthttp.RequestCtx) bool {
	switch e.takeCut(CutAfterBody, CutMidAnswer) {
	case CutAfterBody:
		cutCall(q)
		return true
	case CutMidAnswer:
		if c, ok := q.Conn().(*faultConn); ok {
			c.cutNextWrite = true
		}
	}
	return false
}
