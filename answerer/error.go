// Package answerer formats the responses of a host's HTTP API: errors with a
// stable code, and JSON.
//
// All handlers respond through it, so that errors have the same format in every
// part of the API. Two invariants hold:
//
//   - The header jackdawgate-not-run is set only for an Error with NotRun, which
//     its creator may set only if no backend server ran any part of the call.
//   - An error shows whether a retry can help: RetryAfter is when to retry, and
//     Final means that a retry can't succeed or may do harm.
//
// The package does not depend on authentication or batch jobs. The code that
// detects their errors converts them to an Error.
package answerer

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// Response headers.
const (
	HeaderNotRun       = "jackdawgate-not-run"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "retry-after-ms"
	// HeaderShouldRetry is read by the OpenAI client libraries, which otherwise
	// retry every call that failed with a server error status.
	HeaderShouldRetry = "x-should-retry"
	HeaderRequestID   = "x-request-id"
)

// Error types of the OpenAI API.
const (
	TypeInvalid        = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Codes of errors that originate in the API itself. The codes of call outcomes
// are passed through unchanged.
const (
	CodeMissingKey      = "key-missing"
	CodeInvalidKey      = "key-invalid"
	CodeKeyWithdrawn    = "key-withdrawn"
	CodeKeyInRequest    = "key-in-request"
	CodeNotPermitted    = "host-not-permitted"
	CodeHostLeaving     = "host-leaving"
	CodeRateExceeded    = "rate-exceeded"
	CodeLimitUnknown    = "limit-unknown"
	CodeBodyTooLarge    = "body-too-large"
	CodeHeadersTooLarge = "headers-too-large"
	CodeRequestTimeout  = "request-timeout"
	CodeMalformed       = "malformed-request"
	CodeInvalidJSON     = "invalid-json"
	CodeInvalidField    = "invalid-field"
	CodeMissingField    = "missing-field"
	CodeInvalidLine     = "invalid-line"
	CodeUnknownPath     = "unknown-path"
	CodeWrongMethod     = "method-not-allowed"
	CodeEncoding        = "unsupported-content-encoding"
	CodeNotServed       = "not-served"
	CodeNotFound        = "not-found"
	CodeIdempotency     = "idempotency-key-conflict"
	CodeInternal        = "internal-error"
	CodeAnswerTooLarge  = "answer-too-large"
	CodeCallerGone      = "caller-gone"
	CodeAdminToken      = "admin-token-invalid"
	CodeOverBudget      = "over-budget"
)

// Error is an error in the form that callers see. It is a value type: to vary an
// error, modify a copy and pass it to Fail.
type Error struct {
	Status  int
	Kind    string
	Code    string
	Message string
	Param   string
	// NotRun means that no backend server ran any part of the call.
	NotRun bool
	// RetryAfter is how long to wait before a retry, if it is not zero.
	RetryAfter timer.Millis
	// NoRetry means that a retry can't succeed or may do harm.
	NoRetry bool
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error ErrorFields `json:"error"`
}

// ErrorFields is an error in the JSON form of the OpenAI API.
type ErrorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// JSON returns e as the JSON body of a response.
func (e Error) JSON() []byte {
	f := ErrorFields{Message: e.Message, Type: e.Kind, Code: e.Code}
	if e.Param != "" {
		f.Param = &e.Param
	}
	b, err := json.Marshal(errorBody{Error: f})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal-error","param":null}}`)
	}
	return b
}

// Event returns e as a server-sent event.
func (e Error) Event() []byte {
	return fmt.Appendf(nil, "data: %s\n\n", e.JSON())
}

// Fail responds with e, replacing any body that is already set.
func Fail(ctx *fasthttp.RequestCtx, e Error) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	if e.NotRun {
		ctx.Response.Header.Set(HeaderNotRun, "true")
	}
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatInt(int64((e.RetryAfter+timer.Second-1)/timer.Second), 10))
		ctx.Response.Header.Set(headerRetryAfterMS, strconv.FormatInt(int64(e.RetryAfter), 10))
	}
	if e.NoRetry {
		ctx.Response.Header.Set(HeaderShouldRetry, "false")
	}
	ctx.SetUserValue(errorCodeKey, e.Code)
	ctx.SetBody(e.JSON())
}

// errorCodeKey is the key of the request's user value that holds the code of the
// error in the response.
const errorCodeKey = "code"

// ErrorCode returns the code of the Error in the response of ctx. ok is false if
// the response is not an Error.
func ErrorCode(ctx *fasthttp.RequestCtx) (code string, ok bool) {
	code, ok = ctx.UserValue(errorCodeKey).(string)
	return code, ok
}

// Invalid returns an error for an invalid request, with status 400. The call was
// not run.
func Invalid(code, param, format string, args ...any) Error {
	return Error{
		Status: fasthttp.StatusBadRequest, Kind: TypeInvalid, Code: code, Param: param,
		Message: fmt.Sprintf(format, args...), NotRun: true,
	}
}

// Unavailable returns a temporary error, with status 503. The call was not run.
func Unavailable(code string, retryAfter timer.Millis, format string, args ...any) Error {
	return Error{
		Status: fasthttp.StatusServiceUnavailable, Kind: TypeServer, Code: code,
		Message: fmt.Sprintf(format, args...), NotRun: true, RetryAfter: retryAfter,
	}
}

// Internal returns an error for an internal failure of this host, with status
// 500. It does not disclose the cause.
func Internal() Error {
	return Error{Status: fasthttp.StatusInternalServerError, Kind: TypeServer, Code: CodeInternal, Message: "internal error"}
}

// Unauthorized returns an error for a key or token that is rejected, with status
// 401. The call was not run, and a retry can't succeed.
func Unauthorized(code, message string) Error {
	return Error{
		Status: fasthttp.StatusUnauthorized, Kind: TypeAuthentication, Code: code,
		Message: message, NotRun: true, NoRetry: true,
	}
}
