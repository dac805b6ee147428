package forwarder

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// runStream runs a call whose answer is a stream. It ends call once the last
// byte is written or the caller has disconnected.
func (f *Forwarder) runStream(ctx *fasthttp.RequestCtx, call *guardian.Call, r requester.Request) {
	t := newStream(f, call, r)
	go t.run()
	if !t.waitForHead() {
		defer f.options.Guardian.End(call)
		t.respondWithoutStream(ctx)
		return
	}
	ctx.SetStatusCode(t.status)
	copyHeaders(ctx, t.headers)
	ctx.Response.SetBodyStream(t, -1)
}

// errStreamAborted ends the response body without its last chunk, which also
// closes the connection.
var errStreamAborted = errors.New("stream aborted")

// maxQueued is how many bytes of a stream may be queued for a slow caller.
// While the queue is full, the backend server has to wait.
const maxQueued = 64 << 10

// stream forwards an answer between two goroutines: the Doer's, which writes to
// the stream as a Sink, and the connection's, which reads it as the response's
// body.
type stream struct {
	forwarder *Forwarder
	call      *guardian.Call
	request   requester.Request

	// headReceived is closed once status and headers are set, ended once
	// outcome is set.
	headReceived chan struct{}
	ended        chan struct{}
	status       int
	headers      []requester.Header
	outcome      requester.Outcome

	mu sync.Mutex
	// changed is signalled when one of the fields below changes.
	changed *sync.Cond
	pieces  [][]byte
	queued  int
	// finished means that no more pieces will be queued. The stream then ends
	// with err: io.EOF if it is complete.
	finished bool
	err      error
	closed   bool
}

func newStream(f *Forwarder, call *guardian.Call, r requester.Request) *stream {
	t := &stream{forwarder: f, call: call, request: r, headReceived: make(chan struct{}), ended: make(chan struct{})}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// waitForHead waits until the answer has started or the call has ended. It
// reports whether the answer has started; the call may then have ended as well.
func (t *stream) waitForHead() bool {
	select {
	case <-t.headReceived:
		return true
	case <-t.ended:
	}
	select {
	case <-t.headReceived:
		return true
	default:
		return false
	}
}

// run runs the call. If the call is cancelled, the caller receives the error at
// once, even if the backend server is slow to end.
func (t *stream) run() {
	stop := context.AfterFunc(t.call.Context, func() {
		t.abort(t.cancellationError().Event(), t.keyWithdrawn())
	})
	defer stop()
	start := time.Now()
	t.outcome = t.forwarder.callDoer(t.call.Context, t.request, t)
	t.forwarder.recordEnd(t.request, t.call, t.outcome, start)
	close(t.ended)
	if e, failed := t.forwarder.failure(t.call, t.request, t.outcome, nil); failed {
		t.abort(e.Event(), t.keyWithdrawn())
		return
	}
	t.finish(io.EOF)
}

// respondWithoutStream responds to a call that ended before its stream started.
func (t *stream) respondWithoutStream(ctx *fasthttp.RequestCtx) {
	if e, failed := t.forwarder.failure(t.call, t.request, t.outcome, nil); failed {
		answerer.Fail(ctx, e)
		return
	}
	answerer.Fail(ctx, answerer.Internal())
}

// keyWithdrawn reports whether the call was cancelled because its key was
// withdrawn. If so, the caller may receive nothing more of the answer.
func (t *stream) keyWithdrawn() bool {
	return errors.Is(context.Cause(t.call.Context), guardian.ErrKeyWithdrawn)
}

// cancellationError returns the error of a call whose context has ended.
func (t *stream) cancellationError() answerer.Error {
	if e, ok := guardian.ErrorForCause(context.Cause(t.call.Context), false); ok {
		return e
	}
	return answerer.Error{Status: fasthttp.StatusGatewayTimeout, Kind: answerer.TypeServer, Code: "timeout", Message: "the call took too long"}
}

// Head implements requester.Sink.
func (t *stream) Head(status int, headers []requester.Header) error {
	t.status, t.headers = status, headers
	close(t.headReceived)
	return nil
}

// Body implements requester.Sink. It blocks while the queue for the caller is
// full.
func (t *stream) Body(piece []byte) error {
	if err := t.forwarder.options.Guardian.Check(t.call); err != nil {
		t.call.Cancel(err)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.queued >= maxQueued && !t.finished && !t.closed {
		t.changed.Wait()
	}
	if t.finished || t.closed {
		return errStreamAborted
	}
	t.pieces = append(t.pieces, append([]byte(nil), piece...))
	t.queued += len(piece)
	t.changed.Broadcast()
	return nil
}

// finish ends the stream with err after the queued pieces.
func (t *stream) finish(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finished {
		return
	}
	t.finished, t.err = true, err
	t.changed.Broadcast()
}

// abort sends event after the queued pieces and closes the connection. If
// discard, the queued pieces are discarded instead of being sent.
func (t *stream) abort(event []byte, discard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finished {
		return
	}
	if discard {
		t.pieces = nil
	}
	t.pieces = append(t.pieces, event)
	t.finished, t.err = true, errStreamAborted
	t.changed.Broadcast()
}

// next waits for pieces and returns all that are queued, or the error that ends
// the stream if none are left.
func (t *stream) next() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.pieces) == 0 && !t.finished {
		t.changed.Wait()
	}
	if len(t.pieces) == 0 {
		return nil, t.err
	}
	pieces := t.pieces
	t.pieces, t.queued = nil, 0
	t.changed.Broadcast()
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	return slices.Concat(pieces...), nil
}

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo, which saves the memory
// of a copy buffer for each open stream.
func (*stream) SupportsBodyWriteTo() bool { return true }

// WriteTo implements fasthttp.BodyWriterTo. It is called by the connection's
// goroutine. Each write is sent at once, as one chunk.
func (t *stream) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for {
		piece, err := t.next()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
}

// Read implements io.Reader. The library uses it only for callers that don't
// support chunked encoding. Streams for these are refused earlier, so it always
// fails.
func (t *stream) Read([]byte) (int, error) { return 0, errStreamAborted }

// Close implements io.Closer. The library calls it once the answer is written
// or the caller has disconnected. It waits for the Doer and ends the call.
func (t *stream) Close() error {
	t.mu.Lock()
	t.closed = true
	t.changed.Broadcast()
	t.mu.Unlock()
	t.call.Cancel(guardian.ErrCallerDisconnected)
	<-t.ended
	t.forwarder.options.Guardian.End(t.call)
	return nil
}
