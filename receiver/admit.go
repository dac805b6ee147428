package receiver

import (
	"bytes"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// BearerToken returns the key or token in the request's Authorization header, or nil
// if the request has no such header. ok is false if there is more than one header or
// if its scheme is not Bearer.
func BearerToken(ctx *fasthttp.RequestCtx) (key []byte, ok bool) {
	all := ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization)
	if len(all) == 0 {
		return nil, true
	}
	scheme, key, found := bytes.Cut(all[0], []byte(" "))
	if len(all) > 1 || !found || !bytes.EqualFold(scheme, []byte("bearer")) {
		return nil, false
	}
	return bytes.TrimSpace(key), true
}

// Admission is a request that Admit has admitted. The handler must ensure that
// its Call is ended.
type Admission struct {
	Call *guardian.Call
	// Key is the key of the request. It is valid until the handler returns.
	Key []byte
}

// Admit checks that the host may act and that the request has a valid key, and
// opens a call that is cancelled after timeout. If public, no key is required.
// If Admit returns false, no call is open and the error response has been
// written.
func (r *Receiver) Admit(ctx *fasthttp.RequestCtx, public bool, timeout timer.Millis) (Admission, bool) {
	if e, refused := r.Refusal(); refused {
		answerer.Fail(ctx, e)
		return Admission{}, false
	}
	key, ok := BearerToken(ctx)
	identity, valid := r.options.Keys.Check(key)
	switch {
	case public:
		identity = authenticator.Identity{}
	case !ok:
		answerer.Fail(ctx, answerer.Unauthorized(answerer.CodeInvalidKey, "the Authorization header must be one line: Bearer and a key"))
		return Admission{}, false
	case len(key) == 0:
		answerer.Fail(ctx, answerer.Unauthorized(answerer.CodeMissingKey, "the request has no key: send it as Authorization: Bearer"))
		return Admission{}, false
	case !valid:
		answerer.Fail(ctx, answerer.Unauthorized(answerer.CodeInvalidKey, "the key is not known, or was withdrawn"))
		return Admission{}, false
	}
	if e, found := r.checkHead(ctx, key); found {
		answerer.Fail(ctx, e)
		return Admission{}, false
	}
	call := r.options.Guardian.Begin(identity, ctx.Conn(), timeout)
	ctx.SetUserValue(userValueCall, call)
	return Admission{Call: call, Key: key}, true
}

// Refusal returns the error with which this host currently refuses all calls.
// The result is false if it admits calls.
func (r *Receiver) Refusal() (answerer.Error, bool) {
	if r.refusing.Load() {
		return guardian.ErrorForCause(guardian.ErrHostLeaving, true)
	}
	if !r.options.Viewer.View().Permitted(r.options.Clock.Now()) {
		return guardian.ErrorForCause(guardian.ErrNotPermitted, true)
	}
	return answerer.Error{}, false
}

// forwardedHeaders are the names of the headers that are forwarded to backend
// servers.
var forwardedHeaders = []string{
	"Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "Traceparent", "Tracestate",
}

// ForwardHeaders returns the headers of a request that are forwarded to backend
// servers.
func ForwardHeaders(ctx *fasthttp.RequestCtx) []requester.Header {
	var out []requester.Header
	for _, name := range forwardedHeaders {
		for _, v := range ctx.Request.Header.PeekAll(name) {
			out = append(out, requester.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// checkHead returns an error and true if the request has a key in its path, its
// query or a header that is forwarded.
func (r *Receiver) checkHead(ctx *fasthttp.RequestCtx, key []byte) (answerer.Error, bool) {
	finder := r.options.Keys.Finder(key)
	if finder.Contains(ctx.RequestURI()) {
		return errKeyInRequest("path or query"), true
	}
	for _, name := range forwardedHeaders {
		for _, v := range ctx.Request.Header.PeekAll(name) {
			if finder.Contains(v) {
				return errKeyInRequest("header " + name), true
			}
		}
	}
	return answerer.Error{}, false
}

func errKeyInRequest(where string) answerer.Error {
	return answerer.Invalid(answerer.CodeKeyInRequest, "", "the request has a key in its %s; a key belongs in the Authorization header only", where)
}
