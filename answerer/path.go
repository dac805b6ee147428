package answerer

import "github.com/valyala/fasthttp"

// FailMethod responds that the path does not support the request's method. The
// methods in allowed are listed in the Allow header.
func FailMethod(ctx *fasthttp.RequestCtx, allowed string) {
	e := Invalid(CodeWrongMethod, "", "this path takes %s only", allowed)
	e.Status = fasthttp.StatusMethodNotAllowed
	ctx.Response.Header.Set("Allow", allowed)
	Fail(ctx, e)
}

// FailPath responds that nothing is served at the path.
func FailPath(ctx *fasthttp.RequestCtx) {
	e := Invalid(CodeUnknownPath, "", "nothing is served at this path with this method")
	e.Status = fasthttp.StatusNotFound
	Fail(ctx, e)
}

// FailNotServed responds that this host does not run the component that serves
// the path.
func FailNotServed(ctx *fasthttp.RequestCtx) {
	e := Invalid(CodeNotServed, "", "this host does not serve this path")
	e.Status = fasthttp.StatusNotImplemented
	Fail(ctx, e)
}
