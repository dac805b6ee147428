package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"iter"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// errNotPermitted is the error of a call whose Permit function returned false.
var errNotPermitted = errors.New("no longer permitted to send")

// Exchange sends c to its backend server and passes the answer to s. It makes
// at most one attempt and reports every failure in the Result. Cancelling ctx
// closes the connection. When Exchange returns, the connection is either closed
// or available for another exchange, and s is not called again.
func (x *Exchanger) Exchange(ctx context.Context, c *Call, s Sink) Result {
	conn, err := x.connect(ctx, c.Address, c.poolKey(), c.NewConnection)
	if err != nil {
		if ctx.Err() != nil {
			return Stopped{Err: ctx.Err()}
		}
		return NotSent{Err: err}
	}
	if c.Permit != nil && !c.Permit() {
		x.putIdle(c.poolKey(), conn)
		return NotSent{Err: errNotPermitted, NotPermitted: true}
	}
	stopClosing := context.AfterFunc(ctx, conn.close)
	e := &exchange{call: c, connection: conn, sink: s, options: &x.options}
	result, reusable := e.run()
	if !stopClosing() {
		// The context ended; its function may not have closed the connection yet.
		conn.close()
		return stoppedResult(ctx, result, conn)
	}
	if reusable {
		x.putIdle(c.poolKey(), conn)
	} else {
		conn.close()
	}
	return result
}

// stoppedResult returns the result of an exchange whose connection was closed
// because its context ended. If the answer was already complete, the result is still
// Complete.
func stoppedResult(ctx context.Context, r Result, conn *connection) Result {
	if complete, ok := r.(Complete); ok {
		return complete
	}
	return Stopped{Err: ctx.Err(), Sent: conn.bytesWritten > 0}
}

// exchange is the state of one exchange in progress.
type exchange struct {
	call       *Call
	connection *connection
	sink       Sink
	options    *Options
	// writeFailed is set if the request was not written completely.
	writeFailed bool
}

// run sends the request and reads the answer. It returns the result and whether
// the connection may be reused.
func (e *exchange) run() (Result, bool) {
	if err := e.send(); err != nil {
		if e.connection.bytesWritten == 0 {
			return NotSent{Err: err, Reused: e.connection.reused}, false
		}
		// After a timeout no answer is expected. After another error, read an answer
		// even though the write failed, since a server may answer and close the
		// connection before it has read the whole request.
		if _, timedOut := asTimeout(err); timedOut {
			return e.failure(err), false
		}
		e.writeFailed = true
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.StreamBody = true
	response.Header.DisableNormalizing()
	e.connection.ioTimeout = e.options.FirstByteTimeout
	if failed := e.checkStatusLine(); failed != nil {
		return failed, false
	}
	if err := response.Read(e.connection.reader); err != nil {
		return e.failure(err), false
	}
	e.connection.ioTimeout = e.options.GapTimeout
	return e.answer(response)
}

const (
	// statusLineStart is an example of the start of an answer, up to and including the status;
	// only its length is used.
	statusLineStart = "HTTP/1.1 000"
	// maxInterim is the maximum number of interim (1xx) answers to one request.
	maxInterim = 16
)

// checkStatusLine skips interim answers and returns a non-nil Result if no answer comes, or if
// its status is outside the range from 100 to 599 that HTTP defines. It is checked here since
// fasthttp reports a status of 000 as 200.
func (e *exchange) checkStatusLine() Result {
	for range maxInterim {
		start, err := e.connection.reader.Peek(len(statusLineStart))
		if err != nil {
			return e.failure(err)
		}
		status := start[len(statusLineStart)-3:]
		switch class := status[0]; {
		case class < '1' || class > '5':
			return Broken{Code: CodeMalformed, Err: eris.Errorf("status %q is not defined by HTTP", status)}
		case class != '1':
			return nil
		}
		if err := e.skipHead(); err != nil {
			return e.failure(err)
		}
	}
	return Broken{Code: CodeMalformed, Err: eris.Errorf("more than %d interim answers", maxInterim)}
}

// skipHead reads the head of an answer.
func (e *exchange) skipHead() error {
	for {
		line, err := e.connection.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
	}
}

// Sizes of pooled buffers, in bytes. A write buffer is in use while its request
// is sent, a body buffer until the body of the answer ends.
const (
	writeBufferSize = 4 << 10
	bodyBufferSize  = 1 << 10
)

var (
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
	bufferPool = sync.Pool{New: func() any { b := make([]byte, bodyBufferSize); return &b }}
)

// send writes the request to the connection.
func (e *exchange) send() error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(e.call.Method)
	request.Header.SetNoDefaultContentType(true)
	for _, h := range e.call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(HeaderRequestID, e.call.ID)
	request.SetRequestURI(e.target())
	request.Header.SetHost(e.call.Address)
	request.SetBodyRaw(e.call.Body)
	e.connection.ioTimeout = e.options.FirstByteTimeout
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(e.connection)
	if err := request.Write(w); err != nil {
		return eris.Wrap(err, "write request")
	}
	return eris.Wrap(w.Flush(), "write request")
}

// target returns the request target: the path with the query.
func (e *exchange) target() string {
	if e.call.Query == "" {
		return e.call.Path
	}
	return e.call.Path + "?" + e.call.Query
}

// answer classifies an answer whose headers have been read, and passes it to the
// sink unless the server refused the request.
func (e *exchange) answer(r *fasthttp.Response) (Result, bool) {
	status := r.StatusCode()
	if e.writeFailed && isUnframed(r) {
		// The reset of the connection was reported to the write, so the body seems to end
		// where it was cut.
		err := eris.New("the connection was reset while the request was written, and the answer has no length")
		return Broken{Code: CodeTruncated, Err: err, ConnectionLost: true}, false
	}
	if echo := header(r, HeaderRequestID); echo != "" && echo != e.call.ID {
		return Broken{Code: CodeMismatched, Err: eris.New("the answer has the identifier of another request")}, false
	}
	if e.call.Answered != nil {
		e.call.Answered(Head{Status: status, Limit: slices.Collect(headers(r, HeaderLimit)), RetryAfter: retryAfter(r)})
	}
	if status == fasthttp.StatusTooManyRequests || (status == fasthttp.StatusServiceUnavailable && header(r, HeaderNotRun) != "") {
		return Refused{Status: status, RetryAfter: retryAfter(r)}, false
	}
	if err := e.checkResumed(r, status); err != nil {
		return Broken{Code: CodeMalformed, Err: err}, false
	}
	if err := e.sink.Head(status, forwardedHeaders(r)); err != nil {
		return Stopped{Err: err, Sent: true}, false
	}
	usage, failed := e.body(r, status)
	if failed != nil {
		return failed, false
	}
	reusable := status < fasthttp.StatusBadRequest && !r.ConnectionClose() && !e.connection.unusable
	return Complete{Status: status, Usage: usage}, reusable
}

// checkResumed returns an error if the server restarted a stream that was to be
// resumed, which would deliver tokens twice.
func (e *exchange) checkResumed(r *fasthttp.Response, status int) error {
	if e.call.ResumeFrom == 0 || status != fasthttp.StatusOK {
		return nil
	}
	from, err := strconv.ParseInt(header(r, HeaderResumedFrom), 10, 64)
	if err != nil || from != e.call.ResumeFrom {
		return eris.Errorf("the server does not resume from token %d", e.call.ResumeFrom)
	}
	return nil
}

// body passes the body to the sink. It returns the usage, or a non-nil Result if
// the exchange failed.
func (e *exchange) body(r *fasthttp.Response, status int) (requester.Usage, Result) {
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || e.call.Method == fasthttp.MethodHead {
		return requester.Usage{}, nil
	}
	memory := e.options.Memory.Open()
	defer memory.Release()
	bodyParser := newParser(e.call, r, status, memory)
	body := r.BodyStream()
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if failed := e.forward(bodyParser, buffer[:n]); failed != nil {
				return requester.Usage{}, failed
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && bodyParser.complete() {
			e.connection.unusable = true
			break
		}
		if err != nil {
			return requester.Usage{}, e.failure(err)
		}
	}
	if err := bodyParser.end(); err != nil {
		return requester.Usage{}, Broken{Code: CodeTruncated, Err: err, ConnectionLost: true}
	}
	return bodyParser.usage(), nil
}

// forward parses data and passes the resulting pieces to the sink. It returns nil
// on success.
func (e *exchange) forward(p parser, data []byte) Result {
	for piece, err := range p.feed(data) {
		var mismatch *mismatchError
		switch {
		case errors.As(err, &mismatch):
			return Broken{Code: CodeMismatched, Err: err}
		case err != nil:
			return Broken{Code: CodeMalformed, Err: err}
		}
		if err := e.sink.Body(piece.data, piece.tokens); err != nil {
			return Stopped{Err: err, Sent: true}
		}
	}
	return nil
}

// failure classifies an error of a connection on which at least a part of the
// request was sent.
func (e *exchange) failure(err error) Result {
	if reason, timedOut := asTimeout(err); timedOut {
		return Broken{Code: CodeConnectionSilent, Err: reason}
	}
	c := e.connection
	if c.bytesRead == 0 {
		return Broken{Code: CodeConnectionLost, Err: err, ConnectionLost: true, Reused: c.reused}
	}
	return Broken{Code: CodeTruncated, Err: err, ConnectionLost: true}
}

// asTimeout reports whether err is a timeout of a read or a write. In every case it
// also returns err wrapped as a timeout; the caller must use that error only if
// asTimeout reports true.
func asTimeout(err error) (error, bool) {
	var n interface{ Timeout() bool }
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
	return eris.Wrap(err, "no data received within the timeout"), timedOut
}

// header returns the value of the first header with this name, in any case, or "".
func header(r *fasthttp.Response, name string) string {
	for v := range headers(r, name) {
		return v
	}
	return ""
}

// headers yields the values of the headers with this name, in any case.
func headers(r *fasthttp.Response, name string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for k, v := range r.Header.All() {
			if strings.EqualFold(string(k), name) && !yield(string(v)) {
				return
			}
		}
	}
}

// notForwarded has the names, in lower case, of headers that apply to one connection
// or message, or describe the backend server itself. They are not forwarded.
var notForwarded = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "content-length": true,
	"te": true, "trailer": true, "upgrade": true, "proxy-authenticate": true, "server": true, "date": true,
}

// forwardedHeaders returns the headers of an answer that are passed to the sink.
func forwardedHeaders(r *fasthttp.Response) []requester.Header {
	var out []requester.Header
	for k, v := range r.Header.All() {
		if !notForwarded[strings.ToLower(string(k))] {
			out = append(out, requester.Header{Name: string(k), Value: string(v)})
		}
	}
	return out
}

// retryAfter returns the delay after which a server that refused a request
// accepts a retry: from retry-after-ms, else from retry-after in seconds. It is
// zero if neither has a valid value.
func retryAfter(r *fasthttp.Response) timer.Millis {
	if ms, err := strconv.ParseInt(header(r, "retry-after-ms"), 10, 64); err == nil && ms >= 0 {
		return timer.Millis(ms)
	}
	seconds, err := strconv.ParseInt(header(r, "retry-after"), 10, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return timer.Millis(seconds) * timer.Second
}
