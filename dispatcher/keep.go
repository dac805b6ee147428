package dispatcher

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Slots grants slots of backend servers. It is called only for servers that this host
// owns.
type Slots interface {
	// Acquire waits for a slot. It fails with a *keeper.FullError, a
	// *keeper.DrainingError or the error of ctx.
	Acquire(ctx context.Context, b registrar.BackendServer, t keeper.Request) (keeper.Slot, error)
	// Load returns the load recorded in the ledger of a server.
	Load(server string) keeper.Load
}

// minRetryAfter is the RetryAfter of outcomes that may change soon: the server is being
// handed over, is leaving or refused the call, or runs another suspect. It is also the
// interval at which an entry host polls during a hand-over. In milliseconds.
const minRetryAfter timer.Millis = 200

// errEvicted is the cause with which the exchange of an evicted call is cancelled.
var errEvicted = errors.New("evicted")

// runAsKeeper runs a call on a server that this host owns.
func (d *Dispatcher) runAsKeeper(ctx context.Context, r *runRequest, s exchanger.Sink) requester.Outcome {
	release, o := d.isolateSuspect(r)
	if o != nil {
		return o
	}
	defer release()
	b, slot, o := d.acquire(ctx, r)
	if o != nil {
		return o
	}
	defer slot.Release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.Request.Class == requester.Batch {
		stopWatch := watchEviction(slot, cancel)
		defer stopWatch()
	}
	l, o := d.takeLimit(r)
	if o != nil {
		return o
	}
	a, r := d.prepareAnswer(r, s)
	f := d.inFlight.begin(b.Name, suspectCall(&r.Request))
	result := d.exchange(ctx, r, b, l, &slotSink{sink: a, slot: slot, call: f}, func() bool { return d.owns(b.Name) })
	d.inFlight.end(f, result)
	d.recordAnswered(&r.Request, result)
	if w, whole := result.(exchanger.Complete); whole && !r.Request.Stream {
		slot.Progress(w.Usage.PromptTokens + w.Usage.CompletionTokens)
	}
	// A call that the server can't resume also ends as evicted, without a state to
	// resume from, so that the caller starts it over.
	if wasEvicted(ctx, result) || a.cannotResume(result) {
		d.options.Logger.Info("evicted", zap.String("request", r.Request.ID), zap.String("server", b.Name),
			zap.Int64("kept-tokens", a.tokens()))
		return requester.Evicted{Resume: a.resumeState(result)}
	}
	return d.finishExchange(r, b, f, a.complete(result))
}

// wasEvicted reports whether an exchange was stopped by an eviction.
func wasEvicted(ctx context.Context, result exchanger.Result) bool {
	_, stopped := result.(exchanger.Stopped)
	return stopped && context.Cause(ctx) == errEvicted
}

// acquire waits for a slot of the server, or returns the outcome of a call that is
// not run here.
func (d *Dispatcher) acquire(ctx context.Context, r *runRequest) (*registrar.BackendServer, keeper.Slot, requester.Outcome) {
	b, o := d.runnableServer(r)
	if o != nil {
		return nil, nil, o
	}
	slot, err := d.options.Slots.Acquire(ctx, *b, d.keeperRequest(r))
	if err != nil {
		return nil, nil, notAcquiredOutcome(err)
	}
	return b, slot, nil
}

// runnableServer returns the server, or the outcome of a call that is not run here.
func (d *Dispatcher) runnableServer(r *runRequest) (*registrar.BackendServer, requester.Outcome) {
	s := d.options.Viewer.View()
	known, ok := s.Record.Servers[r.Server]
	b := &known
	switch {
	case !ok:
		return b, requester.NotRun{Code: CodeNotKeeper, Reason: "this host does not know the backend server", RetryAfter: minRetryAfter}
	case b.Leaving:
		return b, requester.NotRun{Code: CodeServerLeaving, Reason: "the backend server is leaving", RetryAfter: minRetryAfter}
	case !d.owns(r.Server):
		return b, requester.NotRun{Code: CodeNotKeeper, Reason: "this host does not decide for the backend server", RetryAfter: minRetryAfter}
	}
	if o, refused := d.refuseSuspect(&r.Request); refused {
		return b, o
	}
	return b, nil
}

// owns reports whether this host owns server in the newest snapshot. The result is
// valid for one effect only.
func (d *Dispatcher) owns(server string) bool {
	return d.options.Viewer.View().Owns(coordinator.ServerObject(server), d.options.Clock.Now())
}

func (d *Dispatcher) keeperRequest(r *runRequest) keeper.Request {
	w := d.options.Viewer.View().Record.Workspaces[r.Request.Workspace]
	return keeper.Request{
		ID:        r.Request.ID,
		Workspace: r.Request.Workspace,
		Class:     r.Request.Class,
		Tokens:    r.Request.EstimatedTokens,
		Weight:    w.Weight,
	}
}

// notAcquiredOutcome returns the outcome of a call that got no slot. A DrainingError
// also means that this host stopped owning the server or is not permitted to act.
func notAcquiredOutcome(err error) requester.Outcome {
	var full *keeper.FullError
	var draining *keeper.DrainingError
	switch {
	case errors.As(err, &full):
		return requester.NotRun{Code: CodeServerFull, Reason: "the backend server's queue is full", RetryAfter: full.RetryAfter}
	case errors.As(err, &draining):
		return requester.NotRun{Code: CodeServerLeaving, Reason: "the backend server is leaving", RetryAfter: minRetryAfter}
	}
	return requester.NotRun{Code: CodeTimeout, Reason: "no slot became free in time", RetryAfter: timer.Second}
}

// watchEviction cancels the exchange of a batch call once its slot must be released;
// online calls are never evicted. The returned function ends the watch.
func watchEviction(s keeper.Slot, cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-s.Evicted():
			cancel(errEvicted)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// slotSink reports tokens to the ledger and to the call in flight as they pass through.
type slotSink struct {
	sink exchanger.Sink
	slot keeper.Slot
	call *inFlightCall
}

func (s *slotSink) Head(status int, headers []requester.Header) error {
	return s.sink.Head(status, headers)
}

func (s *slotSink) Body(piece []byte, tokens int64) error {
	if tokens > 0 {
		s.slot.Progress(tokens)
		s.call.tokens.Add(tokens)
	}
	return s.sink.Body(piece, tokens)
}

// exchange makes the exchange of a call that l counted. It calls permit immediately before
// the first byte.
func (d *Dispatcher) exchange(
	ctx context.Context, r *runRequest, b *registrar.BackendServer, l *limitedCall, s exchanger.Sink, permit func() bool,
) (result exchanger.Result) {
	defer func() { l.end(result) }()
	c := &exchanger.Call{
		ID:            r.Request.ID,
		Address:       b.Address,
		Method:        r.Request.Method,
		Path:          r.Request.Path,
		Query:         r.Request.Query,
		Headers:       r.Request.Headers,
		Body:          r.Request.Body,
		Stream:        r.Request.Stream,
		ResumeFrom:    r.ResumeFrom,
		NewConnection: !r.Request.Repeatable,
		Permit:        permit,
		Answered:      l.answered,
	}
	if r.ResumeFrom > 0 {
		body, err := withResumeFrom(c.Body, r.ResumeFrom)
		if err != nil {
			return exchanger.NotSent{Err: err}
		}
		c.Body = body
	}
	result = d.options.Exchanger.Exchange(ctx, c, s)
	if isStaleConnection(result, r.Request.Repeatable) {
		c.NewConnection = true
		return d.options.Exchanger.Exchange(ctx, c, s)
	}
	return result
}

// isStaleConnection reports whether a call may be sent again at once on a new
// connection, because the server may have closed the idle connection that was used.
func isStaleConnection(r exchanger.Result, repeatable bool) bool {
	switch r := r.(type) {
	case exchanger.NotSent:
		return r.Reused
	case exchanger.Broken:
		return r.Reused && repeatable
	}
	return false
}

// withResumeFrom adds the field that makes an engine skip the tokens that were
// delivered.
func withResumeFrom(body []byte, tokens int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	n, err := json.Marshal(tokens)
	if err != nil {
		return nil, err
	}
	fields["resume_from"] = n
	return json.Marshal(fields)
}

// finishExchange returns the outcome of a call from the result of its exchange. It logs
// a failure, and records what the result shows about the server: that it is
// unreachable, or that it crashed.
func (d *Dispatcher) finishExchange(r *runRequest, b *registrar.BackendServer, f *inFlightCall, result exchanger.Result) requester.Outcome {
	switch x := result.(type) {
	case exchanger.Complete:
		return requester.Answered{Status: x.Status, Usage: x.Usage, Server: b.Name}
	case exchanger.Refused:
		return requester.NotRun{Code: CodeServerRefused, Reason: "the backend server took no more calls", RetryAfter: max(x.RetryAfter, minRetryAfter)}
	case exchanger.NotSent:
		d.logFailedExchange(r, b, x.Err)
		if x.NotPermitted {
			return requester.NotRun{Code: CodeNotKeeper, Reason: "this host stopped deciding for the backend server", RetryAfter: minRetryAfter}
		}
		d.loads.recordFailure(b.Name)
		return requester.NotRun{Code: CodeUnreachable, Reason: "the backend server can't be reached", RetryAfter: timer.Second}
	case exchanger.Stopped:
		return stoppedOutcome(x)
	case exchanger.Broken:
		d.logFailedExchange(r, b, x.Err)
		crashed := x.ConnectionLost && d.confirmCrash(b, f)
		if crashed {
			d.forgetLimit(b.Name)
		}
		return requester.MaybeRun{Code: x.Code, Reason: "the backend server gave no whole answer", ServerCrashed: crashed}
	}
	return requester.MaybeRun{Code: CodeInternal}
}

func stoppedOutcome(x exchanger.Stopped) requester.Outcome {
	if x.Sent {
		return requester.MaybeRun{Code: CodeCancelled, Reason: "the call was stopped"}
	}
	return requester.NotRun{Code: CodeCancelled, Reason: "the call was stopped before it was sent"}
}

func (d *Dispatcher) logFailedExchange(r *runRequest, b *registrar.BackendServer, err error) {
	d.options.Logger.Warn("exchange failed", zap.String("request", r.Request.ID),
		zap.String("workspace", r.Request.Workspace), zap.String("server", b.Name), zap.Error(err))
}
