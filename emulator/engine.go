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
	// HeaderRequestID names a call; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumedFrom says how many tokens a resumed answer skipped.
	HeaderResumedFrom = "Resumed-From"
	// HeaderExecution says which run of its call an answer is of, from 1.
	HeaderExecution = "Execution"
	// HeaderIdempotencyKey names a call in the counts of executions.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Engine is a model engine that batches continuously and speaks the OpenAI HTTP
// API, or a plain service.
//
// Besides /v1/chat/completions, /v1/completions, /v1/embeddings, /v1/models and
// /health it serves POST /cancel {"id"}, GET /load, GET /cache-events?after=N
// and POST /orders. The request field resume_from makes an answer begin at that
// token. For tests it serves GET and POST /faults, which changes the fields
// that the JSON object names, GET /received and GET /executions; these answer
// also while the engine is frozen.
type Engine struct {
	options EngineOptions
	server  *fasthttp.Server
	ledger  *ledger
	batch   *batch
	ctx     context.Context
	cancel  context.CancelFunc
	// all counts the batch loop, Serve and the answers being streamed.
	all sync.WaitGroup

	mu     sync.Mutex
	gate   *gate
	faults EngineFaults
	// thawed is closed while Freeze is off.
	thawed chan struct{}
	models models
	orders []Order
}

// NewEngine returns an engine whose batch loop runs until Close.
func NewEngine(o EngineOptions) *Engine {
	o = o.withDefaults()
	e := &Engine{options: o, ledger: newLedger(o.ReceivedLimit), thawed: make(chan struct{}), models: newModels(o.Models)}
	close(e.thawed)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.batch = newBatch(o, e.frozen)
	e.server = newServer(e.handle)
	e.setFaults(o.Faults)
	e.all.Go(func() { e.batch.run(e.ctx) })
	return e
}

// Serve serves on l until Close. It may be called once.
func (e *Engine) Serve(l net.Listener) error {
	g := newGate(l, e.takeCut)
	e.mu.Lock()
	if e.ctx.Err() != nil {
		e.mu.Unlock()
		return l.Close()
	}
	e.gate = g
	g.setSilenceNext(e.faults.SilenceNext)
	e.all.Add(1)
	e.mu.Unlock()
	defer e.all.Done()
	return eris.Wrap(e.server.Serve(g), "serve engine")
}

// Close ends all calls and waits for them.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.cancel()
	g := e.gate
	e.mu.Unlock()
	var err error
	if g != nil {
		err = g.Close()
		g.cutAll()
		_ = e.server.Shutdown()
	}
	e.all.Wait()
	return eris.Wrap(err, "close engine")
}

// switchPaths are for tests: they are not recorded and suffer no faults.
var switchPaths = []string{"/faults", "/received", "/executions"}

// ownPaths are the engine's, not a plain service's. They suffer no cuts.
var ownPaths = append([]string{"/health", "/load", "/cache-events", "/orders", "/cancel", "/v1/models"}, switchPaths...)

func ownHeader(header []byte) bool {
	line, _, _ := bytes.Cut(header, []byte("\r\n"))
	fields := strings.Fields(string(line))
	if len(fields) < 2 {
		return true
	}
	path, _, _ := strings.Cut(fields[1], "?")
	return contains(ownPaths, path)
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
	if contains(switchPaths, path) {
		e.handleSwitch(q, path)
		return
	}
	e.ledger.receive(q)
	if id := q.Request.Header.Peek(HeaderRequestID); len(id) > 0 {
		q.Response.Header.SetBytesV(HeaderRequestID, id)
	}
	ctx, stop := callContext(e.ctx, q)
	if !e.arrive(ctx, q, path) {
		stop()
		cutCall(q)
		return
	}
	switch {
	case path == "/health":
		stop()
		q.SetBodyString(`{"status":"ok"}`)
	case contains(ownPaths, path):
		defer stop()
		e.handleOwn(ctx, q, path)
	case e.options.Plain:
		defer stop()
		e.handlePlain(ctx, q)
	default:
		e.handleModel(ctx, stop, q, path)
	}
}

// arrive acts out the faults of a call that has arrived. It returns false when
// the call has to be cut.
func (e *Engine) arrive(ctx context.Context, q *fasthttp.RequestCtx, path string) bool {
	select {
	case <-e.frozen():
	case <-ctx.Done():
		return false
	}
	if contains(ownPaths, path) {
		return true
	}
	if e.crashesOn(q.PostBody()) {
		e.crash()
		return false
	}
	return wait(ctx, e.Faults().Delay.Duration())
}

// wait returns false when ctx ends before d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return timer.SleepDuration(ctx, d)
}

func (e *Engine) handleSwitch(q *fasthttp.RequestCtx, path string) {
	switch path {
	case "/received":
		answerJSON(q, e.Received())
	case "/executions":
		answerJSON(q, e.Executions())
	case "/faults":
		f := e.Faults()
		if q.IsPost() {
			if !decodeBody(q, &f) {
				return
			}
			e.SetFaults(f)
		}
		answerJSON(q, e.Faults())
	}
}

func (e *Engine) handleOwn(ctx context.Context, q *fasthttp.RequestCtx, path string) {
	switch path {
	case "/load":
		answerJSON(q, e.report())
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

// handlePlain runs a call of a plain service.
func (e *Engine) handlePlain(ctx context.Context, q *fasthttp.RequestCtx) {
	call := callID(q)
	n := e.ledger.start(call)
	if !wait(ctx, e.options.PlainTime.Duration()) {
		cutCall(q)
		return
	}
	e.ledger.finish(call)
	if e.cutAnswer(q) {
		return
	}
	q.Response.Header.Set(HeaderExecution, itoa(n))
	q.Response.Header.SetContentTypeBytes(q.Request.Header.ContentType())
	q.SetBody(q.PostBody())
}

// cutAnswer acts out the cuts after a call has run, and says whether there is
// nothing more to answer.
func (e *Engine) cutAnswer(q *fasthttp.RequestCtx) bool {
	switch e.takeCutOf(CutAfterBody, CutMidAnswer) {
	case CutAfterBody:
		cutCall(q)
		return true
	case CutMidAnswer:
		if c, ok := q.Conn().(*conn); ok {
			c.cutAnswer = true
		}
	}
	return false
}
