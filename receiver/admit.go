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

// Bearer returns the key that came with a request. ok is false when there is
// more than one, or one of another scheme.
func Bearer(ctx *fasthttp.RequestCtx) (key []byte, ok bool) {
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

// Admission is a request whose key and host are in order.
type Admission struct {
	Call *guardian.Call
	// Key is valid until the handler returns.
	Key []byte
}

// Admit checks the key and the host's permission and opens the call; on false
// the answer is written. open says that no key is needed.
func (r *Receiver) Admit(ctx *fasthttp.RequestCtx, open bool, timeout timer.Millis) (Admission, bool) {
	if e, refused := r.Refusal(); refused {
		answerer.Fail(ctx, e)
		return Admission{}, false
	}
	key, ok := Bearer(ctx)
	identity, valid := r.options.Keys.Check(key)
	switch {
	case open:
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
	if e, found := r.keyInHead(ctx, key); found {
		answerer.Fail(ctx, e)
		return Admission{}, false
	}
	o := r.options.Guardian.Begin(identity, ctx.Conn(), timeout)
	ctx.SetUserValue(valueCall, o)
	return Admission{Call: o, Key: key}, true
}

// Refusal says why this host takes no calls now.
func (r *Receiver) Refusal() (answerer.Error, bool) {
	if r.refusing.Load() {
		return guardian.Explain(guardian.ErrHostLeaving, true)
	}
	if !r.options.Viewer.View().Permitted(r.options.Clock.Now()) {
		return guardian.Explain(guardian.ErrNotPermitted, true)
	}
	return answerer.Error{}, false
}

// forwarded are the headers that are passed on to backend servers.
var forwarded = []string{
	"Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "Traceparent", "Tracestate",
}

// ForwardHeaders returns the headers that are passed on.
func ForwardHeaders(ctx *fasthttp.RequestCtx) []requester.Header {
	var out []requester.Header
	for _, name := range forwarded {
		for _, v := range ctx.Request.Header.PeekAll(name) {
			out = append(out, requester.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// keyInHead finds keys where they would be passed on.
func (r *Receiver) keyInHead(ctx *fasthttp.RequestCtx, key []byte) (answerer.Error, bool) {
	finder := r.options.Keys.Finder(key)
	if finder.In(ctx.RequestURI()) {
		return errKeyInRequest("path or query"), true
	}
	for _, name := range forwarded {
		for _, v := range ctx.Request.Header.PeekAll(name) {
			if finder.In(v) {
				return errKeyInRequest("header " + name), true
			}
		}
	}
	return answerer.Error{}, false
}

func errKeyInRequest(where string) answerer.Error {
	return answerer.Invalid(answerer.CodeKeyInRequest, "", "the request has a key in its %s; a key belongs in the Authorization header only", where)
}
