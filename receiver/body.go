package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/valyala/fasthttp"
)

// Body reads a request's body of at most limit bytes and makes sure that
// key is not in it; on false the answer is written.
func (r *Receiver) Body(ctx *fasthttp.RequestCtx, key []byte, limit int) ([]byte, bool) {
	if e := ctx.Request.Header.Peek(fasthttp.HeaderContentEncoding); len(e) > 0 && !bytes.EqualFold(e, []byte("identity")) {
		bad := answerer.Invalid(answerer.CodeEncoding, "", "the body must not be compressed")
		bad.Status = fasthttp.StatusUnsupportedMediaType
		FailBody(ctx, bad)
		return nil, false
	}
	if ctx.Request.Header.ContentLength() > limit {
		FailBody(ctx, errBodyTooLarge(int64(limit)))
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(bodyReader(ctx), int64(limit)+1))
	switch {
	case err != nil:
		FailBody(ctx, r.ReadError(err))
	case len(body) > limit:
		FailBody(ctx, errBodyTooLarge(int64(limit)))
	case r.options.Keys.Finder(key).In(body):
		answerer.Fail(ctx, errKeyInRequest("body"))
	default:
		return body, true
	}
	return nil, false
}

// FailBody answers a request whose body was not read whole. The connection
// can't be used again.
func FailBody(ctx *fasthttp.RequestCtx, e answerer.Error) {
	answerer.Fail(ctx, e)
	ctx.SetConnectionClose()
}

// bodyReader reads the body as it arrives.
func bodyReader(ctx *fasthttp.RequestCtx) io.Reader {
	if r := ctx.RequestBodyStream(); r != nil {
		return r
	}
	return bytes.NewReader(ctx.Request.Body())
}

// DecodeJSON reads body into v. Its error names the line and the field.
func DecodeJSON(body []byte, v any) (answerer.Error, bool) {
	err := json.Unmarshal(body, v)
	if err == nil {
		return answerer.Error{}, true
	}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body is no JSON: %s, %s", position(body, syntax.Offset), syntax.Error()), false
	case errors.As(err, &kind) && kind.Field != "":
		return answerer.Invalid(answerer.CodeInvalidField, kind.Field, "%s: field %q can't be a JSON %s", position(body, kind.Offset), kind.Field, kind.Value), false
	case errors.As(err, &kind):
		return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body must be a JSON object, not a JSON %s", kind.Value), false
	}
	return answerer.Invalid(answerer.CodeInvalidJSON, "", "the body is no JSON object"), false
}

// position names the line and column of an offset.
func position(body []byte, offset int64) string {
	before := body[:min(int(offset), len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d, column %d", line, max(column, 1))
}
