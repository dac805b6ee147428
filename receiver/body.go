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
	body, err := io.ReadAll(io.LimitReader(bodyReader(ctx), int64(limit)+1))
	switch {
	case err != nil:
		FailAndClose(ctx, r.ReadError(err))
	case len(body) > limit:
		FailAndClose(ctx, errBodyTooLarge(int64(limit)))
	case r.options.Keys.Finder(key).Contains(body):
		answerer.Fail(ctx, errKeyInRequest("body"))
	default:
		return body, true
	}
	return nil, false
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
