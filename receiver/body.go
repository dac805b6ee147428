package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/valyala/fasthttp"
)

// Body reads the request's body of at most limit bytes. It refuses a compressed
// body and one that contains key or another key in force. If it returns false,
// the error response has been written.
func (r *Receiver) Body(ctx *fasthttp.RequestCtx, key []byte, limit int) ([]byte, bool) {
	if e := ctx.Request.Header.Peek(fasthttp.HeaderContentEncoding); len(e) > 0 && !bytes.EqualFold(e, []byte("identity")) {
		unsupported := answerer.Invalid(answerer.CodeEncoding, "", "the body must not be compressed")
		unsupported.Status = fasthttp.StatusUnsupportedMediaType
		FailAndClose(ctx, unsupported)
		return nil, false
	}
	if ctx.Request.Header.ContentLength() > limit {
		FailAndClose(ctx, errBodyTooLarge(int64(limit)))
		return nil, false
	}
	body, memory, err := r.readBody(ctx, min(int64(limit), r.options.Memory.MaxBytes()))
	switch {
	case err != nil:
		memory.Release()
		FailAndClose(ctx, r.ReadError(err))
		return nil, false
	case r.options.Keys.Finder(key).Contains(body):
		memory.Release()
		answerer.Fail(ctx, errKeyInRequest("body"))
		return nil, false
	}
	if call, ok := CallOf(ctx); ok {
		call.Hold(memory)
	} else {
		// Operators' requests, which are short, hold no memory once they have been read.
		memory.Release()
	}
	return body, true
}

// readBody reads a body of at most limit bytes, and returns the account that it takes memory
// of, also after an error.
func (r *Receiver) readBody(ctx *fasthttp.RequestCtx, limit int64) ([]byte, *holder.Account, error) {
	connection := r.options.Guardian.Connection(ctx.Conn())
	conn, remote := ctx.Conn(), ctx.RemoteAddr()
	b := &shedableBody{body: bodyReader(ctx), left: limit, conn: conn}
	memory := r.options.Memory.OpenFor(remote.String, b.interrupt)
	connection.ReadBody(b.interrupt)
	length := int64(ctx.Request.Header.ContentLength())
	body, err := holder.ReadAll(memory, b, max(length, -1))
	interrupted := b.finish()
	if settled := memory.Settle(); interrupted || !settled {
		return nil, memory, &interruptedError{}
	}
	if err != nil {
		return nil, memory, err
	}
	connection.Serve()
	return body, memory, nil
}

// interruptedError reports that a body was shed, or its connection.
type interruptedError struct{}

func (*interruptedError) Error() string { return "the body was shed" }

// shedableBody reads at most left bytes of a body, and can be interrupted.
type shedableBody struct {
	body io.Reader
	left int64
	conn net.Conn

	mu                    sync.Mutex
	interrupted, finished bool
}

// Read implements io.Reader.
func (b *shedableBody) Read(p []byte) (int, error) {
	// One byte more shows that the body is too long.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.body.Read(p)
	if int64(n) > b.left {
		return 0, fasthttp.ErrBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// interrupt ends the read that waits, and those to come, unless the body has been read.
func (b *shedableBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.finished {
		b.interrupted = true
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// finish ends reading and reports whether the body was interrupted.
func (b *shedableBody) finish() (interrupted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	return b.interrupted
}

// FailAndClose responds with e to a request whose body has not been read
// completely. It closes the connection, which can't be used for further
// requests.
func FailAndClose(ctx *fasthttp.RequestCtx, e answerer.Error) {
	answerer.Fail(ctx, e)
	ctx.SetConnectionClose()
}

// bodyReader returns a reader of the request's body, which is read as it
// arrives if the library has not read it already.
func bodyReader(ctx *fasthttp.RequestCtx) io.Reader {
	if r := ctx.RequestBodyStream(); r != nil {
		return r
	}
	return bytes.NewReader(ctx.Request.Body())
}

// DecodeJSON decodes body into v. If it returns false, the error has the
// position and, where possible, the field at fault.
func DecodeJSON(body []byte, v any) (answerer.Error, bool) {
	err := json.Unmarshal(body, v)
	if err == nil {
		return answerer.Error{}, true
	}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body is no JSON: %s, %s", position(body, syntax.Offset), syntax.Error()), false
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return answerer.Invalid(answerer.CodeInvalidField, wrongType.Field, "%s: field %q can't be a JSON %s", position(body, wrongType.Offset), wrongType.Field, wrongType.Value), false
	case errors.As(err, &wrongType):
		return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body must be a JSON object, not a JSON %s", wrongType.Value), false
	}
	return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body is no JSON object"), false
}

// position formats an offset in body as line and column, both counted from 1.
func position(body []byte, offset int64) string {
	before := body[:min(int(offset), len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d, column %d", line, max(column, 1))
}
